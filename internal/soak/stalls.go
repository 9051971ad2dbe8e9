package soak

import (
	"context"
	"time"
)

// stallPoll is the interval at which the harness checks whether it still runs.
const stallPoll = 50 * time.Millisecond

// recoveryTime is how long a run continues after the last fault or stall: the callers' timeout,
// the return to full service, and enough reads to measure it.
const recoveryTime = recoveryDeadline + 1500*time.Millisecond

// maxRecoveryWait bounds the wait for such a time on a machine that stalls again and again.
const maxRecoveryWait = 2 * time.Minute

// Stall is a time in which the machine ran nothing of the soak: neither its gateways nor its
// callers.
type Stall struct{ From, Until time.Time }

// RecordStalls records the times in which the harness itself did not run for longer than
// schedulingSlack, until the context ends.
func (h *Harness) RecordStalls(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		time.Sleep(stallPoll)
		now := time.Now()
		h.record.checkStall(last, now)
		last = now
	}
}

// checkStall records a stall if the harness ran at these times but not between them.
func (r *Record) checkStall(last, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(last) > stallPoll+schedulingSlack {
		r.Stalls = append(r.Stalls, Stall{From: last, Until: now})
	}
	r.stallsCheckedAt = now
}

// AwaitRecovery returns once recoveryTime has passed without a stall, after the last fault.
func (h *Harness) AwaitRecovery(ctx context.Context) {
	since := time.Now()
	for ctx.Err() == nil && !h.record.recovered(since) {
		time.Sleep(stallPoll)
		if end := h.record.lastStall(); end.After(since) {
			since = end
		}
	}
}

// recovered reports whether recoveryTime has passed since then. A stall that has just ended may
// not be recorded yet, so that the time of the latest check for stalls counts, not the present.
func (r *Record) recovered(since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.stallsCheckedAt.Before(since.Add(recoveryTime))
}

// lastStall returns the end of the latest stall; the zero time if there was none.
func (r *Record) lastStall() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.Stalls) == 0 {
		return time.Time{}
	}
	return r.Stalls[len(r.Stalls)-1].Until
}

// stalled reports whether the machine stalled at any time between from and until.
func (r *Record) stalled(from, until time.Time) bool {
	for _, s := range r.Stalls {
		if s.From.Before(until) && s.Until.After(from) {
			return true
		}
	}
	return false
}
