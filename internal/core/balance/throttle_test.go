package balance

import (
	"testing"

	"github.com/matryer/is"
)

// An upstream that throttles requests is excluded, unless most of the pool throttles the
// same organisation: an organisation must not get upstreams excluded by exceeding its
// limit. Upstreams excluded before that was detected return after a moment.
func TestThrottle(t *testing.T) {
	const x, y = 1, 2
	type refusal struct {
		// index is that of the upstream in its pool.
		index        int
		organisation uint64
	}
	tests := []struct {
		name     string
		refusals []refusal
		// counts is true if the last refusal counts against the upstream.
		counts bool
	}{
		{"once", []refusal{{0, x}}, true},
		{"one upstream repeatedly", []refusal{{0, x}, {0, x}, {0, x}}, true},
		{"half of the pool", []refusal{{0, x}, {1, x}}, true},
		{"most of the pool", []refusal{{0, x}, {1, x}, {2, x}}, false},
		{"all of the pool repeatedly", []refusal{{0, x}, {1, x}, {2, x}, {3, x}, {0, x}}, false},
		{"another organisation", []refusal{{0, x}, {1, x}, {2, x}, {3, x}, {3, y}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := tableWith(4)
			p := table.pools["p"]
			before, after := 0, 0
			for i, refused := range tt.refusals {
				u := p.members[refused.index]
				c := Choice{Instance: u.Instance}
				table.commit(at(i), p, u, Request{Pool: "p", Organisation: refused.organisation}, &c)
				before = u.health.Failures()
				table.Ended(at(i), c, Throttled, Answer{})
				after = u.health.Failures()
			}
			is.Equal(after > before, tt.counts)
		})
	}
}

// A throttled organisation expires after throttleTTL.
func TestThrottleExpires(t *testing.T) {
	is := is.New(t)
	table := tableWith(2)
	members := table.pools["p"].members
	r := &run{organisation: 1}
	is.True(table.recordThrottle(t0, members[0], r))
	is.True(!table.recordThrottle(at(1), members[1], r))
	is.True(table.recordThrottle(at(1).Add(throttleTTL), members[0], r))
}
