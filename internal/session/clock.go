package session

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// start is the virtual time at which every session begins.
var start = time.Unix(1_800_000_000, 0).UTC()

// event is a function that runs at a given time. Events of the same time run in the order
// in which they were scheduled.
type event struct {
	at  time.Time
	seq int
	do  func()
}

// eventQueue implements heap.Interface.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// clock is a virtual clock with a queue of scheduled events.
type clock struct {
	now        time.Time
	eventQueue eventQueue
	seq        int
	rng        *rand.Rand
}

func newClock(seed uint64) *clock {
	return &clock{now: start, rng: rand.New(rand.NewPCG(seed, 0))} //nolint:gosec // A fixed seed is the point.
}

// after schedules a function to run once after a delay.
func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.eventQueue, &event{at: c.now.Add(d), seq: c.seq, do: do})
}

// every runs a function periodically until it returns false.
func (c *clock) every(d time.Duration, do func() bool) {
	c.after(d, func() {
		if do() {
			c.every(d, do)
		}
	})
}

// run executes the scheduled events in order until the given end, or until done returns
// true.
func (c *clock) run(end time.Time, done func() bool) {
	for len(c.eventQueue) > 0 && !c.eventQueue[0].at.After(end) {
		if done() {
			return
		}
		e := heap.Pop(&c.eventQueue).(*event)
		c.now = e.at
		e.do()
	}
	c.now = end
}

// elapsed returns the time since the start of the session.
func (c *clock) elapsed() time.Duration { return c.now.Sub(start) }
