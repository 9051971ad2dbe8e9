package session

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// start is when every session begins.
var start = time.Unix(1_800_000_000, 0).UTC()

// happening is something that is due at a time.
type happening struct {
	at  time.Time
	seq int
	do  func()
}

type agenda []*happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(*happening)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// world is virtual time.
type world struct {
	now    time.Time
	agenda agenda
	seq    int
	rng    *rand.Rand
}

func newWorld(seed uint64) *world {
	return &world{now: start, rng: rand.New(rand.NewPCG(seed, 0))} //nolint:gosec // A fixed seed is the point.
}

// after does something later.
func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.agenda, &happening{at: w.now.Add(d), seq: w.seq, do: do})
}

// every does something again and again until it reports false.
func (w *world) every(d time.Duration, do func() bool) {
	w.after(d, func() {
		if do() {
			w.every(d, do)
		}
	})
}

// run lets time pass until the end, or until it is done.
func (w *world) run(end time.Time, done func() bool) {
	for len(w.agenda) > 0 && !w.agenda[0].at.After(end) {
		if done() {
			return
		}
		h := heap.Pop(&w.agenda).(*happening)
		w.now = h.at
		h.do()
	}
	w.now = end
}

// elapsed is the time since the session began.
func (w *world) elapsed() time.Duration { return w.now.Sub(start) }
