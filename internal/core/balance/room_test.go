package balance

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/occupancy"
)

// An engine that is nearly full over all gateways gets no requests while another one has
// room, however cheap it is; if all are full, requests are still sent. Plain services
// queue requests themselves.
func TestFullEngines(t *testing.T) {
	tests := []struct {
		name    string
		engines bool
		// requests is the number of requests of other gateways at each of two upstreams
		// of eight slots.
		requests [2]int
		// loaded adds a long prefill backlog at the second one.
		loaded bool
		want   map[int]bool
	}{
		{"room on both", true, [2]int{2, 2}, false, map[int]bool{0: true, 1: true}},
		{"one is nearly full", true, [2]int{8, 2}, false, map[int]bool{1: true}},
		{"one is nearly full, the other has a backlog", true, [2]int{8, 2}, true, map[int]bool{1: true}},
		{"both are full", true, [2]int{9, 9}, false, map[int]bool{0: true, 1: true}},
		{"plain services", false, [2]int{8, 8}, false, map[int]bool{0: true, 1: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := tableWith(2)
			if tt.engines {
				table = enginesWith(t, 2)
			}
			loads := make(occupancy.Loads)
			for i, u := range table.pools["p"].members {
				loads[u.hash] = occupancy.Load{Requests: tt.requests[i]}
				if tt.loaded && i == 1 {
					loads[u.hash] = occupancy.Load{Requests: tt.requests[i], Unread: 100_000}
				}
			}
			table.SetPeerLoads(t0, peerLoadsOf(loads))
			used := make(map[int]bool)
			for i := range 40 {
				// Chats prefer the first engine, long prompts avoid it.
				r := chat(i)
				if i%2 == 1 {
					r = long(i)
				}
				if !tt.engines {
					r = plainRequest(i)
				}
				c, ok := table.Pick(at(i), r)
				is.True(ok)
				table.ResponseStarted(at(i), c)
				table.Ended(at(i), c, Completed, Answer{})
				for j, u := range table.pools["p"].members {
					if u.ID == c.ID {
						used[j] = true
					}
				}
			}
			is.Equal(used, tt.want)
		})
	}
}
