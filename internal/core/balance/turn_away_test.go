package balance

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/occupancy"
)

// Who is turned away: only the least urgent, only for a wait that this gateway has
// seen as well, never after an upstream was tried.
func TestTurnAway(t *testing.T) {
	tests := []struct {
		name string
		// unread is told of each of two engines.
		unread [2]int
		// seen is the wait that the gateway saw, pending one that goes on, in
		// milliseconds.
		seen, pending int
		change        func(r *Request)
		away          bool
	}{
		{name: "long waits everywhere", unread: [2]int{80_000, 80_000}, seen: 900, away: true},
		{name: "one request still waits", unread: [2]int{80_000, 80_000}, pending: 900, away: true},
		{name: "one engine is free", unread: [2]int{80_000, 0}, seen: 900},
		{name: "the words alone", unread: [2]int{80_000_000, 80_000_000}},
		{name: "waits that were seen, and are over", seen: 900},
		{name: "in time", unread: [2]int{20_000, 20_000}, seen: 900},
		{name: "something is less urgent", unread: [2]int{80_000, 80_000}, seen: 900, change: func(r *Request) { r.Least = false }},
		{name: "no target", unread: [2]int{80_000, 80_000}, seen: 900, change: func(r *Request) { r.Target = 0 }},
		{name: "tried already", unread: [2]int{80_000, 80_000}, seen: 900, change: func(r *Request) { r.Exclude = []string{"i-9"} }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := enginesWith(t, 2)
			least := long(1)
			least.Least = true
			if tt.seen > 0 {
				c, _ := table.Pick(at(-tt.seen), least)
				table.Began(t0, c)
				table.Ended(t0, c, Completed, Answer{})
			}
			if tt.pending > 0 {
				table.Pick(at(-tt.pending), least)
			}
			loads := make(occupancy.Loads)
			for i, u := range table.pools["p"].members {
				loads[u.hash] = occupancy.Load{Unread: tt.unread[i]}
			}
			table.OthersHave(t0, pictureOf(loads))
			r := long(2)
			r.Least = true
			if tt.change != nil {
				tt.change(&r)
			}
			before := table.Loads(t0)
			c, ok := table.Pick(t0, r)
			is.Equal(ok, !tt.away)
			is.Equal(c.ComeBack > 0, tt.away)
			if tt.away {
				is.Equal(len(table.Loads(t0)), len(before)) // it is not counted
			}
		})
	}
}
