package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/gladegauge/gladegauge/internal/edge/loop"
)

const (
	// limitGap is the longest pause between two replicas that name a limit.
	limitGap = 2 * time.Second
	// limitLeast and limitMost bound how long a replica names a limit.
	limitLeast = 3 * time.Second
	limitMost  = 9 * time.Second
	// In limitWindow a replica may get limitOverrun times what its limit allows, and
	// limitSlack requests on top.
	limitWindow  = 4 * time.Second
	limitOverrun = 1.5
	limitSlack   = 5
	// limitKnownAfter is how long after it first named its limit that holds, and
	// limitToldBefore how long before a request its gateway must have been told.
	limitKnownAfter = 3 * time.Second
	limitToldBefore = 500 * time.Millisecond
	// limitedMost is the number of replicas that name any limit at a time. While faults go
	// on, the others may name highLimit: gateways lend each other turns then.
	limitedMost = 2
	highLimit   = 20.0
)

// limitFigures are what replicas name, in requests a second, and limitNonsense what no
// gateway can read.
var (
	limitFigures  = []float64{0, 0.5, 1, 1.3, 4, 20}
	limitNonsense = []string{"-1", "few", "NaN", "Inf", "1e999"}
)

// Limit is what a replica names for a time.
type Limit struct {
	Replica   string
	At, Until time.Time
	PerSecond float64
	// Text is how it is written; of nonsense nothing follows.
	Text     string
	Nonsense bool
}

// Limits lets replicas name limits until the context ends. It draws numbers of its own: a
// seed plays the same faults beside it.
func (w *World) Limits(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 81)) //nolint:gosec // Seeded on purpose.
	end, _ := ctx.Deadline()
	for loop.Sleep(ctx, upTo(rng, limitGap)) {
		w.nameLimit(drawLimit(rng, time.Now()), rng.Uint64(), end)
	}
}

// drawLimit returns a limit that some replica names from now on. Some cannot be read.
func drawLimit(rng *rand.Rand, now time.Time) Limit {
	l := Limit{At: now, Until: now.Add(limitLeast + upTo(rng, limitMost-limitLeast)), PerSecond: limitFigures[rng.IntN(len(limitFigures))]}
	l.Text = strconv.FormatFloat(l.PerSecond, 'f', -1, 64)
	if rng.IntN(6) == 0 {
		l.Text, l.Nonsense = limitNonsense[rng.IntN(len(limitNonsense))], true
	}
	return l
}

// nameLimit lets a replica, chosen by the roll of a dice, name the limit, or another one
// than before. Faults end at the time.
func (w *World) nameLimit(l Limit, roll uint64, end time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l.Replica = w.replicas[roll%uint64(len(w.replicas))].ID
	for id, other := range w.limits {
		if l.At.After(other.Until) {
			delete(w.limits, id)
		}
	}
	if _, ok := w.limits[l.Replica]; !ok && len(w.limits) >= limitedMost {
		l.PerSecond, l.Text, l.Nonsense = highLimit, strconv.Itoa(highLimit), false
		if end.Before(l.Until) {
			l.Until = end
		}
	}
	w.limits[l.Replica] = l
	w.record.limit(l)
}

// limitOf is the limit that the replica names now; empty for none.
func (w *World) limitOf(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l, ok := w.limits[id]; ok && time.Now().Before(l.Until) {
		return l.Text
	}
	return ""
}

// limit notes a limit; it ends the one that the replica named before.
func (r *Record) limit(l Limit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.Limits {
		if before := &r.Limits[i]; before.Replica == l.Replica && before.Until.After(l.At) {
			before.Until = l.At
		}
	}
	r.Limits = append(r.Limits, l)
}

// limitsKept: while a replica names a limit, it gets no more than that allows from all
// gateways together that it has told and nothing disturbs.
func limitsKept(r *Record) []string {
	var broken []string
	for _, l := range r.Limits {
		if l.Nonsense {
			continue
		}
		came := r.cameUnder(l)
		allowed := limitOverrun*limitWindow.Seconds()*l.PerSecond + limitSlack
		first := 0
		for i, at := range came {
			for at.Sub(came[first]) >= limitWindow {
				first++
			}
			if n := i - first + 1; float64(n) > allowed {
				broken = append(broken, fmt.Sprintf("%s named %s and got %d requests in %v until %v", l.Replica, l.Text, n, limitWindow, at))
				break
			}
		}
	}
	return broken
}

// cameUnder is when the requests came that count under a limit, in order.
func (r *Record) cameUnder(l Limit) []time.Time {
	told := make(map[life]time.Time)
	for _, c := range r.Calls {
		by := life{c.Gateway, c.Life}
		if before, ok := told[by]; c.LimitedReplica == l.Replica && c.Sent.After(l.At) && (!ok || c.Done.Before(before)) {
			told[by] = c.Done
		}
	}
	calls := r.callsOf()
	var came []time.Time
	for _, a := range r.Arrivals {
		c, known := calls[a.ID]
		at, ok := told[life{c.Gateway, c.Life}]
		switch {
		case a.Replica != l.Replica || !known || !ok || a.At.Sub(at) < limitToldBefore:
		case a.At.Sub(l.At) < limitKnownAfter || a.At.After(l.Until):
		case r.disturbed(c.Gateway, a.At.Add(-calmFor), a.At) || r.startedBetween(l.Replica, l.At, a.At):
		default:
			came = append(came, a.At)
		}
	}
	slices.SortFunc(came, time.Time.Compare)
	return came
}
