package agent

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
)

// Load is the load that the agent reports to entries with every response.
type Load struct {
	FreeSlots int
	Queued    int
	// Wait is the expected wait of a new request by tier. Index 0 is tier 1.
	Wait    [config.Tiers]time.Duration
	Leaving bool
}

// Load returns the current load.
func (a *Agent) Load() Load {
	l := Load{
		FreeSlots: max(0, a.slots-a.busySlots),
		Queued:    a.queue.Len(),
		Leaving:   a.leaving,
	}
	for tier := 1; tier <= config.Tiers; tier++ {
		l.Wait[tier-1] = a.wait(typicalClass(tier), a.meanCost())
	}
	return l
}

// typicalClass returns a class that represents a tier in load reports.
func typicalClass(tier int) *config.Class {
	return &config.Class{Tier: tier, Protected: tier <= protectedTiers}
}

// protectedTiers is the number of highest tiers whose classes are usually protected.
const protectedTiers = 2

// wait returns the expected time until a new request of the class starts, if each
// request takes cost tokens.
func (a *Agent) wait(class *config.Class, cost float64) time.Duration {
	d, _ := a.waitFor(class, cost)
	return d
}

// waitFor returns the same as wait, and the number of requests waited for.
func (a *Agent) waitFor(class *config.Class, cost float64) (time.Duration, float64) {
	requests, tokens := a.queue.ExpectedAhead(class.Tier)
	free := float64(a.slots - a.busySlots + a.stopping + a.preemptible(class))
	if requests < free {
		return 0, 0
	}
	if requests > 0 {
		cost = tokens / requests
	}
	completions := requests - max(0, free) + 1
	seconds := completions * cost / a.available(class)
	return time.Duration(seconds * float64(time.Second)), completions
}

// available returns the tokens per second that higher tiers leave to a class. For a
// class with a long target it averages over a longer window, since a current burst
// may end before the target.
func (a *Agent) available(class *config.Class) float64 {
	window := shortWindow
	if class.StartTarget() > longWindowTarget {
		window = longWindow
	}
	all := a.speed * float64(a.slots)
	left := all
	for above := 1; above < class.Tier; above++ {
		left -= a.tierRates[window][above-1]
	}
	return max(left, minAvailableShare*all)
}

// Windows of the moving averages in tierRates.
const (
	shortWindow = iota
	longWindow
	windows
)

// windowLengths are the durations of the windows.
var windowLengths = [windows]time.Duration{10 * time.Second, 5 * time.Minute}

// longWindowTarget is the start target above which a class uses the long window.
const longWindowTarget = 30 * time.Second

// observeRates updates the token rates of the tiers after a time d since the last
// tick.
func (a *Agent) observeRates(d time.Duration) {
	if d <= 0 {
		return
	}
	for tier, tokens := range a.tierTokens {
		observed := float64(tokens) / d.Seconds()
		for w, length := range windowLengths {
			// Rates start at 0, since a burst at startup may end soon.
			weight := min(1, d.Seconds()/length.Seconds())
			a.tierRates[w][tier] += weight * (observed - a.tierRates[w][tier])
		}
		a.tierTokens[tier] = 0
	}
}

// meanCost returns the mean of the expected tokens of the running requests.
func (a *Agent) meanCost() float64 {
	if len(a.runs) == 0 {
		return a.options.InitialTokens
	}
	// Sums integers: a sum of floats would depend on map iteration order.
	sum := 0
	for _, r := range a.runs {
		sum += int(a.queue.MeanTokens(r.item.Class))
	}
	return max(1, float64(sum)/float64(len(a.runs)))
}

// lead returns the estimated time from the start of a request until it meets its
// target: the time to the first token or, for a completion target, to the end of
// a response of the class's upper length quantile.
func (a *Agent) lead(class *config.Class) time.Duration {
	lead := time.Duration(a.timeToFirstToken)
	if class.FirstToken == 0 {
		lead += time.Duration(a.queue.TailTokens(class) / a.speed * float64(time.Second))
	}
	return min(lead, time.Duration(maxLead*float64(class.StartTarget())))
}

// observeSpeed updates the speed estimate with the tokens that one run produced in
// time d.
func (a *Agent) observeSpeed(tokens int, d time.Duration) {
	if d <= 0 || tokens <= 0 {
		return
	}
	observed := float64(tokens) / d.Seconds()
	if !a.speedMeasured {
		a.speedMeasured = true
		a.speed = observed
		return
	}
	a.speed += smoothing * (observed - a.speed)
}
