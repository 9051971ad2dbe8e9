package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// holdDelay is how long after it first learned of another gateway a new gateway holds no
// keys, because it knows too few gateways until then. Two exchanges tell it of 128.
const holdDelay = 2 * time.Second

// Holds reports whether this gateway is one of the first n in rendezvous order for the
// key. Gateways count for as long as they are retained, dead or alive: a partitioned
// gateway does not take over keys that only seem orphaned. A gateway that has seeds and
// has never learned of another gateway holds no keys.
func (f *Fleet) Holds(now time.Time, key uint64, n int) bool {
	if len(f.start.seeds) > 0 && (f.joinedAt.IsZero() || now.Sub(f.joinedAt) < holdDelay) {
		return false
	}
	own := rendezvous.Mix(key, xxhash.Sum64String(f.self.Address))
	before := 0
	for _, hash := range f.peerHashes() {
		if rendezvous.Mix(key, hash) > own {
			before++
		}
	}
	return before < n
}

// peerHashes returns the hashes of the peers' addresses as a slice. Holds is called for
// thousands of upstreams in a row, and iterating over the map takes several times as
// long.
func (f *Fleet) peerHashes() []uint64 {
	if f.hashes == nil {
		f.hashes = make([]uint64, 0, len(f.peers))
		for _, p := range f.peers {
			f.hashes = append(f.hashes, p.hash)
		}
	}
	return f.hashes
}

// Holder returns a random one of the other gateways that are among the first n in
// rendezvous order for the key and alive; false if there is none.
func (f *Fleet) Holder(now time.Time, key uint64, n int, random uint64) (string, bool) {
	type candidate struct {
		rank    uint64
		address string
		alive   bool
	}
	peerTimeout := f.peerTimeout()
	list := []candidate{{rank: rendezvous.Mix(key, xxhash.Sum64String(f.self.Address))}}
	for _, p := range f.peers {
		alive := now.Sub(p.lastHeartbeat) <= peerTimeout && !p.Leaving && !now.Before(p.downUntil)
		list = append(list, candidate{rank: rendezvous.Mix(key, p.hash), address: p.Address, alive: alive})
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.rank, a.rank) })
	list = slices.DeleteFunc(list[:min(n, len(list))], func(c candidate) bool { return !c.alive })
	if len(list) == 0 {
		return "", false
	}
	return list[random%uint64(len(list))].address, true
}

// Retained returns the number of gateways that Holds counts, including this one.
func (f *Fleet) Retained() int { return 1 + len(f.peers) }
