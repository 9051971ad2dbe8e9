package balance

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// The load that this answers: many gateways choose by the same picture of the
// engines, which is some hundred milliseconds old. If each of them compares all
// engines, all choose the same few until the next word. With 103 gateways a prompt
// waited for a second at one engine while half of the pool idled.
//
// So a choice compares only some engines, drawn at random, as many as leave the best
// one about the same number of requests of others until the next word. A small
// fleet compares all of them. Plain services are chosen in the same way.

const (
	// drawnShare is the number of requests of others that may go to the best engine
	// before its picture changes.
	herdLimit = 14.0
	// drawnShareBusy is that of prompts while all engines have much to read: what others
	// send meanwhile takes an engine longer than the picture is old. Not so where streams
	// run on every engine that reads little: there prompts must find the ones that read
	// nothing.
	herdLimitBusy = 4.0
	// busyFrom and busyTo are the mean times, in milliseconds, that the engines of a pool
	// need to read what they have, between which the share falls. They are one long
	// prompt and three.
	busyFromMs = 50.0
	busyToMs   = 150.0
	// leastDrawn is the least number of engines that a choice compares, however old the
	// picture, and leastDrawnTight that of a tight stream, which settles on few of
	// them: fewer would miss these.
	minSampled      = 3
	minSampledTight = 16
	// leastDrawnService is that of a plain service. Its requests take a tenth of the
	// time that the picture is old, so that comparing more sends a burst to a few.
	minSampledService = 2
	// drawAllBelow: where so many times the number to draw are there, all are compared.
	compareAllFactor = 2
	// leastKindShare is the part of all requests that are taken to be of the same kind
	// at least: of a rare one, a gateway of a large fleet sees too few to tell.
	minKindShare = 0.25
	// pictureAgeMost bounds the age of the picture, for a gateway that hears nothing.
	maxPeerAge = time.Second
	// arrivalsMemory is the time over which arrivals are counted: a second or two
	// of a burst.
	arrivalsWindow = 2 * time.Second
)

// arrivals follows how often something happens.
type arrivals struct {
	count float64
	at    time.Time
}

// note counts one.
func (a *arrivals) note(now time.Time) {
	a.count = 1 + a.count*a.decay(now)
	a.at = now
}

// left is the weight that earlier arrivals still have.
func (a *arrivals) decay(now time.Time) float64 {
	return max(0, 1-float64(now.Sub(a.at))/float64(arrivalsWindow))
}

// within is the number to expect in the time.
func (a *arrivals) expected(now time.Time, d time.Duration) float64 {
	return a.count * a.decay(now) * float64(d) / float64(arrivalsWindow)
}

// sent follows what this gateway sent to a pool.
type sent struct {
	tight  arrivals
	others arrivals
}

// of returns the arrivals of tight streams, or those of other requests.
func (s *sent) of(tight bool) *arrivals {
	if tight {
		return &s.tight
	}
	return &s.others
}

// drawn returns the upstreams that the request is compared on: the home of its shared
// parts, and some that its hash draws.
func (t *Table) sampled(now time.Time, p *pool, list []*upstream, home *upstream, r Request) []*upstream {
	n := t.sampleSize(now, p, len(list), p.gapTargets.isTight(r.Pause))
	if compareAllFactor*n >= len(list) {
		return list
	}
	sampled := make([]*upstream, 0, n+1)
	if home != nil {
		sampled = append(sampled, home)
	}
	// A cold one that this gateway holds, or one with a limit, gets nothing from the
	// others, and one on trial waits for one of its requests.
	for _, u := range list {
		if u != home && (p.isCold(now, u) || u.limit.Named || u.health.OnTrial(now)) {
			sampled = append(sampled, u)
		}
	}
	for i := range n {
		sampled = append(sampled, list[rendezvous.Mix(r.Hash, uint64(i))%uint64(len(list))])
	}
	return sampled
}

// toDraw is the number of engines of n to compare, by what other gateways are
// expected to have sent since their word.
func (t *Table) sampleSize(now time.Time, p *pool, n int, tight bool) int {
	age := t.peerAge(now)
	kind, rest := p.sent.of(tight).expected(now, age), p.sent.of(!tight).expected(now, age)
	others := max(kind, minKindShare*(kind+rest)) * float64(t.gateways-1)
	limit := p.herdLimit(now, tight)
	if others <= limit {
		return n
	}
	return max(p.minSampled(tight), int(limit*float64(n)/others))
}

// drawnShare is the number of requests of others that the best engine may get before
// its picture changes.
func (p *pool) herdLimit(now time.Time, tight bool) float64 {
	if tight || p.engine == nil {
		return herdLimit
	}
	busy := min(1, max(0, (p.reserved(now).backlog-busyFromMs)/(busyToMs-busyFromMs)))
	return herdLimit + busy*(herdLimitBusy-herdLimit)
}

// leastDrawn is the least number of upstreams that a choice compares.
func (p *pool) minSampled(tight bool) int {
	switch {
	case p.engine == nil:
		return minSampledService
	case tight:
		return minSampledTight
	default:
		return minSampled
	}
}

// pictureAge is how old the word of the other gateways is.
func (t *Table) peerAge(now time.Time) time.Duration {
	if t.peersAt.IsZero() {
		return maxPeerAge
	}
	return min(now.Sub(t.peersAt)+t.peersAge, maxPeerAge)
}
