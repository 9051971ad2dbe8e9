package balance

import "time"

// The load that this answers: more comes than fits. How old the words of other gateways
// are decides then how much of it is served in time; in calm times words that come more
// often only cost.

const (
	// busyBacklog is the mean time, in milliseconds, that the engines of a pool need to
	// read what they have from which on the pool is busy: half of a long prompt.
	busyBacklog = 25.0
	// busySlots is the part of a plain service's slots that are taken, from which on it is.
	busySlotShare = 0.5
)

// Busy reports whether the upstreams of a pool have so much to do that old words cost.
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
