// Package roster holds the list of upstreams as the platform's store reports it.
//
// An upstream that is removed from the list is dropped at once. That rule does not hold
// after an outage of the store: entries expire because their upstreams could not renew
// them, and are created again when the upstreams reach the store. Until then they are
// retained. A gateway that alone lost its connection to the store finds the list
// unchanged except for real additions and removals; in that case no entry has expired.
//
// No new requests may be sent to the upstreams of an evacuated availability zone until
// the evacuation ends. Only the store ends an evacuation: during an outage evacuated
// zones stay evacuated.
//
// A store that was restored from a copy returns a state some seconds old. Local knowledge
// takes precedence over it until it is written again.
//
// # Usage
//
//	r := roster.New()
//	r.Replace(now, listed)
//	r.Change(now, changed, removed)
//	r.Recovered(lastFailure) // the store answers again after an outage
//	r.Restore(now, roster.StoreRestore{After: lastFailure, EntryTTL: ttl}, listed, zones) // from a copy
//	r.Evacuate("zone-a")
//	instances := r.Current(now)
package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/balance"
)

// recoveryWindow is how long after an outage of the store a missing entry is retained.
// Users require that an upstream that is alive is back within about two seconds of the
// store's return. The window starts at the return, so that an upstream that leaves just
// then is not retained beyond the time in which requests to it must stop.
const recoveryWindow = 2200 * time.Millisecond

// outageMergeWindow is the interval within which the ends of an outage seen by two
// gateways count as the same one. It is longer than two failed calls.
const outageMergeWindow = 2 * time.Second

// expiredDivisor sets when entries must have expired: if more than one in that many is
// missing, beyond those that new upstreams may have replaced. This is far more than a
// planned replacement removes at once, and far less than an outage does.
const expiredDivisor = 4

// Roster is the list of upstreams. It is not safe for concurrent use.
type Roster struct {
	listed      map[string]balance.Instance
	expired     map[string]time.Time
	recoveredAt time.Time
	// expirySeen is true once a change indicates that entries expired in the latest
	// outage.
	expirySeen bool
	// evacuated holds the evacuated availability zones, with the expiry of those that a
	// restored copy of the store lacks.
	evacuated map[string]time.Time
	// tombstone holds the recently removed upstreams, unconfirmed those among them that
	// only a restored copy of the store lists.
	tombstone   map[string]removal
	unconfirmed map[string]unconfirmed
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		listed:      make(map[string]balance.Instance),
		expired:     make(map[string]time.Time),
		evacuated:   make(map[string]time.Time),
		tombstone:   make(map[string]removal),
		unconfirmed: make(map[string]unconfirmed),
	}
}

// Recovered records that the store answers again after an outage, which ended at the given
// time or later.
func (r *Roster) Recovered(at time.Time) {
	if !at.After(r.recoveredAt.Add(outageMergeWindow)) {
		return
	}
	r.recoveredAt = at
	r.expirySeen = false
}

// RecoveredAt returns the end of the latest outage; zero if there was none.
func (r *Roster) RecoveredAt() time.Time { return r.recoveredAt }

// Replace replaces the whole list.
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
	for id := range r.unconfirmed {
		if !seen[id] {
			delete(r.unconfirmed, id)
		}
	}
	r.Change(now, r.withoutUnconfirmed(list), removed)
}

// withoutUnconfirmed returns the list without the unconfirmed upstreams.
func (r *Roster) withoutUnconfirmed(list []balance.Instance) []balance.Instance {
	if len(r.unconfirmed) == 0 {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(in balance.Instance) bool {
		u, ok := r.unconfirmed[in.ID]
		return ok && !startedBefore(u.Instance, in)
	})
}

// Change applies added, changed and removed upstreams.
func (r *Roster) Change(now time.Time, changed []balance.Instance, removed []string) {
	r.expireTombstones(now)
	r.expirySeen = r.expirySeen || r.indicatesExpiry(changed, removed)
	for _, in := range changed {
		r.put(in)
	}
	for _, id := range removed {
		r.remove(now, id)
	}
}

// indicatesExpiry reports whether entries must have expired: one was created again, or
// too many are missing for a replacement.
func (r *Roster) indicatesExpiry(changed []balance.Instance, removed []string) bool {
	added, missing := 0, 0
	for _, in := range changed {
		held, ok := r.listed[in.ID]
		if !ok {
			added++
		}
		// A new start creates the entry again as well.
		if ok && held.Created != in.Created && !held.RestartedAs(in) {
			return true
		}
	}
	for _, id := range removed {
		if held, ok := r.listed[id]; ok && !held.Leaving {
			missing++
		}
	}
	return missing > added+len(r.listed)/expiredDivisor
}

func (r *Roster) put(in balance.Instance) {
	r.listed[in.ID] = in
	delete(r.expired, in.ID)
	delete(r.tombstone, in.ID)
	delete(r.unconfirmed, in.ID)
}

func (r *Roster) remove(now time.Time, id string) {
	delete(r.unconfirmed, id)
	in, ok := r.listed[id]
	if !ok {
		return
	}
	if r.recoveredAt.IsZero() || now.Sub(r.recoveredAt) > recoveryWindow || in.Leaving || !r.expirySeen {
		r.removeListed(now, id)
		return
	}
	if _, ok := r.expired[id]; !ok {
		r.expired[id] = r.recoveredAt.Add(recoveryWindow)
	}
}

// Drop removes upstreams at once, because the entries under their identities do not name
// usable ones. That does not indicate that entries expired.
func (r *Roster) Drop(ids []string) {
	for _, id := range ids {
		delete(r.listed, id)
		delete(r.expired, id)
		delete(r.unconfirmed, id)
	}
}

// Current returns the upstreams sorted by identity. It first removes the retained entries
// whose time is over, and confirms the unconfirmed ones whose time is over.
func (r *Roster) Current(now time.Time) []balance.Instance {
	for id, until := range r.expired {
		if !now.Before(until) {
			r.removeListed(now, id)
		}
	}
	r.confirm(now)
	r.expireEvacuations(now)
	list := make([]balance.Instance, 0, len(r.listed))
	for _, in := range r.listed {
		_, in.Evacuated = r.evacuated[in.Zone]
		list = append(list, in)
	}
	slices.SortFunc(list, func(a, b balance.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Expired returns the number of entries that are retained although they expired.
func (r *Roster) Expired() int { return len(r.expired) }

// Unconfirmed returns the number of upstreams that only a restored copy of the store lists.
func (r *Roster) Unconfirmed() int { return len(r.unconfirmed) }

// NextExpiry returns when the list changes next without a message from the store: a
// retained entry is removed, an unconfirmed one is confirmed, or an evacuation that a
// copy lacks expires. It returns false if no such change is pending.
func (r *Roster) NextExpiry() (time.Time, bool) {
	var first time.Time
	earliest := func(end time.Time) {
		if !end.IsZero() && (first.IsZero() || end.Before(first)) {
			first = end
		}
	}
	for _, until := range r.expired {
		earliest(until)
	}
	for _, u := range r.unconfirmed {
		earliest(u.until)
	}
	for _, until := range r.evacuated {
		earliest(until)
	}
	return first, !first.IsZero()
}
