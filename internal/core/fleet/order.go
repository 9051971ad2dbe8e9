package fleet

import (
	"slices"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// The load that this answers: what one gateway does for its availability zone grows with
// the zone, and a host that gives it a seventh of a core is busy with it alone.
//
// So work for others goes to the strong hosts of a zone, where there are some. Each
// gateway tells what its host gives it.

// strongPart is the part of the largest capacity from which on a host is a strong one.
const strongPart = 0.5

// ranked returns the gateways in the order in which they take on work for others: the
// strong ones first, and both groups in rendezvous order for the key.
func (f *Fleet) ranked(key string, addresses []string) []string {
	ranked := rendezvous.Rank(key, addresses)
	var most uint32
	for _, address := range ranked {
		most = max(most, f.capacity(address))
	}
	least := strongPart * float64(most)
	slices.SortStableFunc(ranked, func(a, b string) int {
		return weak(f.capacity(a), least) - weak(f.capacity(b), least)
	})
	return ranked
}

// weak is 1 for a capacity below the least of strong hosts, and 0 otherwise.
func weak(capacity uint32, least float64) int {
	if float64(capacity) < least {
		return 1
	}
	return 0
}

// capacity is that of a gateway's host, in thousandths of a core; 0 if it is not known.
func (f *Fleet) capacity(address string) uint32 {
	if address == f.self.Address {
		return f.self.Capacity
	}
	if h, ok := f.others[address]; ok {
		return h.Capacity
	}
	return 0
}
