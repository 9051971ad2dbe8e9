package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/occupancy"
)

// gapsOf returns gaps of the given lengths in milliseconds.
func gapsOf(list ...int) Gaps {
	var g Gaps
	for _, ms := range list {
		g = g.With(time.Duration(ms) * time.Millisecond)
	}
	return g
}

// The typical gap ignores one prefill, and events that arrive late and together do not
// distort it.
func TestTypicalGap(t *testing.T) {
	tests := []struct {
		name string
		gaps Gaps
		want float64
		ok   bool
	}{
		{"none", Gaps{}, 0, false},
		{"too few", gapsOf(20, 20), 0, false},
		{"steady", gapsOf(20, 20, 20, 20), 20, true},
		{"one prefill", gapsOf(20, 20, 190, 20), 20, true},
		{"late and together", gapsOf(100, 40, 0, 20), 20, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got, ok := tt.gaps.typical()
			is.Equal(ok, tt.ok)
			is.Equal(got, tt.want)
		})
	}
}

// An engine with much prefill is not slow; one whose shortest gaps are long is, until the
// samples expire. For tight streams gaps during prefill count as well.
func TestSlowEngine(t *testing.T) {
	tests := []struct {
		name  string
		gaps  []Gaps
		slow  float64
		tight float64
	}{
		{"usual gaps", []Gaps{gapsOf(20, 20, 20)}, 1, 1},
		{"much prefill", []Gaps{gapsOf(20, 20, 20), gapsOf(100, 100, 100)}, 1, 1.4},
		{"slow", []Gaps{gapsOf(80, 80, 80), gapsOf(100, 100, 100)}, 4, 4.1},
		{"very slow", []Gaps{gapsOf(9000, 9000, 9000)}, maxSlowness, maxSlowness},
		{"nothing known", nil, 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := enginesWith(t, 3)
			p := table.pools["p"]
			for _, u := range p.members[1:] {
				table.DataReceived(t0, u.ID, gapsOf(20, 20, 20))
			}
			u := p.members[0]
			for _, g := range tt.gaps {
				table.DataReceived(t0, u.ID, g)
			}
			near := func(got, want float64) bool { return got > want-0.001 && got < want+0.001 }
			is.True(near(u.slowness(at(1), p.medianGaps(at(1)), false), tt.slow))
			is.True(near(u.slowness(at(1), p.medianGaps(at(1)), true), tt.tight))
			later := at(1).Add(sampleTTL)
			is.Equal(u.slowness(later, p.medianGaps(later), true), 1.0)
		})
	}
}

// A slow engine detected by one gateway is avoided by the others.
func TestSlowEngineIsReported(t *testing.T) {
	is := is.New(t)
	a, b := pair(t, 3)
	slow, _ := a.Pick(t0, chat(1))
	for _, u := range a.upstreams {
		gaps := gapsOf(20, 20, 20)
		if u.ID == slow.ID {
			gaps = gapsOf(200, 200, 200)
		}
		a.DataReceived(at(1), u.ID, gaps)
	}
	b.SetPeerLoads(at(2), peerLoadsOf(a.Loads(at(2))))
	for i := range 10 {
		c, _ := b.Pick(at(3), long(i))
		is.True(c.ID != slow.ID || i > 5)
	}
}

// Overdue prompts increase the cost of their engine.
func TestOverdue(t *testing.T) {
	is := is.New(t)
	table := enginesWith(t, 2)
	c, _ := table.Pick(t0, chat(1))
	u := table.upstreams[c.ID]
	is.Equal(u.meanOverdue(at(50)), 0.0)
	late := u.meanOverdue(at(1000))
	is.True(late > 500)
	table.SetPeerLoads(at(1000), peerLoadsOf(occupancy.Loads{u.hash: {Overdue: 1, OverdueMs: 1e12}}))
	is.Equal(u.meanOverdue(at(1000)), (late+maxOverdueMs)/2) // the contribution of a report is bounded
	table.SetPeerLoads(at(1000), peerLoadsOf(nil))
	table.ResponseStarted(at(1001), c)
	is.Equal(u.meanOverdue(at(1001)), 0.0)
}
