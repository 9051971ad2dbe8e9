package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Whom a gateway follows after its start, and whether it waits for others.
func TestSourceAtTheStart(t *testing.T) {
	seeds := []string{"s-1", "s-2"}
	tests := []struct {
		name  string
		self  string
		seeds []string
		heard []Member
		down  []string
		after time.Duration
		// follows are the addresses that may be followed; none means the store.
		follows []string
		waits   bool
		// again is true for a restart.
		again bool
	}{
		{name: "a seed reads", self: "s-1", seeds: seeds},
		{name: "without seeds it reads", self: "x", seeds: nil},
		{name: "others ask a seed", self: "x", seeds: seeds, follows: seeds, waits: true},
		{name: "after a restart they ask once", self: "x", seeds: seeds, follows: seeds, again: true},
		{name: "a seed that is down", self: "x", seeds: seeds, heard: []Member{{Address: "s-1", Zone: "b", Start: 1, Beat: 1}}, down: []string{"s-1"}, follows: []string{"s-2"}, waits: true},
		{name: "one that it heard of goes first", self: "x", seeds: seeds, heard: []Member{{Address: "y", Zone: "a", Start: 1, Beat: 1}}, follows: []string{"y"}, waits: true},
		{name: "after the longest wait it reads if nobody answers", self: "x", seeds: seeds, after: waitMost, follows: seeds},
		{name: "introduced", self: "x", seeds: seeds, after: introducedAfter + 1},
		{name: "introduced, a seed follows like everybody", self: "s-1", seeds: seeds, heard: []Member{{Address: "y", Zone: "a", Start: 1, Beat: 1}}, after: introducedAfter + 1, follows: []string{"y"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			used := make(map[string]bool)
			for roll := range uint64(20) {
				f := New(Member{Address: tt.self, Zone: "a"})
				f.Started(t0, tt.seeds, !tt.again, roll*7919)
				now := t0.Add(tt.after)
				f.Merge(now, tt.heard)
				for _, address := range tt.down {
					f.Down(now, address)
				}
				is.Equal(f.WaitsForOthers(now), tt.waits)
				if address, ok := f.Source(now, roll); ok {
					used[address] = true
				}
			}
			// Either gateway may be the first in its zone, by their names.
			if len(tt.heard) == 0 || tt.heard[0].Zone != "a" {
				is.Equal(len(used), len(tt.follows))
			}
			for _, address := range tt.follows {
				is.True(used[address] || tt.heard != nil)
			}
		})
	}
}

// A gateway that knows nobody is told of the whole fleet at once, one that knows it
// of a few.
func TestIntroduction(t *testing.T) {
	is := is.New(t)
	f := New(Member{Address: "a-0", Zone: "a"})
	for i := range 100 {
		f.Merge(t0, []Member{{Address: fmt.Sprintf("b-%d", i), Zone: "b", Start: 1, Beat: 1}})
	}
	is.Equal(len(f.Share(t0, 1, 7)), 101)
	is.Equal(len(f.Share(t0, 100, 7)), 101) // the fleet gets to know itself
	is.Equal(len(f.Share(t0.Add(learningFor), 1, 7)), 101)
	is.Equal(len(f.Share(t0.Add(learningFor), 100, 7)), ShareMost)
	for i := range 900 {
		f.Merge(t0, []Member{{Address: fmt.Sprintf("c-%d", i), Zone: "c", Start: 1, Beat: 1}})
	}
	is.Equal(len(f.Share(t0, 1, 7)), IntroduceMost)
}

// A gateway that has read everything at its start asks a seed for the proof of it, once;
// the seeds themselves ask the store.
func TestProofAtTheStart(t *testing.T) {
	seeds := []string{"s-1", "s-2"}
	tests := []struct {
		name  string
		self  string
		after time.Duration
		// first is true if the first question goes to the store.
		first bool
	}{
		{"a seed", "s-1", 0, true},
		{"another", "x", 0, false},
		{"another, later", "x", introducedAfter + 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := New(Member{Address: tt.self, Zone: "a"})
			f.Started(t0, seeds, false, 7)
			now := t0.Add(tt.after)
			address, ok := f.Next(now, true, 1)
			is.Equal(!ok, tt.first)
			is.True(!ok || slices.Contains(seeds, address))
			_, ok = f.Next(now, true, 1)
			is.True(!ok) // it is the first of its zone, as far as it knows
		})
	}
}
