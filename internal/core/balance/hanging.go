package balance

import "time"

// The load that this answers: an upstream lets most requests hang. Their callers leave, so
// that none of them fails; then nothing is left there, the upstream looks idle, and the
// next requests go there, in waves as far apart as callers wait.
//
// A prompt that hangs counts as a request that failed, for votes and trials. Ejection
// stays a matter of answers, as a long wait may be the request's own. At an engine that is
// full prompts wait for others to end, and how long the work of a plain service takes is
// not known beforehand: neither is a fault.

// hangsFrom is for how long a prompt must be overdue to be taken to hang, in milliseconds.
// It is as long as an upstream may be silent without a doubt.
const hangThresholdMs = float64(silenceThreshold / time.Millisecond)

// Hanging is an upstream at which a prompt began to hang, and how long it had waited.
type Hanging struct {
	ID     string
	Waited time.Duration
}

// noteHanging counts the prompts of this gateway at the upstream that hang, and returns
// those that count from now on.
func (p *pool) noteHanging(now time.Time, u *upstream) []Hanging {
	var out []Hanging
	for _, r := range u.running {
		if p.noteIfHanging(now, u, r) {
			out = append(out, Hanging{ID: u.ID, Waited: now.Sub(r.sentAt)})
		}
	}
	return out
}

// noteIfHanging takes note of a prompt that hangs, and reports whether it counts as a failure
// from now on.
func (p *pool) noteIfHanging(now time.Time, u *upstream, r *run) bool {
	if r.tokens == 0 || r.started || r.overdue(now) < hangThresholdMs || u.reportedFull(now) || p.isFull(now, u, 0) {
		return false
	}
	if r.hung {
		u.health = u.health.WithHanging(now)
		return false
	}
	r.hung = true
	next, counts := u.health.WithHang(now, r.sentAt)
	u.health = next
	return counts
}
