package route

import (
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/member"
	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// Request holds the properties of a request that a pick depends on.
type Request struct {
	Pool string
	Tier int
	// Prefix is the hash of the prompt's prefix; 0 for none.
	Prefix uint64
	// Exclude lists the agents that were tried already.
	Exclude []string
}

// Pick returns up to n agents, the best first, or none if no agent of the pool is left to
// try.
func (t *Table) Pick(now time.Time, r Request, n int) []member.Host {
	p, ok := t.pools[r.Pool]
	if !ok {
		return nil
	}
	sample := t.sample(now, p, r, max(n, t.options.Sample))
	picks := make([]member.Host, 0, n)
	for len(picks) < n && len(sample) > 0 {
		i := 0
		if !t.options.Random {
			i = t.best(now, sample, r)
		}
		u := sample[i]
		sample[i] = sample[len(sample)-1]
		sample = sample[:len(sample)-1]
		u.pending++
		picks = append(picks, u.host)
	}
	return picks
}

// sample returns usable agents, drawn from a random offset with a random step, including
// the owner of the prefix.
func (t *Table) sample(now time.Time, p *pool, r Request, n int) []*upstream {
	sample := t.scratch[:0]
	if owner := t.owner(p, r); owner != nil && usable(now, owner, r) {
		sample = append(sample, owner)
	}
	size := len(p.members)
	if size == 0 {
		return sample
	}
	offset := t.rng.IntN(size)
	step := coprimeStep(t.rng.IntN(size), size)
	for i := 0; i < size && len(sample) < n; i++ {
		u := p.members[(offset+i*step)%size]
		if usable(now, u, r) && !slices.Contains(sample, u) {
			sample = append(sample, u)
		}
	}
	t.scratch = sample
	return sample
}

// coprimeStep returns a step that visits all positions of a ring of the size.
func coprimeStep(step, size int) int {
	for step = max(1, step); gcd(step, size) != 1; {
		step++
	}
	return step
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func usable(now time.Time, u *upstream, r Request) bool {
	return !u.isLeaving(now) &&
		!u.health.isEjected(now) &&
		!slices.Contains(r.Exclude, u.host.ID)
}

// owner returns the agent that the prompt's prefix is mapped to.
func (t *Table) owner(p *pool, r Request) *upstream {
	if r.Prefix == 0 || t.options.NoPrefix || t.options.Random {
		return nil
	}
	var best *upstream
	var bestScore uint64
	for _, u := range p.members {
		if score := rendezvous.Mix(r.Prefix, u.hash); best == nil || score > bestScore {
			best, bestScore = u, score
		}
	}
	return best
}

// best returns the index of the agent with the least cost.
func (t *Table) best(now time.Time, sample []*upstream, r Request) int {
	owner := t.owner(t.pools[r.Pool], r)
	best := 0
	var bestCost time.Duration
	for i, u := range sample {
		cost := t.cost(now, u, r.Tier)
		if u == owner {
			cost -= prefixBonus
		}
		if i == 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// cost is the expected wait at the agent.
func (t *Table) cost(now time.Time, u *upstream, tier int) time.Duration {
	cost := time.Duration(u.pending) * pendingCost
	if u.host.Zone != t.options.Zone {
		cost += zoneCost
	}
	return cost + u.wait(now, tier)
}

// wait is the wait reported by the agent, blended into the default as the report ages.
func (u *upstream) wait(now time.Time, tier int) time.Duration {
	age := now.Sub(u.loadAt)
	if !u.known || age >= staleAfter {
		return defaultWait
	}
	tier = min(max(tier, 1), config.Tiers)
	wait := u.load.Wait[tier-1]
	if u.load.FreeSlots == 0 && wait == 0 {
		wait = time.Millisecond
	}
	confidence := 1 - float64(age)/float64(staleAfter)
	return time.Duration(confidence*float64(wait) + (1-confidence)*float64(defaultWait))
}
