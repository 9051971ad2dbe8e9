package queue

import "container/list"

// Lanes of an account: preempted requests with a partial response, requests that
// can still meet their latency target, and requests that have missed it.
const (
	resumed = iota
	onTime
	late
	lanes
)

// account is the fair-queueing state of one organisation within a class. Its pass
// is the organisation's virtual time: the tokens charged, divided by the weight.
type account struct {
	name    string
	weight  float64
	pass    float64
	waiting int
	items   [lanes]list.List
	index   [lanes]int
	// finishTagIndex is the account's index in classQueue.byFinishTag.
	finishTagIndex int
}

func newAccount(name string, weight, pass float64) *account {
	return &account{
		name:           name,
		weight:         weight,
		pass:           pass,
		index:          [lanes]int{notInHeap, notInHeap, notInHeap},
		finishTagIndex: notInHeap,
	}
}

// finishTag returns the organisation's pass after all its waiting requests and n
// more have run, at tokensPerRequest tokens each.
func (a *account) finishTag(n int, tokensPerRequest float64) float64 {
	return a.pass + float64(a.waiting+n)*tokensPerRequest/a.weight
}
