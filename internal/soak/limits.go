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
	// maxLimitPause is the maximum pause before the next replica announces a rate limit.
	maxLimitPause = 2 * time.Second
	// minLimitDuration and maxLimitDuration bound how long a replica announces a limit.
	minLimitDuration = 3 * time.Second
	maxLimitDuration = 9 * time.Second
	// Within limitWindow a replica may get limitTolerance times the requests that its
	// limit allows, plus limitSlack.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
	// A limit is enforced from limitSettleTime after it began, for requests through
	// gateways that were informed at least limitNoticeTime before.
	limitSettleTime = 3 * time.Second
	limitNoticeTime = 500 * time.Millisecond
	// maxLimitedReplicas is the maximum number of replicas that announce an arbitrary
	// limit at the same time. While there are faults, the others may announce highLimit,
	// so that gateways lend each other turns.
	maxLimitedReplicas = 2
	highLimit          = 20.0
)

// validLimits are the limits that replicas announce, in requests per second;
// invalidLimits are values that gateways cannot parse.
var (
	validLimits   = []float64{0, 0.5, 1, 1.3, 4, 20}
	invalidLimits = []string{"-1", "few", "NaN", "Inf", "1e999"}
)

// Limit is a rate limit that a replica announces for a time.
type Limit struct {
	Replica   string
	At, Until time.Time
	PerSecond float64
	// Text is the value of the header. An invalid one has no effect.
	Text    string
	Invalid bool
}

// Limits makes replicas announce rate limits until the context ends. It has its own
// random number generator, so that the other faults of a seed stay the same.
func (h *Harness) Limits(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 81)) //nolint:gosec // Seeded on purpose.
	end, _ := ctx.Deadline()
	for loop.Sleep(ctx, randomBelow(rng, maxLimitPause)) {
		h.setLimit(randomLimit(rng, time.Now()), rng.Uint64(), end)
	}
}

// randomLimit returns a random limit that begins now. Some are invalid.
func randomLimit(rng *rand.Rand, now time.Time) Limit {
	l := Limit{At: now, Until: now.Add(minLimitDuration + randomBelow(rng, maxLimitDuration-minLimitDuration)), PerSecond: validLimits[rng.IntN(len(validLimits))]}
	l.Text = strconv.FormatFloat(l.PerSecond, 'f', -1, 64)
	if rng.IntN(6) == 0 {
		l.Text, l.Invalid = invalidLimits[rng.IntN(len(invalidLimits))], true
	}
	return l
}

// setLimit makes the replica that roll selects announce the limit instead of its previous
// one, or highLimit if maxLimitedReplicas others announce limits already. The faults end at
// the time end.
func (h *Harness) setLimit(l Limit, roll uint64, end time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l.Replica = h.replicas[roll%uint64(len(h.replicas))].ID
	for id, other := range h.limits {
		if l.At.After(other.Until) {
			delete(h.limits, id)
		}
	}
	if _, ok := h.limits[l.Replica]; !ok && len(h.limits) >= maxLimitedReplicas {
		l.PerSecond, l.Text, l.Invalid = highLimit, strconv.Itoa(highLimit), false
		if end.Before(l.Until) {
			l.Until = end
		}
	}
	h.limits[l.Replica] = l
	h.record.addLimit(l)
}

// currentLimit returns the limit that the replica announces now; empty for none.
func (h *Harness) currentLimit(id string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l, ok := h.limits[id]; ok && time.Now().Before(l.Until) {
		return l.Text
	}
	return ""
}

// addLimit records a limit and ends the previous one of the same replica.
func (r *Record) addLimit(l Limit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.Limits {
		if before := &r.Limits[i]; before.Replica == l.Replica && before.Until.After(l.At) {
			before.Until = l.At
		}
	}
	r.Limits = append(r.Limits, l)
}

// rateLimitsRespected: while a replica announces a limit, it gets no more requests than
// the limit allows from all gateways that know the limit and have no faults.
func rateLimitsRespected(r *Record) []string {
	var violations []string
	for _, l := range r.Limits {
		if l.Invalid {
			continue
		}
		arrivals := r.arrivalsUnder(l)
		allowed := limitTolerance*limitWindow.Seconds()*l.PerSecond + limitSlack
		first := 0
		for i, at := range arrivals {
			for at.Sub(arrivals[first]) >= limitWindow {
				first++
			}
			if n := i - first + 1; float64(n) > allowed {
				violations = append(violations, fmt.Sprintf("%s announced a limit of %s and got %d requests in %v until %v", l.Replica, l.Text, n, limitWindow, at))
				break
			}
		}
	}
	return violations
}

// arrivalsUnder returns the times of the requests that count against the limit, in order.
func (r *Record) arrivalsUnder(l Limit) []time.Time {
	notified := make(map[incarnation]time.Time)
	for _, c := range r.Calls {
		by := incarnation{c.Gateway, c.Incarnation}
		if before, ok := notified[by]; c.LimitedReplica == l.Replica && c.Sent.After(l.At) && (!ok || c.Done.Before(before)) {
			notified[by] = c.Done
		}
	}
	calls := r.callsByID()
	var arrivals []time.Time
	for _, a := range r.Arrivals {
		c, known := calls[a.ID]
		at, ok := notified[incarnation{c.Gateway, c.Incarnation}]
		switch {
		case a.Replica != l.Replica || !known || !ok || a.At.Sub(at) < limitNoticeTime:
		case a.At.Sub(l.At) < limitSettleTime || a.At.After(l.Until):
		case r.disturbed(c.Gateway, a.At.Add(-quietPeriod), a.At) || r.restartedBetween(l.Replica, l.At, a.At):
		default:
			arrivals = append(arrivals, a.At)
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	return arrivals
}
