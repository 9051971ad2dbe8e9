package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The source that a gateway follows after its start, and whether it waits for others.
func TestSourceAtStart(t *testing.T) {
	seeds := []string{"s-1", "s-2"}
	tests := []struct {
		name  string
		self  string
		seeds []string
		known []Member
		down  []string
		after time.Duration
		// follows holds the addresses that may be followed; none means the store.
		follows []string
		waits   bool
		// again is true for a restart.
		again bool
	}{
		{name: "a seed reads the store", self: "s-1", seeds: seeds},
		{name: "without seeds it reads the store", self: "x", seeds: nil},
		{name: "other gateways query a seed", self: "x", seeds: seeds, follows: seeds, waits: true},
		{name: "after a restart they query a seed without waiting", self: "x", seeds: seeds, follows: seeds, again: true},
		{name: "a seed that is down", self: "x", seeds: seeds, known: []Member{{Address: "s-1", Zone: "b", Start: 1, Beat: 1}}, down: []string{"s-1"}, follows: []string{"s-2"}, waits: true},
		{name: "a known gateway is preferred to the seeds", self: "x", seeds: seeds, known: []Member{{Address: "y", Zone: "a", Start: 1, Beat: 1}}, follows: []string{"y"}, waits: true},
		{name: "after the longest wait it does not defer any more", self: "x", seeds: seeds, after: maxInitialWait, follows: seeds},
		{name: "introduced", self: "x", seeds: seeds, after: bootstrapPeriod + 1},
		{name: "after the bootstrap period a seed follows as well", self: "s-1", seeds: seeds, known: []Member{{Address: "y", Zone: "a", Start: 1, Beat: 1}}, after: bootstrapPeriod + 1, follows: []string{"y"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			used := make(map[string]bool)
			for random := range uint64(20) {
				f := New(Member{Address: tt.self, Zone: "a"})
				f.Started(t0, tt.seeds, !tt.again, random*7919)
				now := t0.Add(tt.after)
				f.Merge(now, tt.known)
				for _, address := range tt.down {
					f.CallFailed(now, address)
				}
				is.Equal(f.DefersStoreRead(now), tt.waits)
				if address, ok := f.Source(now, random); ok {
					used[address] = true
				}
			}
			// Either gateway may rank first in its zone, depending on its address.
			if len(tt.known) == 0 || tt.known[0].Zone != "a" {
				is.Equal(len(used), len(tt.follows))
			}
			for _, address := range tt.follows {
				is.True(used[address] || tt.known != nil)
			}
		})
	}
}

// A gateway that knows no other is told of the whole fleet at once, one that knows the
// fleet of a few gateways.
func TestBootstrapSample(t *testing.T) {
	is := is.New(t)
	f := New(Member{Address: "a-0", Zone: "a"})
	for i := range 100 {
		f.Merge(t0, []Member{{Address: fmt.Sprintf("b-%d", i), Zone: "b", Start: 1, Beat: 1}})
	}
	is.Equal(len(f.Sample(t0, 1, 7)), 101)
	is.Equal(len(f.Sample(t0, 100, 7)), 101) // the fleet is still discovering its members
	is.Equal(len(f.Sample(t0.Add(discoveryPeriod), 1, 7)), 101)
	is.Equal(len(f.Sample(t0.Add(discoveryPeriod), 100, 7)), MaxSample)
	for i := range 900 {
		f.Merge(t0, []Member{{Address: fmt.Sprintf("c-%d", i), Zone: "c", Start: 1, Beat: 1}})
	}
	is.Equal(len(f.Sample(t0, 1, 7)), MaxBootstrapSample)
}

// A gateway that has read the whole state at its start queries a seed once for the proof
// that it is current; the seeds themselves query the store.
func TestProofAtStart(t *testing.T) {
	seeds := []string{"s-1", "s-2"}
	tests := []struct {
		name  string
		self  string
		after time.Duration
		// first is true if the first query goes to the store.
		first bool
	}{
		{"a seed", "s-1", 0, true},
		{"another", "x", 0, false},
		{"another, later", "x", bootstrapPeriod + 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := New(Member{Address: tt.self, Zone: "a"})
			f.Started(t0, seeds, false, 7)
			now := t0.Add(tt.after)
			address, ok := f.NextPeer(now, true, 1)
			is.Equal(!ok, tt.first)
			is.True(!ok || slices.Contains(seeds, address))
			_, ok = f.NextPeer(now, true, 1)
			is.True(!ok) // it is the first of its zone in its own view
		})
	}
}
