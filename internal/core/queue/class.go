package queue

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
)

// lateInterval is the interval, in pops of a class, at which a late request runs
// although requests on time are waiting.
const lateInterval = 16

// sweepInterval is the number of pops between two sweeps of idle accounts.
const sweepInterval = 1024

// maxLag is the maximum lag of an organisation's pass behind the virtual time of
// its class, in requests.
const maxLag = 4

// minWeight is the lower bound of weights. An invalid weight, such as zero, would
// otherwise stop the rotation of organisations.
const minWeight = 1e-6

// tailQuantile is the quantile of response lengths that tailTokens estimates, and
// initialTailFactor its initial estimate, as a multiple of the expected tokens.
const (
	tailQuantile      = 0.95
	initialTailFactor = 3
)

// classQueue holds the waiting requests of one class. vtime is the virtual time of
// fair queueing, and credit the unused tokens of the class's floor share.
type classQueue struct {
	class       *config.Class
	accounts    map[string]*account
	lanes       [lanes]indexedHeap[*account]
	byFinishTag indexedHeap[*account]
	byArrival   indexedHeap[*Item]
	vtime       float64
	credit      float64
	// expectedRuns is the expected number of waiting requests that will run at this
	// agent. Each request runs at only one of the agents that hold it.
	expectedRuns float64
	// meanTokens is a moving average of the tokens per response.
	meanTokens float64
	// tailTokens is an estimate of the tailQuantile of the tokens per response.
	tailTokens float64
	pops       int
}

func newClassQueue(c *config.Class) *classQueue {
	cq := &classQueue{
		class:      c,
		accounts:   make(map[string]*account),
		meanTokens: float64(c.ExpectedTokens),
		tailTokens: initialTailFactor * float64(c.ExpectedTokens),
	}
	for i := range cq.lanes {
		cq.lanes[i] = indexedHeap[*account]{
			less:  func(a, b *account) bool { return a.pass < b.pass },
			index: func(a *account, n int) { a.index[i] = n },
		}
	}
	cq.byArrival = indexedHeap[*Item]{
		less:  earlier,
		index: func(it *Item, n int) { it.arrivalIndex = n },
	}
	cq.byFinishTag = indexedHeap[*account]{
		less: func(a, b *account) bool {
			return a.finishTag(0, cq.tokensPerRequest()) > b.finishTag(0, cq.tokensPerRequest())
		},
		index: func(a *account, n int) { a.finishTagIndex = n },
	}
	return cq
}

// earlier orders requests by arrival.
func earlier(a, b *Item) bool {
	if !a.Arrived.Equal(b.Arrived) {
		return a.Arrived.Before(b.Arrived)
	}
	return a.ID < b.ID
}

func (cq *classQueue) len() int { return cq.byArrival.len() }

// account returns the organisation's account. An organisation that was idle, or
// whose requests were refused, keeps its lag behind the others up to maxLag.
func (cq *classQueue) account(name string, weight float64) *account {
	weight = max(weight, minWeight)
	a, ok := cq.accounts[name]
	if !ok {
		a = newAccount(name, weight, cq.minPass(weight))
		cq.accounts[name] = a
	}
	a.weight = weight
	if a.waiting == 0 {
		a.pass = max(a.pass, cq.minPass(weight))
	}
	return a
}

// minPass returns the smallest pass of an account with the given weight.
func (cq *classQueue) minPass(weight float64) float64 {
	return cq.vtime - maxLag*cq.tokensPerRequest()/weight
}

func (cq *classQueue) push(it *Item, front bool) {
	a := cq.account(it.Organisation, it.Weight)
	it.owner = a
	a.waiting++
	cq.expectedRuns += it.expectedRuns()
	cq.byArrival.push(it)
	cq.addToLane(it, front)
	cq.fixFinishTag(a)
}

// addToLane adds the item to its lane, at the front or the back.
func (cq *classQueue) addToLane(it *Item, front bool) {
	lane := laneOf(it)
	items := &it.owner.items[lane]
	if front {
		it.element = items.PushFront(it)
	} else {
		it.element = items.PushBack(it)
	}
	if it.owner.index[lane] == notInHeap {
		cq.lanes[lane].push(it.owner)
	}
}

func laneOf(it *Item) int {
	switch {
	case it.Produced > 0:
		return resumed
	case it.late:
		return late
	default:
		return onTime
	}
}

// removeFromLane removes the item from its lane.
func (cq *classQueue) removeFromLane(it *Item) {
	lane := laneOf(it)
	it.owner.items[lane].Remove(it.element)
	if it.owner.items[lane].Len() == 0 {
		cq.lanes[lane].remove(it.owner.index[lane])
	}
}

func (cq *classQueue) remove(it *Item) {
	cq.removeFromLane(it)
	cq.byArrival.remove(it.arrivalIndex)
	cq.expectedRuns -= it.expectedRuns()
	if cq.len() == 0 {
		cq.expectedRuns = 0
	}
	it.owner.waiting--
	cq.fixFinishTag(it.owner)
}

// tokensPerRequest returns the estimated tokens of a request in finish tags.
func (cq *classQueue) tokensPerRequest() float64 { return float64(cq.class.ExpectedTokens) }

func (cq *classQueue) fixFinishTag(a *account) {
	switch {
	case a.waiting == 0 && a.finishTagIndex != notInHeap:
		cq.byFinishTag.remove(a.finishTagIndex)
	case a.waiting > 0 && a.finishTagIndex == notInHeap:
		cq.byFinishTag.push(a)
	case a.waiting > 0:
		cq.byFinishTag.fix(a.finishTagIndex)
	}
}

// head returns the next request of the class, or nil if none waits.
func (cq *classQueue) head(now time.Time) *Item {
	cq.moveLate(now)
	lane := cq.nextLane()
	if cq.lanes[lane].len() == 0 {
		return nil
	}
	return cq.lanes[lane].first().items[lane].Front().Value.(*Item)
}

// nextLane prefers preempted requests, since abandoning them wastes the tokens
// already produced, and then requests that can meet their target. Late requests
// run once in lateInterval pops, or if no other request waits.
func (cq *classQueue) nextLane() int {
	switch {
	case cq.lanes[resumed].len() > 0:
		return resumed
	case cq.lanes[onTime].len() == 0:
		return late
	case cq.lanes[late].len() > 0 && cq.pops%lateInterval == lateInterval-1:
		return late
	default:
		return onTime
	}
}

// moveLate moves requests that should have started already to the late lane, as
// long as they are at the head of the onTime lane.
func (cq *classQueue) moveLate(now time.Time) {
	for cq.lanes[onTime].len() > 0 {
		it := cq.lanes[onTime].first().items[onTime].Front().Value.(*Item)
		if it.Slack(now) >= 0 {
			return
		}
		cq.removeFromLane(it)
		it.late = true
		cq.addToLane(it, false)
	}
}

// charge advances the organisation's pass by tokens, which may be negative.
func (cq *classQueue) charge(a *account, tokens float64) {
	a.pass += tokens / a.weight
	for lane := range cq.lanes {
		if a.index[lane] != notInHeap {
			cq.lanes[lane].fix(a.index[lane])
		}
	}
	cq.fixFinishTag(a)
}

// sweep deletes accounts without waiting requests and without a charge above the
// minimum pass, since a new account would start at that pass.
func (cq *classQueue) sweep() {
	for name, a := range cq.accounts {
		if a.waiting == 0 && a.pass <= cq.minPass(a.weight) {
			delete(cq.accounts, name)
		}
	}
}
