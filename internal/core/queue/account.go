package queue

import "container/list"

// lane numbers: requests that can meet their target, and late ones.
const (
	fresh = iota
	late
	lanes
)

// account is one organisation's turn within a class. Its pass is the virtual
// time of fair queueing: tokens charged, over weight.
type account struct {
	name    string
	weight  float64
	pass    float64
	waiting int
	items   [lanes]list.List
	place   [lanes]int
	// longest is the place in the heap of backlogs.
	longest int
}

func newAccount(name string, weight, pass float64) *account {
	return &account{
		name:    name,
		weight:  weight,
		pass:    pass,
		place:   [lanes]int{outside, outside},
		longest: outside,
	}
}

// backlog is what the organisation has waiting, relative to its weight.
func (a *account) backlog() float64 {
	return float64(a.waiting) / a.weight
}
