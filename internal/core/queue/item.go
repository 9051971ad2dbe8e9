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
	// Arrived is when the request reached its entry.
	Arrived time.Time
	// Lead is the time from its start until the request meets its target, as
	// far as is known.
	Lead time.Duration
	// Copies is the number of agents that hold the request; at least 1.
	Copies int
	// Produced is the number of tokens made before a preemption.
	Produced int
	// Preemptions is how often the request was preempted.
	Preemptions int

	charged float64
	late    bool
	owner   *account
	turn    *list.Element
	age     int
}

// StartBy is the time by which the item should start.
func (it *Item) StartBy() time.Time {
	return it.Arrived.Add(it.Class.StartTarget() - it.Lead)
}

// share is the part of the request that is expected to run here.
func (it *Item) share() float64 {
	return 1 / float64(max(1, it.Copies))
}

// useless reports whether the answer would come too late to matter. A begun
// answer whose target is its first token has met it or not already.
func (it *Item) useless(now time.Time) bool {
	return now.Sub(it.Arrived) >= it.Class.Useful-it.Lead
}

// Slack is the time left until the item should start.
func (it *Item) Slack(now time.Time) time.Duration {
	return it.StartBy().Sub(now)
}
