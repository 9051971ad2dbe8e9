package fleet

import (
	"fmt"
	"testing"

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
