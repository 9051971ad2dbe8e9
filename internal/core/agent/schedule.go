package agent

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/ledger"
)

// schedule grants free slots in queue order, and preempts runs of lower tiers for
// requests that would otherwise be late.
func (a *Agent) schedule(now time.Time) []Effect {
	var effects []Effect
	if a.down || a.backoffLeft(now) > 0 {
		return nil
	}
	for a.busySlots < a.slots {
		choice, ok := a.queue.Pop(now, a.floorSlotFree())
		if !ok {
			return effects
		}
		r := &run{item: choice.Item, floor: choice.Floor, granted: now}
		a.runs[choice.Item.ID] = r
		a.busySlots++
		effects = append(effects, a.grant(now, r))
	}
	if !a.options.NoPreemption {
		effects = append(effects, a.preempt(now)...)
	}
	return effects
}

// floorSlotFree reports whether another run may start on a floor share. Such runs
// cannot be preempted, so their concurrency is limited in proportion to the slots.
func (a *Agent) floorSlotFree() bool {
	n := 0
	for _, r := range a.runs {
		if r.floor {
			n++
		}
	}
	return n < max(1, a.slots/slotsPerFloorRun)
}

// grant grants the slot to the entry, or resumes a preempted run, which its entry has
// claimed before.
func (a *Agent) grant(now time.Time, r *run) Effect {
	id := r.item.ID
	if a.ledger.State(id).Started() {
		return a.start(now, id, r)
	}
	a.ledger.Set(now, id, ledger.Granted)
	return Grant{ID: id, TTL: GrantTTL, Incarnation: a.options.Incarnation}
}

// preemptForProtected stops runs of lower tiers for waiting requests before a
// protected request is refused for overload. No protected request is refused while
// such runs continue.
func (a *Agent) preemptForProtected(class *config.Class) []Effect {
	if !class.Protected || a.options.NoPreemption {
		return nil
	}
	var effects []Effect
	for a.stopping < a.queue.WaitingAbove(class.Tier+1) {
		stop, ok := a.preemptOne(class)
		if !ok {
			break
		}
		effects = append(effects, stop)
	}
	return effects
}

// preempt stops runs of lower tiers, one for each urgent request that will not get
// the slot of a run that is already stopping.
func (a *Agent) preempt(now time.Time) []Effect {
	var effects []Effect
	for {
		next, ok := a.queue.Peek(now, false)
		if !ok || !a.urgent(next.Item.Slack(now)) {
			return effects
		}
		class := next.Item.Class
		if a.stopping >= a.queue.WaitingAbove(class.Tier+1) {
			return effects
		}
		stop, ok := a.preemptOne(class)
		if !ok {
			return effects
		}
		effects = append(effects, stop)
	}
}

// preemptOne stops the best victim for a request of the class.
func (a *Agent) preemptOne(class *config.Class) (Stop, bool) {
	victim := a.victim(class)
	if victim == nil {
		return Stop{}, false
	}
	a.markStopping(victim)
	return Stop{ID: victim.item.ID, Preempted: true}, true
}

// urgent reports whether a request with this slack cannot wait until a run completes
// and releases its slot.
func (a *Agent) urgent(slack time.Duration) bool {
	slotInterval := a.meanCost() / (a.speed * float64(a.slots))
	return slack.Seconds() < urgencyFactor*slotInterval
}

// victim returns the run that a request of the class should preempt: one of the
// lowest tier and, within that tier, the one with the fewest tokens produced. It
// returns nil if no run may be preempted.
func (a *Agent) victim(class *config.Class) *run {
	var best *run
	for _, r := range a.running() {
		if !r.preemptibleFor(class) {
			continue
		}
		if best == nil || betterVictim(r, best) {
			best = r
		}
	}
	return best
}

func betterVictim(a, b *run) bool {
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
