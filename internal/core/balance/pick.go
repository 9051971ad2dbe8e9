package balance

import (
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/overload"
	"github.com/gladegauge/gladegauge/internal/core/pace"
	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
	"github.com/gladegauge/gladegauge/internal/core/rollout"
)

// Request describes a request to Pick.
type Request struct {
	Route string
	Pool  string
	// TargetGap is the longest gap between events that the caller tolerates; 0 for any.
	TargetGap time.Duration
	// Tier is the rank of its route; 0 is the highest.
	Tier int
	// Target is the target for the time to the first event; 0 for none.
	Target time.Duration
	// Organisation is the hash of the name of the organisation that sent it.
	Organisation uint64
	// Deadline is when the caller gives up; zero for never.
	Deadline time.Time
	Prompt   Prompt
	// Protect requests a copy of its KV cache on another engine, because the request may
	// not be repeated if its engine fails.
	Protect bool
	// Version restricts the choice to upstreams of one software version, because the caller
	// already has events of the stream; rollout.Unstated means any.
	Version rollout.Version
	// Avoid lists software versions whose upstreams are used only if there are no others.
	Avoid []rollout.Version
	// Exclude lists the IDs of upstreams that were already tried.
	Exclude []string
	// Least marks a request of the lowest urgency in its pool, which may be shed when the
	// pool is overloaded.
	Least bool
	// Isolate requests the upstream where a crash affects the fewest other requests: this
	// request is suspected of having crashed upstreams. Nothing is copied for it.
	Isolate bool
	// Hash breaks ties.
	Hash uint64
}

// Choice is the upstream that was picked, and the data behind the decision.
type Choice struct {
	Instance
	// Cost is the expected cost in milliseconds.
	Cost float64
	// Unread is the number of prompt tokens that the engine is expected to prefill.
	Unread int
	// FetchFrom is the address of the engine from which it should copy a part of the
	// prompt; empty for none.
	FetchFrom string
	// Backup is the engine that receives a copy of the request's KV cache; the zero value
	// means none.
	Backup Backup
	// InFlight is the estimated number of requests at the upstream.
	InFlight float64
	// LoadAge is the age of the upstream's own load report; negative if there is none.
	LoadAge time.Duration
	// Candidates is the number of upstreams that were compared.
	Candidates int
	// Wait is the expected wait there before the prompt is read, in milliseconds.
	Wait float64
	// RetryAfter is positive if the request was shed because the pool is overloaded: it was
	// not counted, and the caller may retry after that time.
	RetryAfter time.Duration
	// Standing is true if the pool had a standing queue at that time.
	Standing bool
	// Cold is true if the upstream is cold; this gateway is then one of its holders.
	Cold bool
	// Turn is true if the upstream has a rate limit and the request uses one of its
	// turns.
	Turn bool
	// Borrowed is true if the turn was lent by another gateway.
	Borrowed bool
	// ConnectCost is the part of Cost for opening a connection, in milliseconds; 0 if an
	// idle one can be used or the pool states no connection limit.
	ConnectCost float64
	// Trial is true if the upstream is on trial after failures.
	Trial bool
	// PeerLoadAge is the age of the load that other gateways reported for the upstream;
	// negative if there is none.
	PeerLoadAge time.Duration

	// Pace is the factor that the upstream's latest report of its pace applies to its
	// measured durations; 0 if it reports none.
	Pace float64

	// run identifies the request in the table.
	run uint64
	// keys are the cache keys of the prompt's parts.
	keys   []uint64
	prompt Prompt
	// pickedAt is the time of the choice.
	pickedAt time.Time
}

// mayRunAt reports whether the request allows the upstream.
func (r Request) mayRunAt(u *upstream) bool {
	return !slices.Contains(r.Exclude, u.ID) && r.allowsVersion(u)
}

// allowsVersion reports whether the request allows the software version of the upstream.
func (r Request) allowsVersion(u *upstream) bool {
	return r.Version == rollout.Unstated || r.Version == u.version
}

// Pick chooses an upstream and counts the request there until Ended. It returns false if
// the pool has no upstream left to try or the request is shed; in the latter case the
// choice holds the time after which to retry.
func (t *Table) Pick(now time.Time, r Request) (Choice, bool) {
	p, ok := t.pools[r.Pool]
	if !ok {
		return Choice{}, false
	}
	p.refreshOrder(now)
	candidates := p.withRoom(now, t.usable(now, p, r))
	if len(candidates) == 0 {
		p.unplaced.increment(now)
		return Choice{}, false
	}
	keys := r.Prompt.chain()
	baseline := p.baseline(now)
	home := t.home(now, p, candidates, r.Prompt, keys)
	best := Choice{}
	var chosen *upstream
	compared := t.sampled(now, p, candidates, home, r)
	for _, u := range compared {
		c := t.evaluate(now, p, u, r, keys, baseline, u == home)
		if chosen == nil || c.Cost < best.Cost || (c.Cost == best.Cost && tie(r, u) > tie(r, chosen)) {
			best, chosen = c, u
		}
	}
	best.Candidates = len(compared)
	best.Trial = chosen.health.OnTrial(now)
	if best.RetryAfter = p.shedDelay(now, chosen, r, best); best.RetryAfter > 0 {
		best.Standing = p.queue.Standing()
		return best, false
	}
	if r.Isolate {
		t.commit(now, p, chosen, r, &best)
		return best, true
	}
	compatible := withSoftwareOf(chosen, candidates)
	if from := p.sourceFor(now, chosen, compatible, r.Prompt, keys); from.tokens > 0 {
		best.FetchFrom = from.upstream.Address
		best.Unread = max(0, min(best.Unread, r.Prompt.Tokens-from.tokens))
	}
	if r.Protect && p.worthBackup(r) {
		best.Backup = backupFor(now, chosen, compatible, r)
	}
	t.commit(now, p, chosen, r, &best)
	return best, true
}

// withSoftwareOf returns the upstreams of the same software version as the chosen one. Engines
// of different versions do not exchange KV cache.
func withSoftwareOf(chosen *upstream, candidates []*upstream) []*upstream {
	differs := func(u *upstream) bool { return u.version != chosen.version }
	if !slices.ContainsFunc(candidates, differs) {
		return candidates
	}
	return slices.DeleteFunc(slices.Clone(candidates), differs)
}

// shedDelay returns the time after which the request should be retried; 0 if it is
// admitted. A request that was already sent to an upstream is always admitted.
func (p *pool) shedDelay(now time.Time, u *upstream, r Request, c Choice) time.Duration {
	if !r.Least || r.Prompt.Tokens == 0 || len(r.Exclude) > 0 {
		return 0
	}
	request := overload.AdmissionRequest{
		Target:       r.Target,
		Wait:         duration(c.Wait),
		Pending:      func() time.Duration { return p.longestPending(now) },
		Organisation: r.Organisation,
		Tokens:       c.Unread,
		Hash:         r.Hash,
	}
	if !r.Deadline.IsZero() {
		request.TimeLeft = r.Deadline.Sub(now)
		request.Completion = duration(c.Wait + p.answerMs(now, u, r, c))
	}
	return p.queue.CheckAdmission(now, request)
}

// answerMs is the expected time from the start of prefill to the end of the answer, at
// the current mean gap of the engine's streams, in milliseconds.
func (p *pool) answerMs(now time.Time, u *upstream, r Request, c Choice) float64 {
	reading := float64(c.Unread) / p.speed.tokensPerMs()
	gap, ok := u.pace.FleetMeanGap(now, u.paceOfOthers(now))
	if !ok || p.engine == nil || p.engine.EventTokens == 0 {
		return reading
	}
	return reading + gap*p.outputs.expected(r)/float64(p.engine.EventTokens)
}

// HasFreeSlot reports whether an upstream is left to try that has a free slot. At a plain
// service without one, a request that is moved to another upstream only joins the next
// queue, and the work already done for it is lost.
func (t *Table) HasFreeSlot(now time.Time, r Request) bool {
	p, ok := t.pools[r.Pool]
	if !ok {
		return false
	}
	return slices.ContainsFunc(t.usable(now, p, r), func(u *upstream) bool {
		return u.Slots == 0 || u.inFlight(now) < float64(u.Slots)
	})
}

// tie breaks ties between upstreams of equal cost.
func tie(r Request, u *upstream) uint64 { return rendezvous.Mix(r.Hash, u.hash) }

// usable returns the upstreams that may be tried, in pool order. Upstreams that are
// ejected, that other gateways found gone or failing, that are in slow start or on trial, or
// that the request avoids, are returned only if there are no others.
func (t *Table) usable(now time.Time, p *pool, r Request) []*upstream {
	var preferred, fallback []*upstream
	acceptsReports := p.acceptsPeerReports(now)
	for _, u := range p.members {
		switch {
		case !u.present(now) || u.gone(now) || u.atSlowStartLimit(now) || !r.mayRunAt(u) || !t.maySend(now, p, u, r.Least):
		case u.ejected(now) || t.inSlowStart(now, u, r) || slices.Contains(r.Avoid, u.version),
			acceptsReports && u.avoidedByPeers(now),
			acceptsReports && u.health.OnTrial(now) && !t.mayRunTrial(now, u, r):
			fallback = append(fallback, u)
		default:
			preferred = append(preferred, u)
		}
	}
	if len(preferred) == 0 {
		return fallback
	}
	return preferred
}

// evaluate computes the cost of sending the request to the upstream.
func (t *Table) evaluate(now time.Time, p *pool, u *upstream, r Request, keys []uint64, baseline pace.Baseline, home bool) Choice {
	c := Choice{
		Instance:    u.Instance,
		InFlight:    u.inFlight(now),
		LoadAge:     -1,
		PeerLoadAge: -1,
		keys:        keys,
		prompt:      r.Prompt,
	}
	if u.load.known {
		c.LoadAge = now.Sub(u.load.at)
	}
	if u.load.Percent > 0 {
		c.Pace = u.pace.ReportFactor(now)
	}
	if u.hasPeerLoad(now) {
		c.PeerLoadAge = now.Sub(u.peerLoadAt)
	}
	c.Unread = unreadTokens(now, u, r.Prompt, keys, home)
	if r.Prompt.Tokens > 0 {
		c.Cost = p.engineCost(now, u, r, &c, baseline)
	} else {
		c.Cost = serviceCost(now, u, c, baseline.LatencyMs)
	}
	if u.Zone != t.zone {
		c.Cost += zoneCost
	}
	c.Cost += silenceCost(now, u)
	c.ConnectCost = t.connectCost(now, p, u)
	c.Cost += c.ConnectCost
	if r.Isolate {
		c.Cost = c.InFlight
	}
	return c
}

// commit counts the request at the upstream and against its warm-up pacing and rate
// limit.
func (t *Table) commit(now time.Time, p *pool, u *upstream, r Request, c *Choice) {
	if p.isCold(now, u) {
		c.Cold = true
		u.warmup = u.warmup.Sent(now, p.cold.split)
	}
	c.Turn = t.takeTurn(now, u)
	t.track(now, p, u, r, c)
}

// track counts the request at the upstream.
func (t *Table) track(now time.Time, p *pool, u *upstream, r Request, c *Choice) {
	t.lastRun++
	c.run = t.lastRun
	c.pickedAt = now
	if u.awaitingSince.IsZero() {
		u.awaitingSince = now
	}
	sent := &run{route: r.Route, organisation: r.Organisation, unread: c.Unread, targetGap: r.TargetGap, leastUrgent: r.Least, sentAt: now, deadline: r.Deadline}
	if r.Prompt.Tokens > 0 {
		sent.expected = float64(u.unread(now, p.speed.tokensPerMs())+c.Unread) / p.speed.tokensPerMs()
		sent.tokens = p.requestTokens(r)
		p.observeTokens(sent.tokens)
		t.announceParts(u, u.cache.record(now, r.Prompt, c.keys, false))
	}
	u.running[c.run] = sent
	p.sent.of(p.gapTargets.isTight(r.TargetGap)).increment(now)
}
