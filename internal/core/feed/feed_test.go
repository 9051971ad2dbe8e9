package feed

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// apply applies a batch to a copy, as a follower does.
func apply(held map[string]string, b Batch) {
	if b.Whole {
		clear(held)
	}
	for _, e := range b.Entries {
		if e.Removed {
			delete(held, e.Key)
		} else {
			held[e.Key] = string(e.Value)
		}
	}
}

// at returns a position in the store.
func at(epoch, revision int64) Position { return Position{Epoch: epoch, Revision: revision} }

// A follower that polls now and then has the same entries as the store, whatever the
// reader did in between, and also if the store was restored from a copy.
func TestFollowersAgree(t *testing.T) {
	tests := []struct {
		name string
		// steps is the number of changes. On average one in restoreEvery of them is the
		// first one after a restore of the store; 0 means none.
		steps, restoreEvery int
	}{
		{"without restores", 4000, 0},
		{"a store that is restored from copies", 6000, 300},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { followersAgree(t, tt.steps, tt.restoreEvery) })
	}
}

// storeCopy is a copy of a store with its revision.
type storeCopy struct {
	entries  map[string]string
	revision int64
}

func followersAgree(t *testing.T, steps, restoreEvery int) {
	t.Helper()
	is := is.New(t)
	rng := rand.New(rand.NewPCG(3, 4))
	f := New()
	_, ok := f.Since(Position{})
	is.True(!ok)
	store := make(map[string]string)
	followers := make([]map[string]string, 4)
	positions := make([]Position, len(followers))
	for i := range followers {
		followers[i] = make(map[string]string)
	}
	p := at(1, 0)
	backup := storeCopy{entries: make(map[string]string)}
	for n := range steps {
		restored := restoreEvery > 0 && rng.IntN(restoreEvery) == 0 && n > 0
		if restored {
			store = maps.Clone(backup.entries)
			p = at(p.Epoch+1, backup.revision)
		}
		if restoreEvery > 0 && rng.IntN(restoreEvery/3) == 0 {
			backup = storeCopy{maps.Clone(store), p.Revision}
		}
		p.Revision++
		key := fmt.Sprint("k", rng.IntN(2000))
		e := Entry{Key: key, Value: []byte(fmt.Sprint(rng.IntN(50)))}
		if rng.IntN(3) == 0 {
			e = Entry{Key: key, Removed: true}
		}
		apply(store, Batch{Entries: []Entry{e}})
		if n == 0 || restored || rng.IntN(200) == 0 {
			var whole []Entry
			for key, value := range store {
				whole = append(whole, Entry{Key: key, Value: []byte(value)})
			}
			f.Replace(p, whole)
		} else {
			f.Add(p, []Entry{e})
		}
		i := rng.IntN(len(followers) * 100)
		if i >= len(followers) {
			continue
		}
		b, ok := f.Since(positions[i])
		is.True(ok)
		apply(followers[i], b)
		positions[i] = b.Position
		is.Equal(followers[i], store)
	}
	is.True(f.tombstones <= maxTombstones)
}

// A listing that is older than the feed changes nothing.
func TestOldListing(t *testing.T) {
	is := is.New(t)
	f := New()
	f.Replace(at(1, 7), []Entry{{Key: "a", Value: []byte("7")}})
	f.Replace(at(1, 5), []Entry{{Key: "b"}})
	b, _ := f.Since(Position{})
	is.Equal(len(b.Entries), 1)
	is.Equal(b.Entries[0].Key, "a")
	b, _ = f.Since(at(1, 7))
	is.Equal(len(b.Entries), 0)
	is.True(!b.Whole)
}

// A listing has the lowest revision of its pages and may contain a newer entry. A
// follower that received the listing's revision from another gateway must still receive
// that entry.
func TestEntryAheadOfItsListing(t *testing.T) {
	is := is.New(t)
	f := New()
	newer := Entry{Key: "a", Value: []byte("101")}
	f.Replace(at(1, 100), []Entry{newer})
	f.Add(at(1, 101), []Entry{newer})
	b, _ := f.Since(at(1, 100))
	is.Equal(len(b.Entries), 1)
	is.Equal(b.Position, at(1, 101))
}

// Entries from before a restore of the store are dropped, and a follower of the earlier
// epoch gets a full snapshot, even if its revision is higher.
func TestNextEpoch(t *testing.T) {
	is := is.New(t)
	f := New()
	f.Replace(at(1, 20), []Entry{{Key: "lost"}, {Key: "kept"}})
	f.Replace(at(2, 10), []Entry{{Key: "kept"}})
	f.Add(at(2, 11), []Entry{{Key: "new"}})
	tests := []struct {
		name  string
		from  Position
		whole bool
		keys  []string
	}{
		{"of the previous epoch", at(1, 20), true, []string{"kept", "new"}},
		{"of the listing", at(2, 10), false, []string{"new"}},
		{"of the current position", at(2, 11), false, nil},
		{"of a later epoch", at(3, 1), false, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b, ok := f.Since(tt.from)
			is.True(ok)
			is.Equal(b.Position, at(2, 11))
			is.Equal(b.Whole, tt.whole)
			var keys []string
			for _, e := range b.Entries {
				keys = append(keys, e.Key)
			}
			is.Equal(keys, tt.keys)
		})
	}
	f.Add(at(1, 30), []Entry{{Key: "late"}})
	f.Add(at(3, 12), []Entry{{Key: "early"}})
	f.Replace(at(1, 30), nil)
	b, _ := f.Since(Position{})
	is.Equal(len(b.Entries), 2) // changes of other epochs are ignored
}

// A value that contains its version is never replaced by one with a lower version: not in
// the same epoch, and not if a restored copy of the store holds a lower one or no value.
func TestVersionsOnlyRise(t *testing.T) {
	version := func(v int64) []Entry { return []Entry{{Key: "a", Value: []byte{byte(v)}, Version: v}} }
	tests := []struct {
		name string
		then func(f *Feed)
		want int64
	}{
		{"a higher one", func(f *Feed) { f.Add(at(1, 8), version(6)) }, 6},
		{"a lower one", func(f *Feed) { f.Add(at(1, 8), version(4)) }, 5},
		{"a lower one in a listing", func(f *Feed) { f.Replace(at(1, 8), version(4)) }, 5},
		{"a value without a version", func(f *Feed) { f.Add(at(1, 8), []Entry{{Key: "a"}}) }, 0},
		{"a copy with a lower one", func(f *Feed) { f.Replace(at(2, 3), version(4)) }, 5},
		{"a copy with the same one", func(f *Feed) { f.Replace(at(2, 3), version(5)) }, 5},
		{"a copy with a higher one", func(f *Feed) { f.Replace(at(2, 3), version(6)) }, 6},
		{"a copy without it", func(f *Feed) { f.Replace(at(2, 3), nil) }, 5},
		{"a higher one after a copy", func(f *Feed) {
			f.Replace(at(2, 3), version(4))
			f.Add(at(2, 4), version(6))
		}, 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := New()
			f.Replace(at(1, 7), version(5))
			tt.then(f)
			b, _ := f.Since(Position{})
			is.Equal(len(b.Entries), 1)
			is.Equal(b.Entries[0].Version, tt.want)
		})
	}
}
