package balance

import "time"

// Bounds of ejection.
const (
	// failureMemory is the weight of the latest answer in the failure rate;
	// the rate covers about the last eight answers.
	failureMemory = 0.13
	// ejectRate is the failure rate, above the pool's own, that ejects an
	// upstream: two failures after a clean past stay below it, three do not.
	ejectRate = 0.3
	// ejectBase and ejectMax bound how long an upstream is ejected; the time
	// doubles with each ejection that follows at once.
	ejectBase = time.Second
	ejectMax  = 8 * time.Second
	// refusedBase is how long an upstream is left out after it refused a request though it
	// had room: a few round trips. It doubles with each refusal that is not followed by an
	// answer, so that one that refuses nine of ten gets a request every few seconds.
	refusedBase = 100 * time.Millisecond
	// refusedMost is the number of such refusals that count.
	refusedMost = 6
	// refusedAtOnce is the time within which an upstream refuses for a fault of its own; later
	// the request had waited in its queue. It is several round trips.
	refusedAtOnce = 200 * time.Millisecond
	// refusedLeft is the least time that a request must have left for its refusal to say
	// something: upstreams refuse what they cannot answer in time.
	refusedLeft = 100 * time.Millisecond
	// fullFor is how long an upstream is spared that refused because it was full: about
	// as long as a few of its requests take.
	fullFor = 50 * time.Millisecond
	// trialFrom is the number of failures in a row after which the next requests there are
	// trials, of the least urgent only. One in seven answers of a plain service may be an
	// error without a fault of this upstream.
	trialFrom = 2
	// trialFor is how long the next requests are trials: without one of the least urgent
	// in that time, others try.
	trialFor = 5 * time.Second
	// maxDoublings keeps the doubled time within its type.
	maxDoublings = 5
	// ejectForget is the time without an ejection after which the next one is
	// short again.
	ejectForget = 20 * time.Second
	// unreachableFor is how long an upstream is left alone after a connection
	// to it could not be made.
	unreachableFor = 700 * time.Millisecond
	// goneFor is how long an upstream is taken to be gone after nothing listened at
	// its address, or another start answered there. By then its entry has lapsed,
	// after three heartbeats of about a second; if not, it is tried again.
	goneFor = 5 * time.Second
	// maxEjectedShare is the part of what is there of a pool that may be ejected at once.
	maxEjectedShare = 0.5
)

// health follows how often an upstream fails.
type health struct {
	rate      float64
	ejections int
	ejectedAt time.Time
	until     time.Time
	// refusals counts requests that it refused with room left, less those that it
	// answered since.
	refusals int
	// bad is the number of requests that failed there, or that it refused, since its last
	// whole answer; badAt is when the last of them did, goodAt when an answer began last.
	bad    int
	badAt  time.Time
	goodAt time.Time
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.until) }

// succeeded notes a whole answer that began at the time. One that began before the last
// failure says nothing newer: streams of engines that had just begun to hang ended well for
// seconds, and spoke for them. With answers that began as votes, the replay's faulty engines
// got 0.26 of what would meet their refusals by chance, 0.35 before, over four seeds.
func (h *health) succeeded(begunAt time.Time) {
	h.rate -= failureMemory * h.rate
	h.refusals = max(0, h.refusals-1)
	if !begunAt.Before(h.badAt) {
		h.bad = 0
	}
}

// refused returns how long the upstream is left out after a refusal. Full tells that it
// had as much as it takes, and was right to refuse.
func (h *health) refused(full bool) time.Duration {
	if full {
		return fullFor
	}
	h.refusals = min(h.refusals+1, refusedMost)
	return refusedBase << (h.refusals - 1)
}

// onTrial reports whether the upstream has yet to show that it answers again.
func (h *health) onTrial(now time.Time) bool {
	return (h.refusals > 0 || h.bad >= trialFrom) && now.Sub(h.badAt) < trialFor
}

func (h *health) failed(now time.Time) {
	h.rate += failureMemory * (1 - h.rate)
	h.wentBad(now)
}

func (h *health) wentBad(now time.Time) {
	h.bad++
	h.badAt = now
}

// staysBad notes that what went bad last still does, unless something was answered since.
func (h *health) staysBad(now time.Time) {
	if h.bad > 0 && !h.goodAt.After(h.badAt) {
		h.badAt = now
	}
}

func (h *health) eject(now time.Time, d time.Duration) {
	h.ejectedAt = now
	if until := now.Add(d); until.After(h.until) {
		h.until = until
	}
}

// nextEjection returns how long the next ejection lasts.
func (h *health) nextEjection(now time.Time) time.Duration {
	if !h.ejectedAt.IsZero() && now.Sub(h.ejectedAt) > ejectForget {
		h.ejections = 0
	}
	d := min(ejectBase<<min(h.ejections, maxDoublings), ejectMax)
	h.ejections++
	return d
}

// refused leaves the upstream out for a while. Without it one that refuses looks idle and
// draws its pool's requests.
func (t *Table) refused(now time.Time, u *upstream, r *run, said *Load) {
	p := t.pool(u.Pool)
	full := said.full() || p.rightly(now, u, r)
	if !full {
		u.health.wentBad(now)
	}
	if d := u.health.refused(full); p.mayEject(now) {
		u.health.eject(now, d)
	}
}

// rightly reports whether the upstream was right to refuse the request, as far as one can
// tell: it had as much as it takes, or no room for such a large one; the request had
// waited in its queue, or had hardly any time. Otherwise one caller with such requests
// could have upstreams left out.
func (p *pool) rightly(now time.Time, u *upstream, r *run) bool {
	hasty := !r.deadline.IsZero() && r.deadline.Sub(now) < refusedLeft
	return hasty || now.Sub(r.sentAt) > refusedAtOnce || p.isFull(now, u, r.tokens)
}

// isFull reports whether the upstream has as much as it takes, or no room for a request of
// so many tokens, as far as gateways know.
func (p *pool) isFull(now time.Time, u *upstream, tokens int) bool {
	if u.Slots > 0 && u.inFlight(now) >= fullShare*float64(u.Slots) {
		return true
	}
	if p.engine == nil || p.engine.MemoryTokens == 0 {
		return false
	}
	return u.memoryTokens(now, p.meanTokens)+float64(tokens) >= fullShare*float64(p.engine.MemoryTokens)
}

// full reports whether the upstream says that it has nearly all that it takes, or that
// requests wait there.
func (l *Load) full() bool {
	return l != nil && (l.Waiting > 0 || (l.Slots > 0 && float64(l.Running) >= fullShare*float64(l.Slots)))
}

// judge ejects the upstream if it fails more often than its pool.
func (t *Table) judge(now time.Time, u *upstream) {
	p := t.pools[u.Pool]
	if p == nil || u.health.ejected(now) {
		return
	}
	if u.health.rate < p.failureRate(u)+ejectRate || !p.mayEject(now) {
		return
	}
	// The rate stays: on its return one more failure ejects it again, unless
	// the others fail as often by then.
	u.health.eject(now, u.health.nextEjection(now))
}

// failureRate is the mean rate of the other upstreams of the pool.
func (p *pool) failureRate(except *upstream) float64 {
	sum, n := 0.0, 0
	for _, u := range p.members {
		if u != except {
			sum += u.health.rate
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// mayEject reports whether one more upstream may be ejected. One that rests or leaves is
// absent by its own word: it neither counts as ejected nor as one that is left.
func (p *pool) mayEject(now time.Time) bool {
	ejected, present := 0, 0
	for _, u := range p.members {
		if !u.present(now) {
			continue
		}
		present++
		if u.health.ejected(now) {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedShare*float64(present)
}
