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
		l.Wait[tier-1] = a.wait(typical(tier), a.meanCost())
	}
	return l
}

// typical stands for the classes of a tier in what entries are told.
func typical(tier int) *config.Class {
	return &config.Class{Tier: tier, Protected: tier <= protectedTiers}
}

// protectedTiers are the tiers whose classes are usually protected.
const protectedTiers = 2

// wait is the expected time until a new request of the class starts, when one
// request takes cost tokens.
func (a *Agent) wait(class *config.Class, cost float64) time.Duration {
	d, _ := a.waitFor(class, cost)
	return d
}

// waitFor also returns the number of requests that are waited for.
func (a *Agent) waitFor(class *config.Class, cost float64) (time.Duration, float64) {
	requests, tokens := a.queue.Ahead(class.Tier)
	open := float64(a.slots - a.busy + a.stopping + a.preemptible(class))
	if requests < open {
		return 0, 0
	}
	if requests > 0 {
		cost = tokens / requests
	}
	turns := requests - max(0, open) + 1
	seconds := turns * cost / a.available(class)
	return time.Duration(seconds * float64(time.Second)), turns
}

// available is the tokens a second that are left to a class by the tiers above
// its own. A class that can wait long looks further back, since a burst that
// goes on now may end before its target.
func (a *Agent) available(class *config.Class) float64 {
	window := shortWindow
	if class.StartTarget() > longTarget {
		window = longWindow
	}
	all := a.speed * float64(a.slots)
	left := all
	for above := 1; above < class.Tier; above++ {
		left -= a.rates[window][above-1]
	}
	return max(left, minAvailable*all)
}

// The windows over which the rates of tiers are learnt.
const (
	shortWindow = iota
	longWindow
	windows
)

// windowLengths are the times of the windows.
var windowLengths = [windows]time.Duration{10 * time.Second, 5 * time.Minute}

// longTarget is the target from which a class looks back over the long window.
const longTarget = 30 * time.Second

// learnRates takes the tokens made by each tier since the last tick.
func (a *Agent) learnRates(d time.Duration) {
	if d <= 0 {
		return
	}
	for tier, tokens := range a.made {
		observed := float64(tokens) / d.Seconds()
		for w, length := range windowLengths {
			// Rates begin at 0: a burst at the start may end soon.
			weight := min(1, d.Seconds()/length.Seconds())
			a.rates[w][tier] += weight * (observed - a.rates[w][tier])
		}
		a.made[tier] = 0
	}
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

// lead is the time that a request of the class needs from its start to meet
// its target: to the first token, or for most answers to the end.
func (a *Agent) lead(class *config.Class) time.Duration {
	lead := time.Duration(a.prompt)
	if class.FirstToken == 0 {
		lead += time.Duration(a.queue.Long(class) / a.speed * float64(time.Second))
	}
	return min(lead, time.Duration(maxLead*float64(class.StartTarget())))
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
