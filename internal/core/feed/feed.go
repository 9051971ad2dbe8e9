// Package feed keeps the entries of the platform's store as they were read, for
// gateways that follow this one instead of reading the store themselves.
//
// Each entry is kept with the revision at which this feed learned of it, so that
// a follower that tells how far it knows the store gets what is new to it, and
// nothing else. Removed entries are remembered for a while; a follower that is
// further behind gets everything, and so does one whose position is of an earlier
// epoch of the store.
//
// # Usage
//
//	f := feed.New()
//	f.Replace(position, everything)
//	f.Add(position, changes)
//	if batch, ok := f.Since(position); ok {
//		send(batch)
//	}
package feed

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// removedMost is the number of removed entries that are remembered. When there
// are more they are forgotten, and a follower that may have missed one gets
// everything anew.
const removedMost = 1000

// Entry is one entry of the store.
type Entry struct {
	Key string
	// Value is as it was read; it is not decoded here.
	Value   []byte
	Removed bool
	// Created is the revision at which the entry was made.
	Created int64
	// Written is the revision of its latest change; 0 if another gateway told it.
	Written int64
	// Version is the one that a value names for itself; 0 if it names none. Versions only
	// rise, also where a copy of the store holds a lower one.
	Version int64
	// ReadAt is when it was read from the store, by whichever gateway: some of what
	// it says holds for a while only.
	ReadAt time.Time
}

// same reports whether both say the same.
func (e Entry) same(other Entry) bool {
	return e.Removed == other.Removed && e.Created == other.Created && bytes.Equal(e.Value, other.Value)
}

// kept is an entry and the revision at which this feed learned of it.
type kept struct {
	Entry
	learned int64
}

// Batch is what somebody has to learn to know as much as the feed.
type Batch struct {
	// Position is the one in the store up to which everything is known.
	Position Position
	Entries  []Entry
	// Whole is true if the entries are everything that there is.
	Whole bool
}

// Feed is a copy of the store's entries. It is not safe for concurrent use.
type Feed struct {
	entries  map[string]kept
	position Position
	// floor is the revision of this epoch from which on changes are known.
	floor int64
	// removed is the number of removed entries that are remembered.
	removed int
}

// New returns a feed that knows nothing.
func New() *Feed { return &Feed{entries: make(map[string]kept)} }

// Position returns the one up to which everything is known.
func (f *Feed) Position() Position { return f.position }

// Replace takes everything that there is at the position. It changes nothing if
// more is known already. What was learned in an earlier epoch is forgotten.
func (f *Feed) Replace(p Position, entries []Entry) {
	if p.Before(f.position) {
		return
	}
	if !f.position.Known() || f.position.Epoch < p.Epoch {
		newer := f.newerThan(entries)
		*f = Feed{entries: make(map[string]kept, len(entries)), position: p, floor: p.Revision}
		f.Add(p, entries)
		f.Add(p, newer)
		return
	}
	f.Add(p, append(f.changed(entries), f.missing(entries)...))
}

// newerThan returns the kept entries with a higher version than the given ones.
func (f *Feed) newerThan(entries []Entry) []Entry {
	versions := make(map[string]int64)
	for _, e := range entries {
		versions[e.Key] = e.Version
	}
	var newer []Entry
	for key, held := range f.entries {
		if held.Version > versions[key] {
			newer = append(newer, held.Entry)
		}
	}
	return newer
}

// changed returns the entries that say something else than the kept ones.
func (f *Feed) changed(entries []Entry) []Entry {
	var changes []Entry
	for _, e := range entries {
		if held, ok := f.entries[e.Key]; !ok || !held.same(e) {
			changes = append(changes, e)
		}
	}
	return changes
}

// missing returns the removals of the entries that are kept and not among the
// given ones.
func (f *Feed) missing(entries []Entry) []Entry {
	seen := make(map[string]bool, len(entries))
	for _, e := range entries {
		seen[e.Key] = true
	}
	var removals []Entry
	for key, held := range f.entries {
		if !seen[key] && !held.Removed {
			removals = append(removals, Entry{Key: key, Removed: true})
		}
	}
	return removals
}

// Add takes what changed up to the position. An entry that is known already is
// learned anew: a listing may have held it before its revision said so, and a
// follower that has the listing's revision from elsewhere does not know it. Changes of
// another epoch than that of the latest listing follow nothing that is known here, and
// are not taken.
func (f *Feed) Add(p Position, entries []Entry) {
	if p.Epoch != f.position.Epoch {
		return
	}
	f.position = f.position.Furthest(p)
	for _, e := range entries {
		held, ok := f.entries[e.Key]
		if 0 < e.Version && e.Version < held.Version {
			continue
		}
		if ok && held.Removed {
			f.removed--
		}
		if e.Removed {
			f.removed++
		}
		f.entries[e.Key] = kept{Entry: e, learned: f.position.Revision}
	}
	if f.removed > removedMost {
		f.forget()
	}
}

// forget drops the removed entries.
func (f *Feed) forget() {
	for key, held := range f.entries {
		if held.Removed {
			delete(f.entries, key)
		}
	}
	f.removed = 0
	f.floor = f.position.Revision
}

// Since returns what was learned after the position, in order of the keys; false
// if nothing is known yet. Who knows a later epoch learns nothing here.
func (f *Feed) Since(p Position) (Batch, bool) {
	if !f.position.Known() {
		return Batch{}, false
	}
	b := Batch{Position: f.position}
	if p.Epoch > f.position.Epoch {
		return b, true
	}
	b.Whole = p.Epoch < f.position.Epoch || p.Revision < f.floor
	for _, held := range f.entries {
		news := held.learned > p.Revision
		if b.Whole {
			news = !held.Removed
		}
		if news {
			b.Entries = append(b.Entries, held.Entry)
		}
	}
	slices.SortFunc(b.Entries, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	return b, true
}
