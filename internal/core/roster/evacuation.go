package roster

import (
	"maps"
	"slices"
	"time"
)

// listedZone is the end of an evacuation that is listed: there is none.
var listedZone time.Time

// Evacuate notes that the availability zone is emptied.
func (r *Roster) Evacuate(zone string) { r.evacuated[zone] = listedZone }

// TakeBack notes that the evacuation of the availability zone has ended.
func (r *Roster) TakeBack(zone string) { delete(r.evacuated, zone) }

// ReplaceEvacuated takes all availability zones that are emptied. Those are kept that a
// copy of the list lacked a moment ago.
func (r *Roster) ReplaceEvacuated(zones []string) {
	maps.DeleteFunc(r.evacuated, func(_ string, until time.Time) bool { return until.Equal(listedZone) })
	for _, zone := range zones {
		r.Evacuate(zone)
	}
}

// restoreEvacuated takes the availability zones that a copy of the list says are emptied.
// Others that are emptied stay so until the given time.
func (r *Roster) restoreEvacuated(until time.Time, zones []string) {
	for zone := range r.evacuated {
		r.evacuated[zone] = until
	}
	r.ReplaceEvacuated(zones)
}

// endEvacuations ends those whose time is over.
func (r *Roster) endEvacuations(now time.Time) {
	maps.DeleteFunc(r.evacuated, func(_ string, until time.Time) bool {
		return !until.Equal(listedZone) && !now.Before(until)
	})
}

// Evacuated returns the availability zones that are emptied, in order.
func (r *Roster) Evacuated() []string { return slices.Sorted(maps.Keys(r.evacuated)) }
