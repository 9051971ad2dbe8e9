package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/occupancy"
)

// Whether a pool is busy depends on the load of all gateways, not only of this one.
func TestBusy(t *testing.T) {
	tests := []struct {
		name string
		// engines is true for a pool of model engines.
		engines bool
		load    occupancy.Load
		busy    bool
	}{
		{"engines without backlog", true, occupancy.Load{Requests: 5}, false},
		{"engines with a short prompt", true, occupancy.Load{Requests: 1, Unread: 300}, false},
		{"engines with two long prompts", true, occupancy.Load{Requests: 2, Unread: 12_000}, true},
		{"a service with a request on each", false, occupancy.Load{Requests: 1}, false},
		{"a service with most slots in use", false, occupancy.Load{Requests: 4}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := New("a")
			var list []Instance
			loads := make(occupancy.Loads)
			for i := range 8 {
				in := Instance{ID: fmt.Sprint("i-", i), Address: fmt.Sprint("a-", i), Pool: "p", Slots: 6}
				list = append(list, in)
				loads[in.IncarnationKey()] = tt.load
			}
			table.SetInstances(t0, list)
			if tt.engines {
				table.SetPools(replayConfig(replayClasses()))
			}
			is.True(!table.Busy(t0))
			now := t0.Add(time.Second)
			table.SetPeerLoads(now, PeerLoads{Loads: loads, Age: 100 * time.Millisecond, TTL: time.Second, Gateways: 40})
			is.Equal(table.Busy(now.Add(time.Millisecond)), tt.busy)
		})
	}
}
