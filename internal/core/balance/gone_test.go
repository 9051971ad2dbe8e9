package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An upstream in whose place another start answered gets nothing until its entry
// must have lapsed.
func TestReplacedUpstream(t *testing.T) {
	is := is.New(t)
	table := tableWith(3)
	c, ok := table.Pick(t0, plainRequest(1))
	is.True(ok)
	table.Ended(t0, c, Replaced, Answer{})
	for i := range 40 {
		next, ok := table.Pick(at(i), plainRequest(i))
		is.True(ok)
		is.True(next.ID != c.ID)
	}
	seen := false
	for i := range 40 {
		next, _ := table.Pick(t0.Add(goneFor+time.Second), plainRequest(i))
		seen = seen || next.ID == c.ID
	}
	is.True(seen)
}

// All upstreams may be gone: then there is nothing to send to.
func TestAllReplaced(t *testing.T) {
	is := is.New(t)
	table := tableWith(1)
	c, _ := table.Pick(t0, plainRequest(1))
	table.Ended(t0, c, Replaced, Answer{})
	_, ok := table.Pick(at(1), plainRequest(2))
	is.True(!ok)
}

// Of two upstreams at one address, only the later one lives.
func TestLaterStartAtAnAddress(t *testing.T) {
	tests := []struct {
		name  string
		first int64
		later int64
		want  []string
	}{
		{"listed later", 5, 9, []string{"i-new"}},
		{"the platform does not say", 0, 0, []string{"i-new", "i-old"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := New("a")
			instance := func(id string, created int64) Instance {
				return Instance{ID: id, Address: "10.0.0.1:80", Zone: "a", Pool: "p", Slots: 8, Created: created}
			}
			table.SetInstances([]Instance{instance("i-old", tt.first), instance("i-new", tt.later)})
			used := make(map[string]bool)
			for i := range 40 {
				c, ok := table.Pick(at(i), plainRequest(i))
				is.True(ok)
				used[c.ID] = true
			}
			is.Equal(len(used), len(tt.want))
			for _, id := range tt.want {
				is.True(used[id])
			}
		})
	}
}
