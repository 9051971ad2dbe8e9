package roster

import (
	"maps"
	"slices"
	"time"
)

// noExpiry marks an evacuation that is in the store: it does not expire by itself.
var noExpiry time.Time

// Evacuate records that the availability zone is evacuated.
func (r *Roster) Evacuate(zone string) { r.evacuated[zone] = noExpiry }

// EndEvacuation records that the evacuation of the availability zone has ended.
func (r *Roster) EndEvacuation(zone string) { delete(r.evacuated, zone) }

// ReplaceEvacuated replaces the set of evacuated availability zones. Zones that a
// restored copy of the store lacked are retained until they expire.
func (r *Roster) ReplaceEvacuated(zones []string) {
	maps.DeleteFunc(r.evacuated, func(_ string, until time.Time) bool { return until.Equal(noExpiry) })
	for _, zone := range zones {
		r.Evacuate(zone)
	}
}

// restoreEvacuated replaces the set of evacuated availability zones by that of a restored
// copy of the store. Other zones stay evacuated until the given time.
func (r *Roster) restoreEvacuated(until time.Time, zones []string) {
	for zone := range r.evacuated {
		r.evacuated[zone] = until
	}
	r.ReplaceEvacuated(zones)
}

// expireEvacuations removes the evacuations that have expired.
func (r *Roster) expireEvacuations(now time.Time) {
	maps.DeleteFunc(r.evacuated, func(_ string, until time.Time) bool {
		return !until.Equal(noExpiry) && !now.Before(until)
	})
}

// Evacuated returns the evacuated availability zones, sorted by name.
func (r *Roster) Evacuated() []string { return slices.Sorted(maps.Keys(r.evacuated)) }
