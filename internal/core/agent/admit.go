package agent

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/queue"
)

// minWaiting is the number of requests of each class that may always wait, so
// that its floor share has something to serve.
const minWaiting = 1

// admit decides whether a request may wait. When the class has more waiting
// than can start in time, the organisation with the longest backlog gives way.
func (a *Agent) admit(now time.Time, it *queue.Item) ([]Effect, bool) {
	if a.options.NoRefusal {
		return nil, true
	}
	if a.queue.Len() < MaxWaiting && a.startsInTime(now, it) {
		return nil, true
	}
	if a.queue.LenClass(it.Class.Name) < minWaiting {
		return nil, true
	}
	victim, ok := a.queue.Longest(it.Class.Name)
	if !ok || !a.givesWay(victim, it) {
		return nil, false
	}
	a.queue.Remove(victim.ID)
	return []Effect{a.refuse(now, victim.ID, Overload, victim.Class.Tier)}, true
}

// startsInTime reports whether the request can be expected to start within
// its target, after all that stands before it.
func (a *Agent) startsInTime(now time.Time, it *queue.Item) bool {
	wait := a.wait(it.Class.Tier, a.queue.Cost(it.Class))
	return wait == 0 || wait <= it.Slack(now)
}

// givesWay reports whether the victim's organisation would still have as much
// waiting as the newcomer's after giving up one place.
func (a *Agent) givesWay(victim, newcomer *queue.Item) bool {
	if a.ledger.State(victim.ID).Started() || victim.Organisation == newcomer.Organisation {
		return false
	}
	held := a.queue.Backlog(victim.Class.Name, victim.Organisation)
	wanted := a.queue.Backlog(newcomer.Class.Name, newcomer.Organisation) + 1/max(newcomer.Weight, 1e-6)
	return held > wanted
}
