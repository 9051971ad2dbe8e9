package agent

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/ledger"
)

// schedule grants free slots in order, and preempts lower tiers for requests
// that would otherwise be late.
func (a *Agent) schedule(now time.Time) []Effect {
	var effects []Effect
	if a.down {
		return nil
	}
	for a.busy < a.slots {
		choice, ok := a.queue.Pop(now)
		if !ok {
			return effects
		}
		r := &run{item: choice.Item, floor: choice.Floor, granted: now}
		a.runs[choice.Item.ID] = r
		a.busy++
		effects = append(effects, a.grant(now, r))
	}
	if !a.options.NoPreemption {
		effects = append(effects, a.preempt(now)...)
	}
	return effects
}

// grant offers the slot to the entry, or continues a preempted run that its
// entry has claimed before.
func (a *Agent) grant(now time.Time, r *run) Effect {
	id := r.item.ID
	if a.ledger.State(id).Started() {
		r.preemptions = a.preemptions(id)
		return a.start(now, id, r)
	}
	a.ledger.Set(now, id, ledger.Granted)
	return Grant{ID: id, TTL: GrantTTL}
}

// preempt stops runs of lower tiers, one for each urgent request that no
// stopping run makes room for yet.
func (a *Agent) preempt(now time.Time) []Effect {
	var effects []Effect
	for {
		next, ok := a.queue.Next(now)
		if !ok || next.Floor || !a.urgent(next.Item.Slack(now)) {
			return effects
		}
		tier := next.Item.Class.Tier
		if a.stopping >= a.queue.WaitingAbove(tier+1) {
			return effects
		}
		victim := a.victim(tier)
		if victim == nil {
			return effects
		}
		a.markStopping(victim)
		effects = append(effects, Stop{ID: victim.item.ID, Preempted: true})
	}
}

// urgent reports whether a request with this slack cannot wait for a slot to
// become free by itself.
func (a *Agent) urgent(slack time.Duration) bool {
	natural := a.meanCost() / (a.speed * float64(a.slots))
	return slack.Seconds() < urgentWaits*natural
}

// victim returns the run of the lowest tier that a request of the tier may
// preempt, and of those the one with the least work done.
func (a *Agent) victim(tier int) *run {
	var best *run
	for _, r := range a.running() {
		if !r.preemptibleFor(tier) {
			continue
		}
		if best == nil || yieldsFirst(r, best) {
			best = r
		}
	}
	return best
}

func yieldsFirst(a, b *run) bool {
	if a.item.Class.Tier != b.item.Class.Tier {
		return a.item.Class.Tier > b.item.Class.Tier
	}
	return a.produced < b.produced
}

// preemptible counts the runs that a request of the tier may preempt.
func (a *Agent) preemptible(tier int) int {
	if a.options.NoPreemption {
		return 0
	}
	n := 0
	for _, r := range a.runs {
		if r.preemptibleFor(tier) {
			n++
		}
	}
	return n
}

// preemptions returns how often the attempt was preempted.
func (a *Agent) preemptions(id string) int {
	return a.offers[id].preemptions
}

// withPreemption counts one more preemption.
func withPreemption(o Offer) Offer {
	o.preemptions++
	return o
}
