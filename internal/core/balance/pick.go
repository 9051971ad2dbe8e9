package balance

import (
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// Weights of a pick, in milliseconds of expected cost unless said otherwise.
const (
	// zoneCost is the handicap of an upstream in another availability zone;
	// zones are about a millisecond apart, there and back.
	zoneCost = 2.0
	// readWeight is how much reading a prompt anew counts, as a multiple of
	// the time it takes: the engine is lost for others as well.
	readWeight = 2.0
	// patientTarget is the target from which on a wait counts for less, in
	// proportion; leastWaitWeight bounds that. A request that may wait keeps to
	// the engine that has its prompt.
	patientTarget   = 400 * time.Millisecond
	leastWaitWeight = 0.3
	// homeCredit is the part of the shared prompt that its home is believed to
	// keep when this gateway itself has not sent it there.
	homeCredit = 0.8
	// splitCost keeps tight streams and long prompts apart. It is a quarter of
	// a second, the shortest pause that callers usually bear.
	splitCost = 250.0
	// harmWeight is what a millisecond of reading costs for each tight stream
	// that runs beside it.
	harmWeight = 0.5
	// slotCost is what one more request in a batch costs.
	slotCost = 0.6
	// silenceAfter is the time without a word, after a request was sent, from
	// which on an upstream is doubted. It is several times a usual first event.
	silenceAfter = 400 * time.Millisecond
	// silenceWeight is the cost of each millisecond of silence beyond that.
	silenceWeight = 2.0
)

// Request is what a pick needs to know of a request.
type Request struct {
	Route string
	Pool  string
	// Pause is the longest pause between events that its caller bears; 0 for
	// any.
	Pause time.Duration
	// Target is the time to the first event that is still in time; 0 for none.
	Target time.Duration
	Prompt Prompt
	// Exclude holds the upstreams that were tried already.
	Exclude []string
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
	// InFlight is the estimate of the requests there.
	InFlight float64
	// LoadAge is the age of the upstream's own word; below 0 if there is none.
	LoadAge time.Duration
	// Tight and Candidates tell how the pool was split.
	Tight      int
	Candidates int

	run    uint64
	keys   []uint64
	prompt Prompt
}

// Pick chooses an upstream and counts the request there until Ended. It
// reports false if the pool has no upstream left to try.
func (t *Table) Pick(now time.Time, r Request) (Choice, bool) {
	p, ok := t.pools[r.Pool]
	if !ok {
		return Choice{}, false
	}
	candidates := p.usable(now, r)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	keys := r.Prompt.chain()
	border := p.split.tightMembers(now, len(candidates))
	home := homeOf(candidates[border:], r.Prompt, keys)
	best := Choice{}
	var chosen *upstream
	for i, u := range candidates {
		c := t.consider(now, p, u, r, keys, u == home)
		if border > 0 {
			c.Cost += p.splitCost(r, i < border)
		}
		if chosen == nil || c.Cost < best.Cost || (c.Cost == best.Cost && tie(r, u) > tie(r, chosen)) {
			best, chosen = c, u
		}
	}
	best.Tight = border
	best.Candidates = len(candidates)
	t.send(now, p, chosen, r, &best)
	return best, true
}

func tie(r Request, u *upstream) uint64 { return rendezvous.Mix(r.Hash, u.hash) }

// usable returns the upstreams that may be tried, in order of rank. Ejected
// ones are left out while there are others.
func (p *pool) usable(now time.Time, r Request) []*upstream {
	var good, ejected []*upstream
	for _, u := range p.members {
		switch {
		case u.Leaving || slices.Contains(r.Exclude, u.ID):
		case u.health.ejected(now):
			ejected = append(ejected, u)
		default:
			good = append(good, u)
		}
	}
	if len(good) == 0 {
		return ejected
	}
	return good
}

// homeOf returns the upstream that all gateways send the shared part to.
func homeOf(candidates []*upstream, p Prompt, keys []uint64) *upstream {
	shared := len(p.shared())
	if shared == 0 {
		return nil
	}
	key := keys[shared-1]
	var home *upstream
	var best uint64
	for _, u := range candidates {
		if score := rendezvous.Mix(key, u.hash); home == nil || score > best {
			home, best = u, score
		}
	}
	return home
}

// consider works out the cost of sending the request to the upstream.
func (t *Table) consider(now time.Time, p *pool, u *upstream, r Request, keys []uint64, home bool) Choice {
	c := Choice{
		Instance: u.Instance,
		InFlight: u.inFlight(now),
		LoadAge:  -1,
		keys:     keys,
		prompt:   r.Prompt,
	}
	if u.load.known {
		c.LoadAge = now.Sub(u.load.at)
	}
	c.Unread = unreadTokens(now, u, r.Prompt, keys, home)
	if r.Prompt.Tokens > 0 {
		c.Cost = p.engineCost(now, u, r, c)
	} else {
		c.Cost = p.serviceCost(now, u, c)
	}
	if u.Zone != t.zone {
		c.Cost += zoneCost
	}
	c.Cost += silenceCost(now, u)
	return c
}

// unreadTokens is the part of the prompt that the engine would read anew.
func unreadTokens(now time.Time, u *upstream, p Prompt, keys []uint64, home bool) int {
	held := u.cache.held(now, p, keys)
	if home {
		shared := 0
		for _, part := range p.shared() {
			shared += part.Tokens
		}
		held = max(held, int(homeCredit*float64(shared)))
	}
	return max(0, p.Tokens-held)
}

// engineCost is the cost at a model engine.
func (p *pool) engineCost(now time.Time, u *upstream, r Request, c Choice) float64 {
	perMs := p.speed.tokensPerMs()
	reading := float64(c.Unread) / perMs
	cost := waitWeight(r.Target)*float64(u.unread())/perMs + readWeight*reading + slotCost*c.InFlight
	if slots := float64(u.Slots); slots > 0 && c.InFlight >= slots {
		// Beyond its slots a request waits for another one to end.
		cost += u.pace.workMs(now, p.usualWork()) * (c.InFlight + 1 - slots) / slots
	}
	if limit := p.split.limit; limit > 0 && r.Pause > limit {
		cost += harmWeight * reading * float64(u.tight(limit))
	}
	return cost
}

// waitWeight is how much a millisecond of waiting counts.
func waitWeight(target time.Duration) float64 {
	if target <= patientTarget {
		return 1
	}
	return max(leastWaitWeight, float64(patientTarget)/float64(target))
}

// serviceCost is the cost at a plain service.
func (p *pool) serviceCost(now time.Time, u *upstream, c Choice) float64 {
	slots := float64(max(u.Slots, 1))
	work := u.pace.workMs(now, p.usualWork())
	return work * (1 + max(0, c.InFlight+1-slots)/slots + 0.5*c.InFlight/slots)
}

// splitCost is the cost of leaving the side of the split that the request
// belongs to. Requests that are neither tight nor among those with the longest
// pauses may use both sides.
func (p *pool) splitCost(r Request, onTightSide bool) float64 {
	limit := p.split.limit
	tight := r.Pause > 0 && r.Pause <= limit
	if tight != onTightSide {
		return splitCost
	}
	return 0
}

// silenceCost grows while an upstream that was asked says nothing.
func silenceCost(now time.Time, u *upstream) float64 {
	if u.askedAt.IsZero() {
		return 0
	}
	silent := now.Sub(u.askedAt) - silenceAfter
	return silenceWeight * max(0, milliseconds(silent))
}

// send counts the request at the upstream.
func (t *Table) send(now time.Time, p *pool, u *upstream, r Request, c *Choice) {
	t.lastRun++
	c.run = t.lastRun
	if u.askedAt.IsZero() {
		u.askedAt = now
	}
	u.running[c.run] = &run{route: r.Route, unread: c.Unread, pause: r.Pause, sentAt: now}
	if r.Prompt.Tokens > 0 {
		p.split.asked(now, r, float64(c.Unread)/p.speed.tokensPerMs())
	}
}
