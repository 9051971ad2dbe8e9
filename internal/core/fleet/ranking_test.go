package fleet

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Work for other gateways goes to the strong hosts of a zone, as long as any of them
// answers; among equal hosts it is spread by the key.
func TestStrongHostsWorkForOthers(t *testing.T) {
	tests := []struct {
		name string
		// strong and weak are the numbers of hosts with 0.8 and 0.144 of a core; silent
		// is the number of hosts that do not report their capacity.
		strong, weak, silent int
		// down is true if the strong hosts do not answer.
		down bool
		want uint32
	}{
		{name: "a few strong ones", strong: 10, weak: 66, want: 800},
		{name: "at twice the size", strong: 20, weak: 132, want: 800},
		{name: "only weak ones", weak: 40, want: 144},
		{name: "the strong ones do not answer", strong: 10, weak: 66, down: true, want: 144},
		{name: "some report no capacity", strong: 10, silent: 40, want: 800},
		{name: "none reports a capacity", silent: 40, want: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var members []Member
			add := func(n int, capacity uint32) {
				for range n {
					members = append(members, Member{Address: fmt.Sprintf("10.0.0.%d:1", len(members)), Zone: "z", Start: 1, Capacity: capacity})
				}
			}
			add(tt.strong, 800)
			add(tt.weak, 144)
			add(tt.silent, 0)
			// The gateway under test is on a host of the last kind.
			self := members[len(members)-1]
			f := New(self)
			f.Merge(t0, members)
			if tt.down {
				for _, m := range members[:tt.strong] {
					f.CallFailed(t0, m.Address)
				}
			}
			relay, _ := f.Relay(t0)
			is.Equal(f.capacity(relay), tt.want)
			if parent, ok := f.Parent(t0); ok {
				is.Equal(f.capacity(parent), tt.want)
			}
		})
	}
}
