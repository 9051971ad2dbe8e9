package feed

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// apply plays a batch on a copy, as a follower does.
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

// A follower that asks now and then holds what the store holds, whatever the
// reader did in between.
func TestFollowersAgree(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(3, 4))
	f := New()
	_, ok := f.Since(0)
	is.True(!ok)
	store := make(map[string]string)
	followers := make([]map[string]string, 4)
	revisions := make([]int64, len(followers))
	for i := range followers {
		followers[i] = make(map[string]string)
	}
	for revision := int64(1); revision < 4000; revision++ {
		key := fmt.Sprint("k", rng.IntN(2000))
		e := Entry{Key: key, Value: []byte(fmt.Sprint(rng.IntN(50)))}
		if rng.IntN(3) == 0 {
			e = Entry{Key: key, Removed: true}
		}
		apply(store, Batch{Entries: []Entry{e}})
		if revision == 1 || rng.IntN(200) == 0 {
			var whole []Entry
			for key, value := range store {
				whole = append(whole, Entry{Key: key, Value: []byte(value)})
			}
			f.Replace(revision, whole)
		} else {
			f.Add(revision, []Entry{e})
		}
		i := rng.IntN(len(followers) * 100)
		if i >= len(followers) {
			continue
		}
		b, ok := f.Since(revisions[i])
		is.True(ok)
		apply(followers[i], b)
		revisions[i] = b.Revision
		is.Equal(followers[i], store)
	}
	is.True(f.removed <= removedMost)
}

// A listing that is older than what is known changes nothing.
func TestOldListing(t *testing.T) {
	is := is.New(t)
	f := New()
	f.Replace(7, []Entry{{Key: "a", Value: []byte("7")}})
	f.Replace(5, []Entry{{Key: "b"}})
	b, _ := f.Since(0)
	is.Equal(len(b.Entries), 1)
	is.Equal(b.Entries[0].Key, "a")
	b, _ = f.Since(7)
	is.Equal(len(b.Entries), 0)
	is.True(!b.Whole)
}

// A listing has the lowest revision of its pages, and may hold an entry that is
// newer. Who knows that revision from another gateway still has to learn it.
func TestEntryAheadOfItsListing(t *testing.T) {
	is := is.New(t)
	f := New()
	newer := Entry{Key: "a", Value: []byte("101")}
	f.Replace(100, []Entry{newer})
	f.Add(101, []Entry{newer})
	b, _ := f.Since(100)
	is.Equal(len(b.Entries), 1)
	is.Equal(b.Revision, int64(101))
}
