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
	// maxNoticePause is the maximum pause before the next replica announces something.
	maxNoticePause = 1200 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the delay that a rejection asks for.
	minRetryAfter = 600 * time.Millisecond
	maxRetryAfter = 2500 * time.Millisecond
	// Requests that were in flight may arrive for inFlightTime after a rejection. In the
	// rest of the delay at most maxRequestsDuringRetryAfter may arrive.
	inFlightTime                = 500 * time.Millisecond
	maxRequestsDuringRetryAfter = 2
	// maxShedding bounds how long a replica rejects all requests.
	maxShedding = 3 * time.Second
	// maxListingDelay is the maximum time from when a replica begins to announce its
	// shutdown until it is listed as draining.
	maxListingDelay = 3 * time.Second
)

// Arrival is one request that reached a replica, whether it ran or not.
type Arrival struct {
	ID      string
	Replica string
	At      time.Time
	// RetryAfter is the delay that the rejection asked for; 0 if the request was not
	// rejected or the rejection had no valid delay.
	RetryAfter time.Duration
}

// invalidRetryAfters are Retry-After values that gateways cannot parse or that ask for no
// delay.
var invalidRetryAfters = []string{"", "0", "-2", "soon", "Fri, 01 Jan 2100 00:00:00 GMT"}

// InjectNotices makes replicas announce their shutdown or reject requests with a
// Retry-After header, until the context ends. It has its own random number generator, so
// that the other faults of a seed stay the same.
func (h *Harness) InjectNotices(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 80)) //nolint:gosec // Seeded on purpose.
	for loop.Sleep(ctx, randomBelow(rng, maxNoticePause)) {
		if rng.IntN(3) == 0 {
			h.announceShutdown(rng)
		} else {
			h.startShedding(rng)
		}
	}
}

// startShedding makes a replica reject all requests for a time. Most of the rejections
// have a valid Retry-After header in seconds.
func (h *Harness) startShedding(rng *rand.Rand) {
	s := shedding{until: time.Now().Add(randomBelow(rng, maxShedding)), retryAfter: minRetryAfter + randomBelow(rng, maxRetryAfter-minRetryAfter)}
	s.text = fmt.Sprintf("%.3f", s.retryAfter.Seconds())
	if i := rng.IntN(4 * len(invalidRetryAfters)); i < len(invalidRetryAfters) {
		s.text, s.retryAfter = invalidRetryAfters[i], 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shedding[h.replicas[rng.IntN(len(h.replicas))].ID] = s
}

// shedding is the state of a replica that rejects all requests.
type shedding struct {
	until time.Time
	// text is the value of the Retry-After header.
	text       string
	retryAfter time.Duration
}

// reply returns the rejection.
func (s shedding) reply() standin.Reply {
	return standin.Reply{Refuse: true, HeaderLines: "Retry-After: " + s.text + "\r\n"}
}

// currentShedding returns the replica's rejection, and whether it rejects all requests
// now.
func (h *Harness) currentShedding(id string) (shedding, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.shedding[id]
	return s, ok && time.Now().Before(s.until) && !h.faultsDisabled.Load()
}

// announceShutdown starts a replica and makes another one announce its shutdown in its
// responses. The store lists that one as draining later or never, and sometimes it
// withdraws the announcement.
func (h *Harness) announceShutdown(rng *rand.Rand) {
	h.mu.Lock()
	r := h.swapReplica(rng)
	h.mu.Unlock()
	r.SetLeaving(true)
	time.Sleep(randomBelow(rng, maxListingDelay))
	switch rng.IntN(3) {
	case 0:
		h.store.PutReplica(r.WithAddress(r.link.Address()), pool, true)
		h.record.addDraining(r.ID, time.Now())
	case 1:
		r.SetLeaving(false)
	default:
	}
}

// incarnation is one start of one gateway.
type incarnation struct{ gateway, start int }

// shutdownNoticesRespected: once a caller got a response that announces the replica's
// shutdown, no request that is sent more than drainDeadline later reaches that replica
// through the same gateway.
func shutdownNoticesRespected(r *Record) []string {
	type notice struct {
		incarnation
		replica string
	}
	notified := make(map[notice]time.Time)
	for _, c := range r.Calls {
		n := notice{incarnation{c.Gateway, c.Incarnation}, c.LeavingReplica}
		if before, ok := notified[n]; c.LeavingReplica != "" && (!ok || c.Done.Before(before)) {
			notified[n] = c.Done
		}
	}
	var violations []string
	calls := r.callsByID()
	for _, a := range r.Arrivals {
		c, known := calls[a.ID]
		at, ok := notified[notice{incarnation{c.Gateway, c.Incarnation}, a.Replica}]
		late := known && ok && c.Sent.After(at.Add(drainDeadline))
		if late && !r.disturbed(c.Gateway, at, a.At) && !r.restartedBetween(a.Replica, at, a.At) {
			violations = append(violations, fmt.Sprintf("%s reached %s %v after it announced its shutdown", a.ID, a.Replica, c.Sent.Sub(at)))
		}
	}
	return violations
}

// retryAfterRespected: during the delay that a rejection asked for, at most a few
// requests reach the replica through the same gateway, apart from those in flight. A
// restart under the same identity ends the delay.
func retryAfterRespected(r *Record) []string {
	var violations []string
	calls := r.callsByID()
	for _, refusal := range r.Arrivals {
		by, known := calls[refusal.ID]
		end := refusal.At.Add(refusal.RetryAfter)
		if refusal.RetryAfter == 0 || !known || r.disturbed(by.Gateway, refusal.At, end) || r.disturbed(noGateway, refusal.At, end) {
			continue
		}
		n := 0
		for _, a := range r.Arrivals {
			c, known := calls[a.ID]
			in := a.At.After(refusal.At.Add(inFlightTime)) && a.At.Before(end)
			same := a.Replica == refusal.Replica && !r.restartedBetween(a.Replica, refusal.At, a.At)
			if known && in && same && c.Gateway == by.Gateway && c.Incarnation == by.Incarnation {
				n++
			}
		}
		if n > maxRequestsDuringRetryAfter {
			violations = append(violations, fmt.Sprintf("%d requests of gateway %d reached %s during the retry delay of %v after %s", n, by.Gateway, refusal.Replica, refusal.RetryAfter, refusal.ID))
		}
	}
	return violations
}

// disturbed reports whether a fault affected the gateway between the times.
func (r *Record) disturbed(gateway int, from, to time.Time) bool {
	for _, e := range r.Events {
		if e.Gateway == gateway && e.At.Before(to) && e.Until.After(from) {
			return true
		}
	}
	return false
}

// restartedBetween reports whether the replica restarted between the times.
func (r *Record) restartedBetween(replica string, from, to time.Time) bool {
	for _, at := range r.Starts[replica] {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}
