package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Every gateway of a zone tells a relay that sums up, and what it tells reaches the relay
// of the zone; no relay sums up for many more than a cell, however large the zone is.
func TestDuties(t *testing.T) {
	for _, n := range []int{1, 2, 32, 33, 76, 160, 400} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			list := fleetOf(n, 1)
			var members []Member
			for _, f := range list {
				members = append(members, f.self)
			}
			duties := make(map[string]Duty)
			for _, f := range list {
				f.Merge(t0, members)
				duties[f.self.Address] = f.Duty(t0)
			}
			top, told := "", make(map[string]int)
			for address, d := range duties {
				told[d.To]++
				if d.To == "" {
					is.Equal(top, "")
					is.True(d.Sums)
					top = address
				}
				is.Equal(d.Sums, list[0].IsCellRelay(t0, address))
			}
			relays := 0
			for address, d := range duties {
				if d.Sums {
					relays++
					is.True(d.To == "" || d.To == top)
				} else {
					is.True(duties[d.To].Sums)
				}
				is.True(told[address] <= 2*CellMost)
			}
			is.Equal(relays, cells(n))
			is.True(list[0].CellSize(t0) <= CellMost)
		})
	}
}

// A gateway that is dead, and believed to live for minutes in a large fleet, is tried less
// and less often; one whose beat rises is tried as soon as before.
func TestDeadGatewaysAreTriedSeldom(t *testing.T) {
	for _, n := range []int{30, 357, 800} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			f := New(Member{Address: "self", Zone: "z"})
			var members []Member
			for i := range n {
				members = append(members, Member{Address: fmt.Sprint(i), Zone: "z", Start: 1, Beat: 1, Capacity: 100})
			}
			f.Merge(t0, members)
			dead, _ := f.Relay(t0)
			tries := 0
			for ms := 0; ms < 60_000; ms += 100 {
				now := t0.Add(time.Duration(ms) * time.Millisecond)
				for i := range members {
					if members[i].Address != dead {
						members[i].Beat++
					}
				}
				f.Merge(now, members)
				if relay, _ := f.Relay(now); relay == dead {
					tries++
					f.RelayDown(now, relay)
				}
			}
			is.True(tries <= 6)
			back := members[slices.IndexFunc(members, func(m Member) bool { return m.Address == dead })]
			back.Beat = 1000
			now := t0.Add(time.Minute)
			f.Merge(now, []Member{back})
			f.RelayDown(now, dead)
			relay, _ := f.Relay(now.Add(downFor))
			is.Equal(relay, dead)
		})
	}
}
