package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gladegauge/gladegauge/internal/edge/loop"
	"github.com/gladegauge/gladegauge/platform/standin"
)

const (
	// noticeGap is the longest pause between two replicas that say something of themselves.
	noticeGap = 1200 * time.Millisecond
	// restLeast and restMost bound the rest that a replica asks for.
	restLeast = 600 * time.Millisecond
	restMost  = 2500 * time.Millisecond
	// restOnTheWay is how long after a refusal requests may come that were on their way,
	// and restAllowed how many may come later in the rest.
	restOnTheWay = 500 * time.Millisecond
	restAllowed  = 2
	// shedMost bounds how long a replica refuses everything.
	shedMost = 3 * time.Second
	// listedLate is the longest time after its answers say so that a leaving replica is
	// listed as such.
	listedLate = 3 * time.Second
)

// Arrival is one request that reached a replica, whether it ran or not.
type Arrival struct {
	ID      string
	Replica string
	At      time.Time
	// Rest is what the replica asked for in its refusal; 0 if it did not refuse, or
	// did not say.
	Rest time.Duration
}

// unreadable are times of rest that no gateway can read, or that ask for none.
var unreadable = []string{"", "0", "-2", "soon", "Fri, 01 Jan 2100 00:00:00 GMT"}

// Notices lets replicas say of themselves that they leave, or that they want rest, until
// the context ends. It draws numbers of its own: a seed plays the same faults beside it.
func (w *World) Notices(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 80)) //nolint:gosec // Seeded on purpose.
	for loop.Sleep(ctx, upTo(rng, noticeGap)) {
		if rng.IntN(3) == 0 {
			w.sayLeaving(rng)
		} else {
			w.shed(rng)
		}
	}
}

// shed lets a replica refuse everything for a time. It asks for rest, mostly in seconds
// that can be read.
func (w *World) shed(rng *rand.Rand) {
	s := shedding{until: time.Now().Add(upTo(rng, shedMost)), rest: restLeast + upTo(rng, restMost-restLeast)}
	s.text = fmt.Sprintf("%.3f", s.rest.Seconds())
	if i := rng.IntN(4 * len(unreadable)); i < len(unreadable) {
		s.text, s.rest = unreadable[i], 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shedding[w.replicas[rng.IntN(len(w.replicas))].ID] = s
}

// shedding is what a replica does that refuses everything.
type shedding struct {
	until time.Time
	// text is what it says of the rest that it wants.
	text string
	rest time.Duration
}

// reply returns the refusal.
func (s shedding) reply() standin.Reply {
	return standin.Reply{Refuse: true, HeaderLines: "Retry-After: " + s.text + "\r\n"}
}

// sheds reports whether the replica refuses everything now.
func (w *World) sheds(id string) (shedding, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.shedding[id]
	return s, ok && time.Now().Before(s.until) && !w.calm.Load()
}

// sayLeaving starts a replica and lets another one say in its answers that it leaves. The
// list tells of that later, or never; and now and then its answers stop saying so.
func (w *World) sayLeaving(rng *rand.Rand) {
	w.mu.Lock()
	r := w.swapReplica(rng)
	w.mu.Unlock()
	r.SetLeaving(true)
	time.Sleep(upTo(rng, listedLate))
	switch rng.IntN(3) {
	case 0:
		w.store.PutReplica(r.WithAddress(r.link.Address()), pool, true)
		w.record.left(r.ID, time.Now())
	case 1:
		r.SetLeaving(false)
	default:
	}
}

// life is one start of one gateway.
type life struct{ gateway, start int }

// leavingHeard: once a caller has an answer of a replica that says that it leaves, nothing
// that is sent much later reaches that replica through the same gateway.
func leavingHeard(r *Record) []string {
	type word struct {
		life
		replica string
	}
	told := make(map[word]time.Time)
	for _, c := range r.Calls {
		w := word{life{c.Gateway, c.Life}, c.LeavingReplica}
		if before, ok := told[w]; c.LeavingReplica != "" && (!ok || c.Done.Before(before)) {
			told[w] = c.Done
		}
	}
	var broken []string
	calls := r.callsOf()
	for _, a := range r.Arrivals {
		c, known := calls[a.ID]
		at, ok := told[word{life{c.Gateway, c.Life}, a.Replica}]
		late := known && ok && c.Sent.After(at.Add(drainWithin))
		if late && !r.disturbed(c.Gateway, at, a.At) && !r.startedBetween(a.Replica, at, a.At) {
			broken = append(broken, fmt.Sprintf("%s reached %s %v after the word", a.ID, a.Replica, c.Sent.Sub(at)))
		}
	}
	return broken
}

// restsKept: no more than a few requests reach a replica through a gateway that it has
// asked for rest, those on their way aside. Another start under its identity has asked for
// nothing.
func restsKept(r *Record) []string {
	var broken []string
	calls := r.callsOf()
	for _, asked := range r.Arrivals {
		by, known := calls[asked.ID]
		end := asked.At.Add(asked.Rest)
		if asked.Rest == 0 || !known || r.disturbed(by.Gateway, asked.At, end) || r.disturbed(noGateway, asked.At, end) {
			continue
		}
		n := 0
		for _, a := range r.Arrivals {
			c, known := calls[a.ID]
			in := a.At.After(asked.At.Add(restOnTheWay)) && a.At.Before(end)
			same := a.Replica == asked.Replica && !r.startedBetween(a.Replica, asked.At, a.At)
			if known && in && same && c.Gateway == by.Gateway && c.Life == by.Life {
				n++
			}
		}
		if n > restAllowed {
			broken = append(broken, fmt.Sprintf("%d requests of gateway %d reached %s in %v of rest after %s", n, by.Gateway, asked.Replica, asked.Rest, asked.ID))
		}
	}
	return broken
}

// disturbed reports whether a fault had the gateway between the times.
func (r *Record) disturbed(gateway int, from, to time.Time) bool {
	for _, e := range r.Events {
		if e.Gateway == gateway && e.At.Before(to) && e.Until.After(from) {
			return true
		}
	}
	return false
}

// startedBetween reports whether the replica started again between the times.
func (r *Record) startedBetween(replica string, from, to time.Time) bool {
	for _, at := range r.Starts[replica] {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}
