package balance

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/occupancy"
)

// Only requests of the lowest urgency are shed, only for a wait that this gateway has
// observed as well, and never after an upstream was tried.
func TestShedding(t *testing.T) {
	tests := []struct {
		name string
		// unread is the backlog that others report for each of two engines.
		unread [2]int
		// seen is a wait that the gateway observed, pending one that is still in
		// progress, in milliseconds.
		seen, pending int
		change        func(r *Request)
		shed          bool
	}{
		{name: "long waits everywhere", unread: [2]int{80_000, 80_000}, seen: 900, shed: true},
		{name: "wait in progress", unread: [2]int{80_000, 80_000}, pending: 900, shed: true},
		{name: "one engine is free", unread: [2]int{80_000, 0}, seen: 900},
		{name: "reports of other gateways only", unread: [2]int{80_000_000, 80_000_000}},
		{name: "observed wait, no backlog any more", seen: 900},
		{name: "within the target", unread: [2]int{20_000, 20_000}, seen: 900},
		{name: "not of the lowest urgency", unread: [2]int{80_000, 80_000}, seen: 900, change: func(r *Request) { r.Least = false }},
		{name: "no target", unread: [2]int{80_000, 80_000}, seen: 900, change: func(r *Request) { r.Target = 0 }},
		{name: "already tried", unread: [2]int{80_000, 80_000}, seen: 900, change: func(r *Request) { r.Exclude = []string{"i-9"} }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := enginesWith(t, 2)
			least := long(1)
			least.Least = true
			if tt.seen > 0 {
				c, _ := table.Pick(at(-tt.seen), least)
				table.ResponseStarted(t0, c)
				table.Ended(t0, c, Completed, Answer{})
			}
			if tt.pending > 0 {
				table.Pick(at(-tt.pending), least)
			}
			loads := make(occupancy.Loads)
			for i, u := range table.pools["p"].members {
				loads[u.hash] = occupancy.Load{Unread: tt.unread[i]}
			}
			table.SetPeerLoads(t0, peerLoadsOf(loads))
			r := long(2)
			r.Least = true
			if tt.change != nil {
				tt.change(&r)
			}
			before := table.Loads(t0)
			c, ok := table.Pick(t0, r)
			is.Equal(ok, !tt.shed)
			is.Equal(c.RetryAfter > 0, tt.shed)
			if tt.shed {
				is.Equal(len(table.Loads(t0)), len(before)) // a shed request is not counted
			}
		})
	}
}
