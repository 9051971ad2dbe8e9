package agent

import (
	"math"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/queue"
)

// minWaiting is the number of requests of each class that may always wait, so
// that its floor share has something to serve.
const minWaiting = 1

// admitShare is the part of its slack that a request may be expected to wait.
// The wait is a mean over so many requests; a queue as long as the slack would
// leave half of them late, the more certainly the more they are.
func admitShare(requests float64) float64 {
	return 1 - 1/math.Sqrt(2+requests)
}

// maxLead bounds the lead, as a part of the target.
const maxLead = 0.8

// admit decides whether a request may wait. When the class has more waiting
// than can start in time, the organisation that is furthest ahead of its turn
// gives way.
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
	effects := a.makeRoom(it.Class)
	victim, ok := a.queue.Furthest(it.Class.Name)
	if !ok || !a.givesWay(victim, it) {
		return effects, false
	}
	a.queue.Remove(victim.ID)
	return append(effects, a.refuse(now, victim.ID, Overload, victim.Class)), true
}

// startsInTime reports whether the request can be expected to start within
// its target, after all that stands before it.
func (a *Agent) startsInTime(now time.Time, it *queue.Item) bool {
	wait, requests := a.waitFor(it.Class, a.queue.Cost(it.Class))
	share := admitShare(requests) * a.trustOf(it.Class)
	return wait == 0 || wait <= time.Duration(share*float64(it.Slack(now)))
}

// Steps of learning how far the expected wait can be trusted. In balance about
// one request in twenty is late.
const (
	trustLoss = 0.97
	trustGain = 0.001
	minTrust  = 0.1
)

// trustOf is the part of its slack that a request of the class may use.
func (a *Agent) trustOf(class *config.Class) float64 {
	if t, ok := a.trust[class.Name]; ok {
		return t
	}
	return 1
}

// learnTrust takes in whether a request of the class was served on time.
func (a *Agent) learnTrust(class *config.Class, onTime bool) {
	t := a.trustOf(class)
	if onTime {
		t += trustGain
	} else {
		t *= trustLoss
	}
	a.trust[class.Name] = min(1, max(minTrust, t))
}

// givesWay reports whether the newcomer's organisation is further behind.
func (a *Agent) givesWay(victim, newcomer *queue.Item) bool {
	if a.ledger.State(victim.ID).Started() || victim.Organisation == newcomer.Organisation {
		return false
	}
	return a.queue.Before(newcomer, victim)
}
