package balance

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// Many gateways choose from the same view of the engines, which is some hundred
// milliseconds old. If each of them compared all engines, all would choose the same few
// until the next update (herding). With 103 gateways a prompt waited for a second at one
// engine while half of the pool was idle.
//
// A pick therefore compares only a random sample of the engines, sized such that the best
// one gets about the same number of requests from other gateways until the next update. A
// small fleet compares all engines. Plain services are sampled in the same way.

const (
	// herdLimit is the number of requests from other gateways that may go to the best
	// engine before the view of it is updated.
	herdLimit = 14.0
	// herdLimitBusy is the limit for prompts while all engines have a prefill backlog, as
	// the requests that others send meanwhile take an engine longer than the view is old.
	// It does not apply while streams run on all engines with little backlog: prompts
	// must then find the engines without any.
	herdLimitBusy = 4.0
	// busyFromMs and busyToMs are the mean prefill backlogs of a pool's engines between
	// which the limit falls. They correspond to one and three long prompts.
	busyFromMs = 50.0
	busyToMs   = 150.0
	// minSampled is the minimum sample size, however old the view is, and minSampledTight
	// that of a tight stream: such streams are packed onto few engines, which a smaller
	// sample would miss.
	minSampled      = 3
	minSampledTight = 16
	// minSampledService is the minimum for a plain service. Its requests take a tenth of
	// the age of the view, so a larger sample would send a burst to a few upstreams.
	minSampledService = 2
	// compareAllFactor: all upstreams are compared if there are at most this many times
	// the sample size.
	compareAllFactor = 2
	// minKindShare is the minimum share of all requests that are assumed to be of the
	// same kind: a gateway of a large fleet sees too few requests of a rare kind to
	// estimate its share.
	minKindShare = 0.25
	// maxPeerAge bounds the age of the view, for a gateway that receives no updates.
	maxPeerAge = time.Second
	// arrivalsWindow is the time over which arrivals are counted: a second or two of a
	// burst.
	arrivalsWindow = 2 * time.Second
)

// arrivals is a decaying event counter.
type arrivals struct {
	count float64
	at    time.Time
}

// increment counts one event.
func (a *arrivals) increment(now time.Time) {
	a.count = 1 + a.count*a.decay(now)
	a.at = now
}

// decay is the weight that earlier events still have.
func (a *arrivals) decay(now time.Time) float64 {
	return max(0, 1-float64(now.Sub(a.at))/float64(arrivalsWindow))
}

// expected is the expected number of events in d.
func (a *arrivals) expected(now time.Time, d time.Duration) float64 {
	return a.count * a.decay(now) * float64(d) / float64(arrivalsWindow)
}

// sent counts the requests that this gateway sent to a pool.
type sent struct {
	tight  arrivals
	others arrivals
}

// of returns the counter of tight streams or that of other requests.
func (s *sent) of(tight bool) *arrivals {
	if tight {
		return &s.tight
	}
	return &s.others
}

// sampled returns the upstreams to compare for the request: the home of its shared parts
// and a sample drawn by its hash, a part of it from those with an idle connection.
func (t *Table) sampled(now time.Time, p *pool, list []*upstream, home *upstream, r Request) []*upstream {
	if u, ok := t.drawn(now, p, list, r); ok {
		return []*upstream{u}
	}
	n := t.sampleSize(now, p, len(list), p.gapTargets.isTight(r.TargetGap))
	if compareAllFactor*n >= len(list) {
		return list
	}
	sampled := make([]*upstream, 0, n+1)
	if home != nil {
		sampled = append(sampled, home)
	}
	// Cold upstreams held by this gateway and upstreams with a rate limit get no requests
	// from other gateways, and an upstream on trial depends on a request from this one,
	// so these are always compared.
	for _, u := range list {
		if u != home && (p.isCold(now, u) || u.limit.Announced || u.health.OnTrial(now)) {
			sampled = append(sampled, u)
		}
	}
	connected := t.sampledConnected(now, p, list, n, r.Hash)
	sampled = append(sampled, connected...)
	for i := range n - len(connected) {
		sampled = append(sampled, list[rendezvous.Mix(r.Hash, uint64(i))%uint64(len(list))])
	}
	return sampled
}

// sampleSize is the number of engines out of n to compare, given how many requests other
// gateways are expected to have sent since their last update.
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

// herdLimit is the number of requests from other gateways that the best engine may get
// before the view of it is updated.
func (p *pool) herdLimit(now time.Time, tight bool) float64 {
	if tight || p.engine == nil {
		return herdLimit
	}
	busy := min(1, max(0, (p.reserved(now).backlog-busyFromMs)/(busyToMs-busyFromMs)))
	return herdLimit + busy*(herdLimitBusy-herdLimit)
}

// minSampled is the minimum number of upstreams that a pick compares.
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

// peerAge is the age of the loads reported by other gateways.
func (t *Table) peerAge(now time.Time) time.Duration {
	if t.peersAt.IsZero() {
		return maxPeerAge
	}
	return min(now.Sub(t.peersAt)+t.peersAge, maxPeerAge)
}
