package fleet

import (
	"slices"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// Load limit: the work that one gateway does for its availability zone grows with the
// zone, and a host that gives its gateway a seventh of a core would be saturated by it
// alone.
//
// Work for other gateways is therefore placed on the strong hosts of a zone, if there are
// any. Each gateway reports the capacity that its host gives it.

// strongCapacityRatio is the fraction of the largest capacity from which a host counts as
// strong.
const strongCapacityRatio = 0.5

// ranked returns the gateways in the order in which they take on work for others: strong
// hosts first, and both groups in rendezvous order for the key.
func (f *Fleet) ranked(key string, addresses []string) []string {
	ranked := rendezvous.Rank(key, addresses)
	var highest uint32
	for _, address := range ranked {
		highest = max(highest, f.capacity(address))
	}
	threshold := strongCapacityRatio * float64(highest)
	slices.SortStableFunc(ranked, func(a, b string) int {
		return weak(f.capacity(a), threshold) - weak(f.capacity(b), threshold)
	})
	return ranked
}

// weak returns 1 for a capacity below that of strong hosts, and 0 otherwise.
func weak(capacity uint32, threshold float64) int {
	if float64(capacity) < threshold {
		return 1
	}
	return 0
}

// capacity returns the capacity of a gateway's host in thousandths of a core; 0 if it is
// not known.
func (f *Fleet) capacity(address string) uint32 {
	if address == f.self.Address {
		return f.self.Capacity
	}
	if p, ok := f.peers[address]; ok {
		return p.Capacity
	}
	return 0
}
