package roster

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/balance"
)

// tombstoneTTL is how long the removal of an upstream is remembered. It is far longer than
// the age of a copy of the store.
const tombstoneTTL = time.Minute

// StoreRestore describes a restore of the store from a copy: writes after the copy was
// made are lost until they are repeated.
type StoreRestore struct {
	// After is the latest moment at which the store was known to be unavailable.
	After time.Time
	// EntryTTL is the time to live of an entry that its upstream does not renew.
	EntryTTL time.Duration
}

// removal is an upstream that was removed.
type removal struct {
	balance.Instance
	at time.Time
}

// unconfirmed is an upstream that was removed and is listed again only by a restored copy
// of the store. It is confirmed if its entry outlives its time to live, or is written
// again.
type unconfirmed struct {
	balance.Instance
	until time.Time
}

// Restore replaces the list by that of a store that was restored from a copy. Local
// knowledge of an upstream takes precedence over the copy's entry for the same or an
// earlier start: a leaving upstream is still leaving, a removed one still removed.
// Entries and evacuations that the copy lacks are retained for a short time.
func (r *Roster) Restore(now time.Time, restoration StoreRestore, list []balance.Instance, zones []string) {
	r.recoveredAt = restoration.After
	r.expirySeen = true
	r.resetCreationOrder()
	current := make([]balance.Instance, 0, len(list))
	for _, in := range list {
		held, listed := r.listed[in.ID]
		if listed && startedBefore(in, held) {
			continue
		}
		in.Leaving = in.Leaving || listed && held.Leaving && !held.RestartedAs(in)
		if tombstone, ok := r.tombstone[in.ID]; ok && !startedBefore(tombstone.Instance, in) {
			r.unconfirmed[in.ID] = unconfirmed{in, now.Add(restoration.EntryTTL)}
		}
		current = append(current, in)
	}
	r.Replace(now, current)
	r.restoreEvacuated(restoration.After.Add(recoveryWindow), zones)
}

// startedBefore reports whether both report their start time, and in started earlier.
func startedBefore(in, other balance.Instance) bool {
	return in.Born != 0 && other.Born != 0 && in.Born < other.Born
}

// resetCreationOrder clears the creation revisions of all entries. Revisions of the copy,
// and later ones, are not comparable with those that were lost.
func (r *Roster) resetCreationOrder() {
	for id, in := range r.listed {
		in.Created = 0
		r.listed[id] = in
	}
}

// removeListed removes an upstream from the list and records the removal.
func (r *Roster) removeListed(now time.Time, id string) {
	r.tombstone[id] = removal{r.listed[id], now}
	delete(r.listed, id)
	delete(r.expired, id)
}

// expireTombstones deletes removals older than tombstoneTTL.
func (r *Roster) expireTombstones(now time.Time) {
	for id, tombstone := range r.tombstone {
		if now.Sub(tombstone.at) > tombstoneTTL {
			delete(r.tombstone, id)
		}
	}
}

// confirm lists the unconfirmed upstreams whose entries outlived their time to live.
func (r *Roster) confirm(now time.Time) {
	for id, u := range r.unconfirmed {
		if !now.Before(u.until) {
			delete(r.unconfirmed, id)
			r.put(u.Instance)
		}
	}
}
