package queue

import (
	"container/list"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
)

// Item is one waiting request.
type Item struct {
	ID           string
	Class        *config.Class
	Organisation string
	Weight       float64
	// Arrived is the time at which the request reached its entry.
	Arrived time.Time
	// Lead is the estimated time from the start of the request until it meets its
	// latency target.
	Lead time.Duration
	// Copies is the number of agents that hold the request, at least 1.
	Copies int
	// Produced is the number of tokens produced before a preemption.
	Produced int
	// Preemptions is the number of times the request was preempted.
	Preemptions int

	charged      float64
	late         bool
	owner        *account
	element      *list.Element
	arrivalIndex int
}

// StartBy returns the latest start time that meets the latency target.
func (it *Item) StartBy() time.Time {
	return it.Arrived.Add(it.Class.StartTarget() - it.Lead)
}

// expectedRuns returns the expected number of runs of the request at this agent,
// which is the reciprocal of the number of agents that hold it.
func (it *Item) expectedRuns() float64 {
	return 1 / float64(max(1, it.Copies))
}

// expired reports whether the response would arrive too late to be useful. It is
// irrelevant for a preempted request with a first-token target, which has already
// met or missed that target.
func (it *Item) expired(now time.Time) bool {
	return now.Sub(it.Arrived) >= it.Class.Useful-it.Lead
}

// Slack returns the time left until StartBy. It is negative for late requests.
func (it *Item) Slack(now time.Time) time.Duration {
	return it.StartBy().Sub(now)
}
