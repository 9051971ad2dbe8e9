package roster

import (
	"maps"
	"slices"
)

// Evacuate notes that the availability zone is emptied.
func (r *Roster) Evacuate(zone string) { r.evacuated[zone] = true }

// TakeBack notes that the evacuation of the availability zone has ended.
func (r *Roster) TakeBack(zone string) { delete(r.evacuated, zone) }

// ReplaceEvacuated takes all availability zones that are emptied.
func (r *Roster) ReplaceEvacuated(zones []string) {
	clear(r.evacuated)
	for _, zone := range zones {
		r.evacuated[zone] = true
	}
}

// Evacuated returns the availability zones that are emptied, in order.
func (r *Roster) Evacuated() []string { return slices.Sorted(maps.Keys(r.evacuated)) }
