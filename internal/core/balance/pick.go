package balance

import (
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/overload"
	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// Request is what a pick needs to know of a request.
type Request struct {
	Route string
	Pool  string
	// Pause is the longest pause between events that its caller bears; 0 for
	// any.
	Pause time.Duration
	// Tier is the rank of its route; 0 is the highest.
	Tier int
	// Target is the time to the first event that is still in time; 0 for none.
	Target time.Duration
	// Organisation is the hash of the name of who sends it.
	Organisation uint64
	// Deadline is when its caller leaves; zero for never.
	Deadline time.Time
	Prompt   Prompt
	// Protect asks for a copy of the run's memory on another engine: the request
	// may not be repeated if its engine breaks.
	Protect bool
	// Exclude holds the upstreams that were tried already.
	Exclude []string
	// Least says that no request for the pool is less urgent: it may be turned away
	// when the pool is too busy.
	Least bool
	// Alone asks for the upstream where the request harms fewest if that one ends: it
	// is a suspect of having ended others, and nothing is copied for it.
	Alone bool
	// Hash breaks ties.
	Hash uint64
}

// Choice is the upstream that was picked, and why.
type Choice struct {
	Instance
	// Cost is the expected cost in milliseconds.
	Cost float64
	// Unread is the part of the prompt that the engine is expected to read.
	Unread int
	// FetchFrom is the address of the engine that it should copy a part of the
	// prompt from; empty for none.
	FetchFrom string
	// Backup is the engine that gets a copy of the run's memory; the zero value
	// is none.
	Backup Backup
	// InFlight is the estimate of the requests there.
	InFlight float64
	// LoadAge is the age of the upstream's own word; below 0 if there is none.
	LoadAge time.Duration
	// Candidates is the number of upstreams that were compared.
	Candidates int
	// Wait is how long it is expected to wait there before its prompt is read, in
	// milliseconds.
	Wait float64
	// ComeBack is above 0 if the pool is too busy for the request: it was not counted,
	// and its caller may come back after that time.
	ComeBack time.Duration
	// Standing is true if a queue stands at the pool then.
	Standing bool
	// Cold is true if the upstream is cold: this gateway is one of its holders.
	Cold bool
	// Turn is true if the upstream has a limit, and this is one of its turns.
	Turn bool
	// Lent is true if another gateway lent the turn.
	Lent bool
	// Trial is true if the upstream has yet to show that it answers again.
	Trial bool
	// ToldAge is the age of the other gateways' word on the upstream; below 0 if
	// there is none.
	ToldAge time.Duration

	// run is the number of the request in the table.
	run uint64
	// keys are those of the prompt's parts, for the picture of the KV cache.
	keys   []uint64
	prompt Prompt
	// pickedAt is when the choice was made.
	pickedAt time.Time
}

// Pick chooses an upstream and counts the request there until Ended. It
// reports false if the pool has no upstream left to try, or is too busy: the choice
// tells when to come back then.
func (t *Table) Pick(now time.Time, r Request) (Choice, bool) {
	p, ok := t.pools[r.Pool]
	if !ok {
		return Choice{}, false
	}
	p.refreshOrder(now)
	candidates := p.withRoom(now, t.usable(now, p, r))
	if len(candidates) == 0 {
		p.unplaced.note(now)
		return Choice{}, false
	}
	keys := r.Prompt.chain()
	baseline := p.baseline(now)
	home := homeOf(candidates, r.Prompt, keys)
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
	if best.ComeBack = p.shedDelay(now, chosen, r, best); best.ComeBack > 0 {
		best.Standing = p.queue.Standing()
		return best, false
	}
	if r.Alone {
		t.commit(now, p, chosen, r, &best)
		return best, true
	}
	if from := p.sourceFor(now, chosen, candidates, r.Prompt, keys); from.tokens > 0 {
		best.FetchFrom = from.upstream.Address
		best.Unread = max(0, min(best.Unread, r.Prompt.Tokens-from.tokens))
	}
	if r.Protect && p.worthBackup(r) {
		best.Backup = backupFor(now, chosen, candidates, r)
	}
	t.commit(now, p, chosen, r, &best)
	return best, true
}

// turnAway returns the time after which the request is to come back; 0 if it may go to
// the choice now. One that was sent somewhere already goes on.
func (p *pool) shedDelay(now time.Time, u *upstream, r Request, c Choice) time.Duration {
	if !r.Least || r.Prompt.Tokens == 0 || len(r.Exclude) > 0 {
		return 0
	}
	ask := overload.Ask{
		Target:       r.Target,
		Wait:         duration(c.Wait),
		Pending:      func() time.Duration { return p.longestPending(now) },
		Organisation: r.Organisation,
		Tokens:       c.Unread,
		Hash:         r.Hash,
	}
	if !r.Deadline.IsZero() {
		ask.Left = r.Deadline.Sub(now)
		ask.End = duration(c.Wait + p.answerMs(now, u, r, c))
	}
	return p.queue.TurnAway(now, ask)
}

// answerMs is the time that the engine is expected to need for a whole answer once it
// begins to read the prompt, at the present pace of its streams, in milliseconds.
func (p *pool) answerMs(now time.Time, u *upstream, r Request, c Choice) float64 {
	reading := float64(c.Unread) / p.speed.tokensPerMs()
	gap, ok := u.fleetMeanGap(now)
	if !ok || p.engine == nil || p.engine.EventTokens == 0 {
		return reading
	}
	return reading + gap*p.outputs.expected(r)/float64(p.engine.EventTokens)
}

// MayPick reports whether there is an upstream left to try.
func (t *Table) MayPick(now time.Time, r Request) bool {
	p, ok := t.pools[r.Pool]
	return ok && len(t.usable(now, p, r)) > 0
}

// tie decides between upstreams of the same cost.
func tie(r Request, u *upstream) uint64 { return rendezvous.Mix(r.Hash, u.hash) }

// usable returns the upstreams that may be tried, in order of rank. Ejected
// ones, those that others found gone or failing, and those that should get little so soon
// after a rest or a failure are left out while there are others.
func (t *Table) usable(now time.Time, p *pool, r Request) []*upstream {
	var preferred, fallback []*upstream
	trusted := p.trustsPeers(now)
	for _, u := range p.members {
		switch {
		case !u.present(now) || u.gone(now) || u.atSlowStartLimit(now) || slices.Contains(r.Exclude, u.ID) || !t.maySend(now, p, u, r.Least):
		case u.ejected(now) || t.inSlowStart(now, u, r),
			trusted && u.peersAvoid(now),
			trusted && u.health.OnTrial(now) && !t.mayProbe(now, u, r):
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

// consider works out the cost of sending the request to the upstream.
func (t *Table) evaluate(now time.Time, p *pool, u *upstream, r Request, keys []uint64, baseline baseline, home bool) Choice {
	c := Choice{
		Instance: u.Instance,
		InFlight: u.inFlight(now),
		LoadAge:  -1,
		ToldAge:  -1,
		keys:     keys,
		prompt:   r.Prompt,
	}
	if u.load.known {
		c.LoadAge = now.Sub(u.load.at)
	}
	if u.hasPeerLoad(now) {
		c.ToldAge = now.Sub(u.peerLoadAt)
	}
	c.Unread = unreadTokens(now, u, r.Prompt, keys, home)
	if r.Prompt.Tokens > 0 {
		c.Cost = p.engineCost(now, u, r, &c, baseline)
	} else {
		c.Cost = serviceCost(now, u, c, baseline.latencyMs)
	}
	if u.Zone != t.zone {
		c.Cost += zoneCost
	}
	c.Cost += silenceCost(now, u)
	if r.Alone {
		c.Cost = c.InFlight
	}
	return c
}

// send counts the request at the upstream, with what bounds it.
func (t *Table) commit(now time.Time, p *pool, u *upstream, r Request, c *Choice) {
	if p.isCold(now, u) {
		c.Cold = true
		u.warmup = u.warmup.Sent(now, p.cold.split)
	}
	c.Turn = t.takeTurn(now, u)
	t.track(now, p, u, r, c)
}

// count counts the request at the upstream.
func (t *Table) track(now time.Time, p *pool, u *upstream, r Request, c *Choice) {
	t.lastRun++
	c.run = t.lastRun
	c.pickedAt = now
	if u.awaitingSince.IsZero() {
		u.awaitingSince = now
	}
	sent := &run{route: r.Route, organisation: r.Organisation, unread: c.Unread, targetGap: r.Pause, lowestPriority: r.Least, sentAt: now, deadline: r.Deadline}
	if r.Prompt.Tokens > 0 {
		sent.expected = float64(u.unread(now, p.speed.tokensPerMs())+c.Unread) / p.speed.tokensPerMs()
		sent.tokens = p.requestTokens(r)
		p.learnTokens(sent.tokens)
		t.announceParts(u, u.cache.record(now, r.Prompt, c.keys, false))
	}
	u.running[c.run] = sent
	p.sent.of(p.gapTargets.isTight(r.Pause)).note(now)
}
