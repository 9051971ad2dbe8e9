package queue

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
)

// lateEvery is how many requests of a class run on time for each late one.
const lateEvery = 16

// sweepEvery is how many pops pass between two sweeps of idle accounts.
const sweepEvery = 1024

// maxBehind is how far an organisation's turn can be behind, in answers.
const maxBehind = 4

// minWeight keeps a faulty weight from stopping the turns.
const minWeight = 1e-6

// longQuantile is the share of answers that are not longer than what is called
// long, and firstLong is its first guess, in means.
const (
	longQuantile = 0.95
	firstLong    = 3
)

// classQueue holds the waiting requests of one class.
type classQueue struct {
	class    *config.Class
	accounts map[string]*account
	lanes    [lanes]indexed[*account]
	furthest indexed[*account]
	byAge    indexed[*Item]
	vtime    float64
	credit   float64
	// share is the number of requests that are expected to run here, when each
	// runs at one of the agents that hold it.
	share float64
	// cost is the learnt mean of tokens of one answer.
	cost float64
	// long is the learnt quantile longQuantile of the tokens of one answer.
	long float64
	pops int
}

func newClassQueue(c *config.Class) *classQueue {
	cq := &classQueue{
		class:    c,
		accounts: make(map[string]*account),
		cost:     float64(c.ExpectedTokens),
		long:     firstLong * float64(c.ExpectedTokens),
	}
	for i := range cq.lanes {
		cq.lanes[i] = indexed[*account]{
			less:  func(a, b *account) bool { return a.pass < b.pass },
			place: func(a *account, n int) { a.place[i] = n },
		}
	}
	cq.byAge = indexed[*Item]{
		less:  earlier,
		place: func(it *Item, n int) { it.age = n },
	}
	cq.furthest = indexed[*account]{
		less:  func(a, b *account) bool { return a.tag(0, cq.unit()) > b.tag(0, cq.unit()) },
		place: func(a *account, n int) { a.ahead = n },
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

func (cq *classQueue) len() int { return cq.byAge.len() }

// account returns the organisation's account. One that comes back, or was
// refused, is behind the others by what it missed, but by a few answers at
// most.
func (cq *classQueue) account(name string, weight float64) *account {
	weight = max(weight, minWeight)
	a, ok := cq.accounts[name]
	if !ok {
		a = newAccount(name, weight, cq.behind(weight))
		cq.accounts[name] = a
	}
	a.weight = weight
	if a.waiting == 0 {
		a.pass = max(a.pass, cq.behind(weight))
	}
	return a
}

// behind is the furthest that a turn of the weight can be behind.
func (cq *classQueue) behind(weight float64) float64 {
	return cq.vtime - maxBehind*cq.unit()/weight
}

func (cq *classQueue) push(it *Item, front bool) {
	a := cq.account(it.Organisation, it.Weight)
	it.owner = a
	a.waiting++
	cq.share += it.share()
	cq.byAge.push(it)
	cq.enter(it, front)
	cq.fixFurthest(a)
}

// enter puts the item into the lane that it.late names.
func (cq *classQueue) enter(it *Item, front bool) {
	lane := laneOf(it)
	items := &it.owner.items[lane]
	if front {
		it.turn = items.PushFront(it)
	} else {
		it.turn = items.PushBack(it)
	}
	if it.owner.place[lane] == outside {
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
		return fresh
	}
}

// leave takes the item out of its lane.
func (cq *classQueue) leave(it *Item) {
	lane := laneOf(it)
	it.owner.items[lane].Remove(it.turn)
	if it.owner.items[lane].Len() == 0 {
		cq.lanes[lane].remove(it.owner.place[lane])
	}
}

func (cq *classQueue) remove(it *Item) {
	cq.leave(it)
	cq.byAge.remove(it.age)
	cq.share -= it.share()
	if cq.len() == 0 {
		cq.share = 0
	}
	it.owner.waiting--
	cq.fixFurthest(it.owner)
}

// unit is the tokens that a waiting request counts for in tags.
func (cq *classQueue) unit() float64 { return float64(cq.class.ExpectedTokens) }

func (cq *classQueue) fixFurthest(a *account) {
	switch {
	case a.waiting == 0 && a.ahead != outside:
		cq.furthest.remove(a.ahead)
	case a.waiting > 0 && a.ahead == outside:
		cq.furthest.push(a)
	case a.waiting > 0:
		cq.furthest.fix(a.ahead)
	}
}

// head returns the request that is next in the class.
func (cq *classQueue) head(now time.Time) *Item {
	cq.moveLate(now)
	lane := cq.nextLane()
	if cq.lanes[lane].len() == 0 {
		return nil
	}
	return cq.lanes[lane].first().items[lane].Front().Value.(*Item)
}

// nextLane prefers answers that were begun, since giving them up wastes what
// was made, then requests that can be on time; late ones get a turn now and
// then.
func (cq *classQueue) nextLane() int {
	switch {
	case cq.lanes[resumed].len() > 0:
		return resumed
	case cq.lanes[fresh].len() == 0:
		return late
	case cq.lanes[late].len() > 0 && cq.pops%lateEvery == lateEvery-1:
		return late
	default:
		return fresh
	}
}

// moveLate moves requests whose start is overdue to the late lane, as far as
// they stand at the head.
func (cq *classQueue) moveLate(now time.Time) {
	for cq.lanes[fresh].len() > 0 {
		it := cq.lanes[fresh].first().items[fresh].Front().Value.(*Item)
		if it.Slack(now) >= 0 {
			return
		}
		cq.leave(it)
		it.late = true
		cq.enter(it, false)
	}
}

// charge moves the organisation's turn by tokens, which may be negative.
func (cq *classQueue) charge(a *account, tokens float64) {
	a.pass += tokens / a.weight
	for lane := range cq.lanes {
		if a.place[lane] != outside {
			cq.lanes[lane].fix(a.place[lane])
		}
	}
	cq.fixFurthest(a)
}

// sweep forgets accounts that wait for nothing and owe nothing.
func (cq *classQueue) sweep() {
	for name, a := range cq.accounts {
		if a.waiting == 0 && a.pass <= cq.behind(a.weight) {
			delete(cq.accounts, name)
		}
	}
}
