package agent

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
)

// Load is what the agent tells entries about itself with every answer.
type Load struct {
	FreeSlots int
	Queued    int
	// Wait is the expected wait of a new request by tier; index 0 is tier 1.
	Wait    [config.Tiers]time.Duration
	Leaving bool
}

// Load returns the present load.
func (a *Agent) Load() Load {
	l := Load{
		FreeSlots: max(0, a.slots-a.busy),
		Queued:    a.queue.Len(),
		Leaving:   a.leaving,
	}
	for tier := 1; tier <= config.Tiers; tier++ {
		l.Wait[tier-1] = a.wait(tier, a.meanCost())
	}
	return l
}

// wait is the expected time until a new request of the tier starts, when one
// request takes cost tokens.
func (a *Agent) wait(tier int, cost float64) time.Duration {
	requests, tokens := a.queue.Ahead(tier)
	open := float64(a.slots - a.busy + a.preemptible(tier))
	if requests < open {
		return 0
	}
	if requests > 0 {
		cost = tokens / requests
	}
	turns := requests - max(0, open) + 1
	seconds := turns * cost / (a.speed * float64(a.slots))
	return time.Duration(seconds * float64(time.Second))
}

// meanCost is the mean of tokens over the running requests' classes.
func (a *Agent) meanCost() float64 {
	if len(a.runs) == 0 {
		return a.options.Tokens
	}
	// Whole tokens: a sum of floats would depend on the order of the map.
	sum := 0
	for _, r := range a.runs {
		sum += int(a.queue.Cost(r.item.Class))
	}
	return max(1, float64(sum)/float64(len(a.runs)))
}

// learnSpeed takes an observation of tokens made in a time by one run.
func (a *Agent) learnSpeed(tokens int, d time.Duration) {
	if d <= 0 || tokens <= 0 {
		return
	}
	observed := float64(tokens) / d.Seconds()
	if !a.measured {
		a.measured = true
		a.speed = observed
		return
	}
	a.speed += speedRate * (observed - a.speed)
}
