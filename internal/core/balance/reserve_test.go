package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/ingress"
	"github.com/gladegauge/gladegauge/internal/core/occupancy"
)

// The reserved share of a pool follows the number of tight streams.
func TestReservedShare(t *testing.T) {
	tests := []struct {
		name    string
		streams int
		want    float64
		// weight scales the cost of positions.
		weight float64
	}{
		{"none", 0, 0, 1},
		{"a few", 4, 0.25, 1},
		{"as many as fit half of the pool", 8, 0.5, 1},
		{"as many as fit three quarters", 12, maxReservedShare, 0.5},
		{"more than fit the pool", 80, maxReservedShare, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := enginesWith(t, 10) // 80 slots, of which tight streams fill a fifth
			u := table.pools["p"].members[3]
			table.SetPeerLoads(t0, peerLoadsOf(occupancy.Loads{u.hash: {Tight: tt.streams}}))
			s := table.pools["p"].reserved(t0)
			is.Equal(s.share, tt.want)
			is.Equal(s.weight, tt.weight)
		})
	}
}

// Tight streams go to the beginning of the order and prompts elsewhere, at gateways that
// never communicated. If there is only one engine, it gets both.
func TestStreamsArePacked(t *testing.T) {
	is := is.New(t)
	for gateway := range 3 {
		table := enginesWith(t, 10)
		p := table.pools["p"]
		now := t0
		for i := range 8 {
			now = now.Add(60 * time.Millisecond)
			c, ok := table.Pick(now, chat(100*gateway+i))
			is.True(ok)
			is.True(table.upstreams[c.ID].position < maxReservedShare)
			table.ResponseStarted(now, c)
		}
		reserved := p.reserved(now.Add(reservationTTL)).share
		is.Equal(reserved, maxReservedShare)
		away := 0
		for i := range 20 {
			now = now.Add(200 * time.Millisecond)
			c, ok := table.Pick(now, long(100*gateway+i))
			is.True(ok)
			if table.upstreams[c.ID].position >= reserved {
				away++
			}
			table.ResponseStarted(now, c)
			table.Ended(now, c, Completed, Answer{})
		}
		is.True(away >= 16) // expected by chance: 10
		one := enginesWith(t, 1)
		_, ok := one.Pick(t0, chat(1))
		is.True(ok)
		_, ok = one.Pick(t0, long(1))
		is.True(ok)
	}
}

// Pools without tight streams have no position costs.
func TestNoPositionCostWithoutTightStreams(t *testing.T) {
	is := is.New(t)
	table := enginesWith(t, 4)
	p := table.pools["p"]
	p.gapTargets.set([]ingress.GapTarget{{Target: time.Second}})
	for _, u := range p.members {
		is.Equal(p.positionCost(t0, u, 0, false), 0.0)
	}
}
