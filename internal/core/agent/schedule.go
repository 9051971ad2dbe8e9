package agent

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/ledger"
)

// schedule grants free slots in order, and preempts lower tiers for requests
// that would otherwise be late.
func (a *Agent) schedule(now time.Time) []Effect {
	var effects []Effect
	if a.down || a.restLeft(now) > 0 {
		return nil
	}
	for a.busy < a.slots {
		choice, ok := a.queue.Pop(now, a.floorOpen())
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

// floorOpen reports whether another run may begin on a floor share. Such runs
// cannot be preempted, so only as many run at a time as the shares stand for.
func (a *Agent) floorOpen() bool {
	n := 0
	for _, r := range a.runs {
		if r.floor {
			n++
		}
	}
	return n < max(1, a.slots/floorSlots)
}

// grant offers the slot to the entry, or continues a preempted run that its
// entry has claimed before.
func (a *Agent) grant(now time.Time, r *run) Effect {
	id := r.item.ID
	if a.ledger.State(id).Started() {
		return a.start(now, id, r)
	}
	a.ledger.Set(now, id, ledger.Granted)
	return Grant{ID: id, TTL: GrantTTL, Incarnation: a.options.Incarnation}
}

// makeRoom stops runs of lower tiers for what waits, before a protected
// request is refused for overload: none is ever refused while such runs go on.
func (a *Agent) makeRoom(class *config.Class) []Effect {
	if !class.Protected || a.options.NoPreemption {
		return nil
	}
	var effects []Effect
	for a.stopping < a.queue.WaitingAbove(class.Tier+1) {
		stop, ok := a.stopOne(class)
		if !ok {
			break
		}
		effects = append(effects, stop)
	}
	return effects
}

// preempt stops runs of lower tiers, one for each urgent request that no
// stopping run makes room for yet.
func (a *Agent) preempt(now time.Time) []Effect {
	var effects []Effect
	for {
		next, ok := a.queue.Next(now, false)
		if !ok || !a.urgent(next.Item.Slack(now)) {
			return effects
		}
		class := next.Item.Class
		if a.stopping >= a.queue.WaitingAbove(class.Tier+1) {
			return effects
		}
		stop, ok := a.stopOne(class)
		if !ok {
			return effects
		}
		effects = append(effects, stop)
	}
}

// stopOne stops the run that yields first to a request of the class.
func (a *Agent) stopOne(class *config.Class) (Stop, bool) {
	victim := a.victim(class)
	if victim == nil {
		return Stop{}, false
	}
	a.markStopping(victim)
	return Stop{ID: victim.item.ID, Preempted: true}, true
}

// urgent reports whether a request with this slack cannot wait for a slot to
// become free by itself.
func (a *Agent) urgent(slack time.Duration) bool {
	natural := a.meanCost() / (a.speed * float64(a.slots))
	return slack.Seconds() < urgentWaits*natural
}

// victim returns the run of the lowest tier that a request of the class may
// preempt, and of those the one with the least work done.
func (a *Agent) victim(class *config.Class) *run {
	var best *run
	for _, r := range a.running() {
		if !r.preemptibleFor(class) {
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

// preemptible counts the runs that a request of the class may preempt.
func (a *Agent) preemptible(class *config.Class) int {
	if a.options.NoPreemption {
		return 0
	}
	n := 0
	for _, r := range a.runs {
		if r.preemptibleFor(class) {
			n++
		}
	}
	return n
}
