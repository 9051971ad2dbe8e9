package agent

import (
	"math"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/queue"
)

// minWaiting is the number of requests of each class that may always wait, so that
// its floor share has requests to serve.
const minWaiting = 1

// maxWaitShare returns the part of a request's slack that its expected wait may use,
// given the number of requests waited for. The expected wait is a mean: if it
// equalled the slack, about half of the requests would be late. The mean is more
// reliable for more requests, so the share grows with their number.
func maxWaitShare(requests float64) float64 {
	return 1 - 1/math.Sqrt(2+requests)
}

// maxLead is the upper bound of the lead, as a fraction of the target.
const maxLead = 0.8

// admit decides whether a request may wait. If the class has more requests waiting
// than can start in time, the last request of the organisation that exceeds its
// fair share the most may be evicted for it.
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
	effects := a.preemptForProtected(it.Class)
	victim, ok := a.queue.EvictionCandidate(it.Class.Name)
	if !ok || !a.canEvict(victim, it) {
		return effects, false
	}
	a.queue.Remove(victim.ID)
	return append(effects, a.refuse(now, victim.ID, Overload, victim.Class)), true
}

// startsInTime reports whether the request is expected to start within its target,
// after all requests that run before it.
func (a *Agent) startsInTime(now time.Time, it *queue.Item) bool {
	wait, requests := a.waitFor(it.Class, a.queue.MeanTokens(it.Class))
	share := maxWaitShare(requests) * a.slackFactor(it.Class)
	return wait == 0 || wait <= time.Duration(share*float64(it.Slack(now)))
}

// Adaptation of the slack factor, which corrects the wait estimate. The factor is
// multiplied by slackFactorDecay after a late request and grows by slackFactorGain
// after one on time. In equilibrium about one request in twenty is late.
const (
	slackFactorDecay = 0.97
	slackFactorGain  = 0.001
	minSlackFactor   = 0.1
)

// slackFactor returns the part of its slack that a request of the class may use.
func (a *Agent) slackFactor(class *config.Class) float64 {
	if t, ok := a.slackFactors[class.Name]; ok {
		return t
	}
	return 1
}

// adjustSlackFactor adapts the slack factor after a request of the class was served
// on time or late.
func (a *Agent) adjustSlackFactor(class *config.Class, onTime bool) {
	t := a.slackFactor(class)
	if onTime {
		t += slackFactorGain
	} else {
		t *= slackFactorDecay
	}
	a.slackFactors[class.Name] = min(1, max(minSlackFactor, t))
}

// canEvict reports whether the newcomer may take the place of the victim: the victim
// was never started, belongs to another organisation and would run after the newcomer.
func (a *Agent) canEvict(victim, newcomer *queue.Item) bool {
	if a.ledger.State(victim.ID).Started() || victim.Organisation == newcomer.Organisation {
		return false
	}
	return a.queue.Before(newcomer, victim)
}
