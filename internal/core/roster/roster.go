// Package roster holds which upstreams there are, by what the platform said.
//
// An upstream that was taken off the list is gone at once. After an outage of
// the list's keeper that does not hold: entries lapse because nobody could
// renew them, and come back when the upstream reaches the keeper again. Until
// then they are kept. A gateway that was cut off by itself finds the list as it
// was, but for what really came and went; there nothing lapsed.
//
// Nothing new may be sent to the upstreams of an availability zone that is evacuated,
// until it is taken back. Only the list's keeper ends an evacuation: while it is away,
// what was evacuated stays so.
//
// A keeper that comes back from a copy of itself says what was so some seconds ago. What
// is known goes before that, until it is written again.
//
// # Usage
//
//	r := roster.New()
//	r.Replace(now, listed)
//	r.Change(now, changed, removed)
//	r.Recovered(lastFailure) // the keeper answers again after an outage
//	r.Restore(now, roster.Return{After: lastFailure, Lapse: lapse}, listed, zones) // from a copy
//	r.Evacuate("zone-a")
//	instances := r.Current(now)
package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/balance"
)

// recovering is how long after an outage of the keeper a missing entry is kept.
// From the users' letter: an upstream that lives is back within about two
// seconds of the return. It is counted from the return, so that an upstream
// that leaves just then is not kept beyond the time in which it must be left.
const recovering = 2200 * time.Millisecond

// sameOutage is the time within which the end of an outage, as two gateways saw
// it, is the end of the same one. It is longer than two failed calls.
const sameOutage = 2 * time.Second

// lapsedPart: entries lapsed if more than one in so many is missing, beyond
// those that new upstreams may have replaced. It is far more than a planned
// replacement takes away at once, and far less than an outage.
const lapsedPart = 4

// Roster is the list of upstreams. It is not safe for concurrent use.
type Roster struct {
	listed      map[string]balance.Instance
	lapsed      map[string]time.Time
	recoveredAt time.Time
	// lapseSeen is true once something shows that entries lapsed in the latest
	// outage.
	lapseSeen bool
	// evacuated are the availability zones that are emptied, with the end of it for one
	// that a copy of the list lacks.
	evacuated map[string]time.Time
	// gone are the upstreams that went lately, doubted those among them that only a copy
	// of the list names.
	gone    map[string]departed
	doubted map[string]doubted
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		listed:    make(map[string]balance.Instance),
		lapsed:    make(map[string]time.Time),
		evacuated: make(map[string]time.Time),
		gone:      make(map[string]departed),
		doubted:   make(map[string]doubted),
	}
}

// Recovered notes that the keeper of the list answers again after an outage. It
// returned at the given time or later.
func (r *Roster) Recovered(at time.Time) {
	if !at.After(r.recoveredAt.Add(sameOutage)) {
		return
	}
	r.recoveredAt = at
	r.lapseSeen = false
}

// RecoveredAt returns the end of the latest outage; zero if there was none.
func (r *Roster) RecoveredAt() time.Time { return r.recoveredAt }

// Replace takes a whole list.
func (r *Roster) Replace(now time.Time, list []balance.Instance) {
	seen := make(map[string]bool, len(list))
	for _, in := range list {
		seen[in.ID] = true
	}
	var removed []string
	for id := range r.listed {
		if !seen[id] {
			removed = append(removed, id)
		}
	}
	for id := range r.doubted {
		if !seen[id] {
			delete(r.doubted, id)
		}
	}
	r.Change(now, r.withoutDoubted(list), removed)
}

// withoutDoubted returns the list without the upstreams that are doubted.
func (r *Roster) withoutDoubted(list []balance.Instance) []balance.Instance {
	if len(r.doubted) == 0 {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(in balance.Instance) bool {
		d, ok := r.doubted[in.ID]
		return ok && !startedBefore(d.Instance, in)
	})
}

// Change takes upstreams that came, changed or went.
func (r *Roster) Change(now time.Time, changed []balance.Instance, removed []string) {
	r.forgetGone(now)
	r.lapseSeen = r.lapseSeen || r.showsLapse(changed, removed)
	for _, in := range changed {
		r.put(in)
	}
	for _, id := range removed {
		r.remove(now, id)
	}
}

// showsLapse reports whether entries must have lapsed: one came back, or too
// many are missing for a replacement.
func (r *Roster) showsLapse(changed []balance.Instance, removed []string) bool {
	came, missing := 0, 0
	for _, in := range changed {
		held, ok := r.listed[in.ID]
		if !ok {
			came++
		}
		// A new start makes an entry anew as well.
		if ok && held.Created != in.Created && !held.RestartedAs(in) {
			return true
		}
	}
	for _, id := range removed {
		if held, ok := r.listed[id]; ok && !held.Leaving {
			missing++
		}
	}
	return missing > came+len(r.listed)/lapsedPart
}

func (r *Roster) put(in balance.Instance) {
	r.listed[in.ID] = in
	delete(r.lapsed, in.ID)
	delete(r.gone, in.ID)
	delete(r.doubted, in.ID)
}

func (r *Roster) remove(now time.Time, id string) {
	delete(r.doubted, id)
	in, ok := r.listed[id]
	if !ok {
		return
	}
	if r.recoveredAt.IsZero() || now.Sub(r.recoveredAt) > recovering || in.Leaving || !r.lapseSeen {
		r.depart(now, id)
		return
	}
	if _, ok := r.lapsed[id]; !ok {
		r.lapsed[id] = r.recoveredAt.Add(recovering)
	}
}

// Drop takes upstreams off at once: what stands under their identities names none to use.
// That says nothing about entries that lapsed.
func (r *Roster) Drop(ids []string) {
	for _, id := range ids {
		delete(r.listed, id)
		delete(r.lapsed, id)
		delete(r.doubted, id)
	}
}

// Current returns the upstreams in order of identity, and forgets the lapsed
// ones whose time is over. Doubted ones whose time is over are believed.
func (r *Roster) Current(now time.Time) []balance.Instance {
	for id, until := range r.lapsed {
		if !now.Before(until) {
			r.depart(now, id)
		}
	}
	r.believe(now)
	r.endEvacuations(now)
	list := make([]balance.Instance, 0, len(r.listed))
	for _, in := range r.listed {
		_, in.Evacuated = r.evacuated[in.Zone]
		list = append(list, in)
	}
	slices.SortFunc(list, func(a, b balance.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Lapsed returns the number of entries that are kept though they lapsed.
func (r *Roster) Lapsed() int { return len(r.lapsed) }

// Doubted returns the number of upstreams that only a copy of the list names.
func (r *Roster) Doubted() int { return len(r.doubted) }

// NextEnd returns when the list changes next without a word from its keeper: a lapsed entry
// is forgotten, a doubted one believed, an evacuation that a copy lacks ends. False if
// nothing of this is to come.
func (r *Roster) NextEnd() (time.Time, bool) {
	var first time.Time
	earliest := func(end time.Time) {
		if !end.IsZero() && (first.IsZero() || end.Before(first)) {
			first = end
		}
	}
	for _, until := range r.lapsed {
		earliest(until)
	}
	for _, d := range r.doubted {
		earliest(d.until)
	}
	for _, until := range r.evacuated {
		earliest(until)
	}
	return first, !first.IsZero()
}
