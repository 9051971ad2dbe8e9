package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/occupancy"
)

// An upstream restarts with the same ID. The new incarnation has no requests and an empty
// cache, and failures, reports and late results of the previous one do not count against
// it.
func TestNewIncarnationWithSameID(t *testing.T) {
	now := time.Unix(1000, 0)
	first := Instance{ID: "a", Address: "1:1", Zone: "a", Pool: "p", Slots: 8, Born: 1}
	second := first
	second.Born = 2
	prompt := Prompt{Model: 1, Tokens: 9000, Parts: []Part{{ID: 5, Tokens: 9000}}}
	tests := []struct {
		name string
		// before runs while the first incarnation has a request, late after the second
		// one is listed.
		before, late func(table *Table, c Choice)
	}{
		{"found ended", func(table *Table, c Choice) { table.Ended(now, c, Dead, Answer{}) }, nil},
		{"found ended late", nil, func(table *Table, c Choice) { table.MarkGone(now, c.Instance) }},
		{"ejected before the restart", func(table *Table, c Choice) {
			table.Ended(now, c, Broken, Answer{})
			for range 9 {
				c, _ = table.Pick(now, Request{Pool: "p"})
				table.Ended(now, c, Broken, Answer{})
			}
		}, nil},
		{"requests end late", nil, func(table *Table, c Choice) { table.Ended(now, c, Dead, Answer{}) }},
		{"found ended by other gateways", nil, func(table *Table, c Choice) {
			table.SetPeerLoads(now, PeerLoads{Loads: occupancy.Loads{c.IncarnationKey(): {Gone: 5}}, TTL: time.Minute, Gateways: 9})
		}},
		{"prompt cached", func(table *Table, c Choice) { table.ResponseStarted(now, c); table.Ended(now, c, Completed, Answer{}) }, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := New("a")
			table.SetInstances(now, []Instance{first})
			c, ok := table.Pick(now, Request{Pool: "p", Prompt: prompt})
			is.True(ok)
			if tt.before != nil {
				tt.before(table, c)
			}
			is.Equal(table.SetInstances(now, []Instance{second}).Restarted, []string{"a"})
			if tt.late != nil {
				tt.late(table, c)
			}
			is.True(!table.IsGone(now, second))
			next, ok := table.Pick(now, Request{Pool: "p", Prompt: prompt})
			is.True(ok)
			is.Equal(next.Born, int64(2))
			is.Equal(next.Unread, 9000)
			is.Equal(next.InFlight, 0.0)
			is.True(!table.SetInstances(now, []Instance{second}).Any()) // the same incarnation
		})
	}
}
