package balance

import "time"

// An upstream may let most requests hang. Their callers leave, so no request fails; the
// upstream then looks idle and attracts the next requests, in waves spaced by the time
// that callers wait.
//
// A hanging prompt counts as a failed request for votes and trials. Ejection depends on
// answers only, as a long wait may be caused by the request itself. Two cases are not
// faults: at a full engine prompts wait for other requests to end, and the duration of a
// plain service's work is not known in advance.

// hangThresholdMs is the time for which a prompt must be overdue to count as hanging, in
// milliseconds. It equals the silence threshold.
const hangThresholdMs = float64(silenceThreshold / time.Millisecond)

// Hanging is an upstream at which a prompt started to count as hanging, and the time it
// had waited.
type Hanging struct {
	ID     string
	Waited time.Duration
}

// recordHanging updates the hanging prompts of this gateway at the upstream, and returns
// those that newly count as hanging.
func (p *pool) recordHanging(now time.Time, u *upstream) []Hanging {
	var out []Hanging
	for _, r := range u.running {
		if p.recordIfHanging(now, u, r) {
			out = append(out, Hanging{ID: u.ID, Waited: now.Sub(r.sentAt)})
		}
	}
	return out
}

// recordIfHanging records a hanging prompt, and reports whether it newly counts as a
// failure.
func (p *pool) recordIfHanging(now time.Time, u *upstream, r *run) bool {
	if r.tokens == 0 || r.started || r.overdue(now) < hangThresholdMs || u.reportedFull(now) || p.isFull(now, u, 0) {
		return false
	}
	if r.countedHanging {
		u.health = u.health.WithHanging(now)
		return false
	}
	r.countedHanging = true
	next, counts := u.health.WithHang(now, r.sentAt)
	u.health = next
	return counts
}
