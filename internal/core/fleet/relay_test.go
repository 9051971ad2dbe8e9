package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Every gateway of a zone reports to a relay that aggregates, and its reports reach the
// relay of the zone. No relay aggregates for many more gateways than a cell holds,
// regardless of the size of the zone.
func TestAggregationRoles(t *testing.T) {
	for _, n := range []int{1, 2, 32, 33, 76, 160, 400} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			list := newFleets(n, 1)
			var members []Member
			for _, f := range list {
				members = append(members, f.self)
			}
			duties := make(map[string]AggregationRole)
			for _, f := range list {
				f.Merge(t0, members)
				duties[f.self.Address] = f.AggregationRole(t0)
			}
			top, reports := "", make(map[string]int)
			for address, d := range duties {
				reports[d.ReportTo]++
				if d.ReportTo == "" {
					is.Equal(top, "")
					is.True(d.Aggregates)
					top = address
				}
				is.Equal(d.Aggregates, list[0].IsCellRelay(t0, address))
			}
			relays := 0
			for address, d := range duties {
				if d.Aggregates {
					relays++
					is.True(d.ReportTo == "" || d.ReportTo == top)
				} else {
					is.True(duties[d.ReportTo].Aggregates)
				}
				is.True(reports[address] <= 2*MaxCellSize)
			}
			is.Equal(relays, cells(n))
			is.True(list[0].CellSize(t0) <= MaxCellSize)
		})
	}
}

// A dead gateway, which counts as alive for minutes in a large fleet, is tried at growing
// intervals; one whose heartbeat rises is tried after the initial backoff again.
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
					f.RelayFailed(now, relay)
				}
			}
			is.True(tries <= 6)
			back := members[slices.IndexFunc(members, func(m Member) bool { return m.Address == dead })]
			back.Beat = 1000
			now := t0.Add(time.Minute)
			f.Merge(now, []Member{back})
			f.RelayFailed(now, dead)
			relay, _ := f.Relay(now.Add(callBackoff))
			is.Equal(relay, dead)
		})
	}
}
