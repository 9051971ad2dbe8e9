package balance

import (
	"testing"

	"github.com/matryer/is"
)

// An upstream that turns requests away for too many of them is left out, but for those of
// an organisation that most of the pool turns away: it has nothing left out by sending more
// than it may. Others that were left out before that was seen are back in a moment.
func TestThrottledAsEvidence(t *testing.T) {
	const x, y = 1, 2
	type refusal struct {
		// of is the number of the upstream.
		of           int
		organisation uint64
	}
	tests := []struct {
		name     string
		refusals []refusal
		// out is whether the last of them counts.
		out bool
	}{
		{"once", []refusal{{0, x}}, true},
		{"one upstream, again and again", []refusal{{0, x}, {0, x}, {0, x}}, true},
		{"half of the pool", []refusal{{0, x}, {1, x}}, true},
		{"most of the pool", []refusal{{0, x}, {1, x}, {2, x}}, false},
		{"all of it, again and again", []refusal{{0, x}, {1, x}, {2, x}, {3, x}, {0, x}}, false},
		{"somebody else", []refusal{{0, x}, {1, x}, {2, x}, {3, x}, {3, y}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := tableWith(4)
			p := table.pools["p"]
			before, after := 0, 0
			for i, refused := range tt.refusals {
				u := p.members[refused.of]
				c := Choice{Instance: u.Instance}
				table.commit(at(i), p, u, Request{Pool: "p", Organisation: refused.organisation}, &c)
				before = u.health.Failures()
				table.Ended(at(i), c, Throttled, Answer{})
				after = u.health.Failures()
			}
			is.Equal(after > before, tt.out)
		})
	}
}

// What was found of an organisation is forgotten.
func TestThrottledIsForgotten(t *testing.T) {
	is := is.New(t)
	table := tableWith(2)
	members := table.pools["p"].members
	r := &run{organisation: 1}
	is.True(table.noteThrottle(t0, members[0], r))
	is.True(!table.noteThrottle(at(1), members[1], r))
	is.True(table.noteThrottle(at(1).Add(throttleTTL), members[0], r))
}
