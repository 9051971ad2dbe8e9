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
	drawnShare = 14.0
	// drawnShareBusy is that of prompts while all engines have much to read: what others
	// send meanwhile takes an engine longer than the picture is old. Not so where streams
	// run on every engine that reads little: there prompts must find the ones that read
	// nothing.
	drawnShareBusy = 4.0
	// busyFrom and busyTo are the mean times, in milliseconds, that the engines of a pool
	// need to read what they have, between which the share falls. They are one long
	// prompt and three.
	busyFrom = 50.0
	busyTo   = 150.0
	// leastDrawn is the least number of engines that a choice compares, however old the
	// picture, and leastDrawnTight that of a tight stream, which settles on few of
	// them: fewer would miss these.
	leastDrawn      = 3
	leastDrawnTight = 16
	// leastDrawnService is that of a plain service. Its requests take a tenth of the
	// time that the picture is old, so that comparing more sends a burst to a few.
	leastDrawnService = 2
	// drawAllBelow: where so many times the number to draw are there, all are compared.
	drawAllBelow = 2
	// leastKindShare is the part of all requests that are taken to be of the same kind
	// at least: of a rare one, a gateway of a large fleet sees too few to tell.
	leastKindShare = 0.25
	// pictureAgeMost bounds the age of the picture, for a gateway that hears nothing.
	pictureAgeMost = time.Second
	// arrivalsMemory is the time over which arrivals are counted: a second or two
	// of a burst.
	arrivalsMemory = 2 * time.Second
)

// arrivals follows how often something happens.
type arrivals struct {
	count float64
	at    time.Time
}

// note counts one.
func (a *arrivals) note(now time.Time) {
	a.count = 1 + a.count*a.left(now)
	a.at = now
}

// left is the weight that earlier arrivals still have.
func (a *arrivals) left(now time.Time) float64 {
	return max(0, 1-float64(now.Sub(a.at))/float64(arrivalsMemory))
}

// within is the number to expect in the time.
func (a *arrivals) within(now time.Time, d time.Duration) float64 {
	return a.count * a.left(now) * float64(d) / float64(arrivalsMemory)
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
func (t *Table) drawn(now time.Time, p *pool, list []*upstream, home *upstream, r Request) []*upstream {
	n := t.toDraw(now, p, len(list), p.pauses.isTight(r.Pause))
	if drawAllBelow*n >= len(list) {
		return list
	}
	drawn := make([]*upstream, 0, n+1)
	if home != nil {
		drawn = append(drawn, home)
	}
	// A cold one that this gateway holds, or one with a limit, gets nothing from the
	// others, and one on trial waits for one of its requests.
	for _, u := range list {
		if u != home && (p.isCold(now, u) || u.limited.Announced || u.health.OnTrial(now)) {
			drawn = append(drawn, u)
		}
	}
	for i := range n {
		drawn = append(drawn, list[rendezvous.Mix(r.Hash, uint64(i))%uint64(len(list))])
	}
	return drawn
}

// toDraw is the number of engines of n to compare, by what other gateways are
// expected to have sent since their word.
func (t *Table) toDraw(now time.Time, p *pool, n int, tight bool) int {
	age := t.pictureAge(now)
	kind, rest := p.sent.of(tight).within(now, age), p.sent.of(!tight).within(now, age)
	others := max(kind, leastKindShare*(kind+rest)) * float64(t.gateways-1)
	share := p.drawnShare(now, tight)
	if others <= share {
		return n
	}
	return max(p.leastDrawn(tight), int(share*float64(n)/others))
}

// drawnShare is the number of requests of others that the best engine may get before
// its picture changes.
func (p *pool) drawnShare(now time.Time, tight bool) float64 {
	if tight || p.engine == nil {
		return drawnShare
	}
	busy := min(1, max(0, (p.settled(now).backlog-busyFrom)/(busyTo-busyFrom)))
	return drawnShare + busy*(drawnShareBusy-drawnShare)
}

// leastDrawn is the least number of upstreams that a choice compares.
func (p *pool) leastDrawn(tight bool) int {
	switch {
	case p.engine == nil:
		return leastDrawnService
	case tight:
		return leastDrawnTight
	default:
		return leastDrawn
	}
}

// pictureAge is how old the word of the other gateways is.
func (t *Table) pictureAge(now time.Time) time.Duration {
	if t.toldAt.IsZero() {
		return pictureAgeMost
	}
	return min(now.Sub(t.toldAt)+t.toldAge, pictureAgeMost)
}
