package balance

import "time"

const (
	// overdueSlackMs is the time beyond twice the expected time after which a prompt is
	// overdue, in milliseconds. It covers many engine steps.
	overdueSlackMs = 100.0
	// maxOverdueMs bounds the contribution of one prompt, in milliseconds. Callers cancel
	// a stream after about as long.
	maxOverdueMs = 2000.0
)

// overdue returns the number of this gateway's prompts at the engine that are overdue,
// and the sum of the times by which they are, in milliseconds.
func (u *upstream) overdue(now time.Time) (n int, sum float64) {
	for _, r := range u.running {
		if r.started {
			continue
		}
		if late := r.overdue(now); late > 0 {
			n++
			sum += min(late, maxOverdueMs)
		}
	}
	return n, sum
}

// overdue is the time by which the request is overdue, in milliseconds; negative if it is
// not.
func (r *run) overdue(now time.Time) float64 {
	return milliseconds(now.Sub(r.sentAt)) - 2*r.expected - overdueSlackMs
}

// meanOverdue is the mean over the overdue prompts of all gateways, in milliseconds.
func (u *upstream) meanOverdue(now time.Time) float64 {
	n, sum := u.overdue(now)
	if u.hasPeerLoad(now) {
		n += u.peerLoad.Overdue
		sum += min(u.peerLoad.OverdueMs, maxOverdueMs*float64(u.peerLoad.Overdue))
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}
