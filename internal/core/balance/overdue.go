package balance

import "time"

const (
	// overdueFrom is how much longer than twice the expected time a prompt may wait
	// without a doubt in its engine, in milliseconds: many engine steps.
	overdueSlackMs = 100.0
	// overdueMost bounds what one prompt's wait may say, in milliseconds. Callers
	// give a stream up after about as long.
	maxOverdueMs = 2000.0
)

// overdue returns the number of this gateway's prompts at the engine that have
// waited for longer than can be explained, and for how much longer, in
// milliseconds, summed up.
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

// overdue is for how much longer than can be explained the request has waited, in
// milliseconds; below 0 if it has not.
func (r *run) overdue(now time.Time) float64 {
	return milliseconds(now.Sub(r.sentAt)) - 2*r.expected - overdueSlackMs
}

// meanOverdue is the mean over such prompts of all gateways, in milliseconds.
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
