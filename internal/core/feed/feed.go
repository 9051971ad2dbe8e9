// Package feed caches the entries of the platform's store, for gateways that follow this
// one instead of reading the store themselves.
//
// Each entry is kept with the revision at which this feed received it. A follower that
// reports its position in the store therefore gets exactly the entries that are new to
// it. Removed entries are kept as tombstones for a while. A follower that is further
// behind gets a full snapshot, and so does one whose position is in an earlier epoch of
// the store.
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

// maxTombstones is the number of removed entries that are retained. When there are more
// they are all dropped, and a follower that may have missed one gets a full snapshot.
const maxTombstones = 1000

// Entry is one entry of the store.
type Entry struct {
	Key string
	// Value is the raw value; this package does not decode it.
	Value   []byte
	Removed bool
	// Created is the revision at which the entry was created.
	Created int64
	// Written is the revision of its latest change; 0 if it was received from another
	// gateway.
	Written int64
	// Version is the version that the value itself contains; 0 if it contains none.
	// Versions only rise, even if a restored copy of the store holds a lower one.
	Version int64
	// ReadAt is when the entry was read from the store, by whichever gateway; some values
	// are valid only for a limited time.
	ReadAt time.Time
}

// same reports whether both entries have the same content.
func (e Entry) same(other Entry) bool {
	return e.Removed == other.Removed && e.Created == other.Created && bytes.Equal(e.Value, other.Value)
}

// record is an entry with the revision at which this feed received it.
type record struct {
	Entry
	learnedRevision int64
}

// Batch holds the entries that a follower needs to have the same state as the feed.
type Batch struct {
	// Position is the position in the store up to which the feed is complete.
	Position Position
	Entries  []Entry
	// Whole is true if the batch is a full snapshot.
	Whole bool
}

// Feed is a cache of the store's entries. It is not safe for concurrent use.
type Feed struct {
	entries  map[string]record
	position Position
	// compactedRevision is the revision of this epoch since which all changes are known.
	compactedRevision int64
	// tombstones is the number of removed entries that are retained.
	tombstones int
}

// New returns an empty feed.
func New() *Feed { return &Feed{entries: make(map[string]record)} }

// Position returns the position up to which the feed is complete.
func (f *Feed) Position() Position { return f.position }

// Replace replaces the content of the feed by a full listing at the position. It changes
// nothing if the feed is already ahead. Entries of an earlier epoch are dropped, except
// those with a higher version of their own.
func (f *Feed) Replace(p Position, entries []Entry) {
	if p.Before(f.position) {
		return
	}
	if !f.position.Known() || f.position.Epoch < p.Epoch {
		newer := f.newerThan(entries)
		*f = Feed{entries: make(map[string]record, len(entries)), position: p, compactedRevision: p.Revision}
		f.Add(p, entries)
		f.Add(p, newer)
		return
	}
	f.Add(p, append(f.changed(entries), f.missing(entries)...))
}

// newerThan returns the cached entries with a higher version than the given ones.
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

// changed returns the entries whose content differs from the cached ones.
func (f *Feed) changed(entries []Entry) []Entry {
	var changes []Entry
	for _, e := range entries {
		if held, ok := f.entries[e.Key]; !ok || !held.same(e) {
			changes = append(changes, e)
		}
	}
	return changes
}

// missing returns removals for the cached entries that are not among the given ones.
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

// Add applies the changes up to the position. An entry that is already known is recorded
// again at the new revision: a listing may have contained it before its revision was
// reached, and a follower that received the listing's revision from another gateway lacks
// the entry. Changes of another epoch than that of the latest listing are ignored,
// because they do not continue the state of this feed.
func (f *Feed) Add(p Position, entries []Entry) {
	if p.Epoch != f.position.Epoch {
		return
	}
	f.position = f.position.Later(p)
	for _, e := range entries {
		held, ok := f.entries[e.Key]
		if 0 < e.Version && e.Version < held.Version {
			continue
		}
		if ok && held.Removed {
			f.tombstones--
		}
		if e.Removed {
			f.tombstones++
		}
		f.entries[e.Key] = record{Entry: e, learnedRevision: f.position.Revision}
	}
	if f.tombstones > maxTombstones {
		f.compact()
	}
}

// compact drops all tombstones.
func (f *Feed) compact() {
	for key, held := range f.entries {
		if held.Removed {
			delete(f.entries, key)
		}
	}
	f.tombstones = 0
	f.compactedRevision = f.position.Revision
}

// Since returns the entries received after the position, sorted by key; false if the feed
// is empty. A follower in a later epoch gets no entries.
func (f *Feed) Since(p Position) (Batch, bool) {
	if !f.position.Known() {
		return Batch{}, false
	}
	b := Batch{Position: f.position}
	if p.Epoch > f.position.Epoch {
		return b, true
	}
	b.Whole = p.Epoch < f.position.Epoch || p.Revision < f.compactedRevision
	for _, held := range f.entries {
		news := held.learnedRevision > p.Revision
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
