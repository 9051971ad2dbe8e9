package fleet

import (
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
	for _, h := range f.others {
		if rendezvous.Mix(key, h.hash) > own {
			before++
		}
	}
	return before < n
}

// Remembered is the number of gateways that Holds counts, with this one.
func (f *Fleet) Remembered() int { return 1 + len(f.others) }
