package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// holdsAfter is how long after it heard of another gateway a new one holds nothing:
// until then it knows too few of them. Two swaps tell it of 128.
const holdsAfter = 2 * time.Second

// Holds reports whether this gateway is one of the first n in rendezvous order for the
// key. Gateways count as long as they are remembered, dead or alive: one that is cut
// off from the rest does not take over what it believes to be orphaned. One that has
// seeds and has never heard of anybody holds nothing.
func (f *Fleet) Holds(now time.Time, key uint64, n int) bool {
	if len(f.start.seeds) > 0 && (f.joinedAt.IsZero() || now.Sub(f.joinedAt) < holdsAfter) {
		return false
	}
	own := rendezvous.Mix(key, xxhash.Sum64String(f.self.Address))
	before := 0
	for _, hash := range f.otherHashes() {
		if rendezvous.Mix(key, hash) > own {
			before++
		}
	}
	return before < n
}

// otherHashes returns the hashes of the others' addresses, as a list: Holds is asked for
// thousands of upstreams in a row, and to walk over the map takes several times as long.
func (f *Fleet) otherHashes() []uint64 {
	if f.hashes == nil {
		f.hashes = make([]uint64, 0, len(f.others))
		for _, h := range f.others {
			f.hashes = append(f.hashes, h.hash)
		}
	}
	return f.hashes
}

// Holder returns one of the other gateways that hold the key, of the first n in rendezvous
// order: the roll of a dice says which of those that live. False if there is none.
func (f *Fleet) Holder(now time.Time, key uint64, n int, roll uint64) (string, bool) {
	type candidate struct {
		rank    uint64
		address string
		alive   bool
	}
	keep := f.keep()
	list := []candidate{{rank: rendezvous.Mix(key, xxhash.Sum64String(f.self.Address))}}
	for _, h := range f.others {
		alive := now.Sub(h.at) <= keep && !h.Leaving && !now.Before(h.downUntil)
		list = append(list, candidate{rank: rendezvous.Mix(key, h.hash), address: h.Address, alive: alive})
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.rank, a.rank) })
	list = slices.DeleteFunc(list[:min(n, len(list))], func(c candidate) bool { return !c.alive })
	if len(list) == 0 {
		return "", false
	}
	return list[roll%uint64(len(list))].address, true
}

// Remembered is the number of gateways that Holds counts, with this one.
func (f *Fleet) Remembered() int { return 1 + len(f.others) }
