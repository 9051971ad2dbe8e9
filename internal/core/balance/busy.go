package balance

import "time"

// When more requests arrive than fit, the age of the loads reported by other gateways
// determines how many requests are served in time. At low load more frequent reports only
// add cost.

const (
	// busyBacklog is the mean prefill backlog of a pool's engines, in milliseconds, from
	// which on the pool is busy: half of a long prompt.
	busyBacklog = 25.0
	// busySlotShare is the fraction of a plain service's slots in use from which on it is
	// busy.
	busySlotShare = 0.5
)

// Busy reports whether the upstreams of any pool are so loaded that stale peer loads are
// costly.
func (t *Table) Busy(now time.Time) bool {
	for _, p := range t.pools {
		if p.isBusy(now) {
			return true
		}
	}
	return false
}

func (p *pool) isBusy(now time.Time) bool {
	if p.engine != nil {
		return p.reserved(now).backlog >= busyBacklog
	}
	taken, slots := 0.0, 0
	for _, u := range p.members {
		if u.present(now) {
			taken += u.inFlight(now)
			slots += u.Slots
		}
	}
	return slots > 0 && taken >= busySlotShare*float64(slots)
}
