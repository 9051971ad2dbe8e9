package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/occupancy"
)

// The sample shrinks with the age of the view and the number of gateways; a small fleet
// compares all engines.
func TestSampleSize(t *testing.T) {
	tests := []struct {
		name     string
		engines  int
		gateways int
		age      time.Duration
		// perSecond is the request rate of this gateway.
		perSecond int
		// unread is the prefill backlog of each engine, in tokens.
		unread int
		want   int
	}{
		{"single gateway", 60, 1, 200 * time.Millisecond, 20, 0, 60},
		{"few gateways", 9, 3, 100 * time.Millisecond, 20, 0, 9},
		{"many gateways", 180, 100, 200 * time.Millisecond, 10, 0, 12},
		{"older view", 180, 100, 600 * time.Millisecond, 10, 0, 4},
		{"no update for a minute", 180, 100, time.Minute, 10, 0, minSampled},
		{"low request rate", 180, 100, 100 * time.Millisecond, 1, 0, 180},
		{"large backlog", 180, 100, 200 * time.Millisecond, 10, 8000, 4},
		{"moderate backlog", 180, 100, 200 * time.Millisecond, 10, 4000, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := enginesWith(t, tt.engines)
			peerLoads := peerLoadsOf(nil)
			peerLoads.Age, peerLoads.Gateways = tt.age, tt.gateways
			now := t0
			for range 5 * tt.perSecond {
				now = now.Add(time.Second / time.Duration(tt.perSecond))
				table.SetPeerLoads(now, peerLoads)
				c, ok := table.Pick(now, long(int(now.UnixNano())))
				is.True(ok)
				table.Ended(now, c, Completed, Answer{})
			}
			p := table.pools["p"]
			loads := make(occupancy.Loads)
			for _, u := range p.members {
				loads[u.hash] = occupancy.Load{Unread: tt.unread}
			}
			peerLoads.Loads, peerLoads.Age = loads, 0
			now = now.Add(reservationTTL + time.Millisecond)
			table.SetPeerLoads(now, peerLoads)
			table.peersAge = tt.age
			got := table.sampleSize(now, p, tt.engines, false)
			is.True(float64(got) >= 0.8*float64(tt.want) && float64(got) <= 1.2*float64(tt.want))
			is.True(table.sampleSize(now, p, tt.engines, true) >= got) // tight streams compare at least as many
		})
	}
}

// The home of a prompt is always in the sample.
func TestHomeIsSampled(t *testing.T) {
	is := is.New(t)
	table := enginesWith(t, 100)
	peerLoads := peerLoadsOf(nil)
	peerLoads.Age, peerLoads.Gateways = time.Second, 1000
	table.SetPeerLoads(t0, peerLoads)
	p := table.pools["p"]
	p.sent.others = arrivals{count: 100, at: t0}
	for i := range 50 {
		r := long(i)
		home := homeOf(p.members, r.Prompt, r.Prompt.chain())
		list := table.sampled(t0, p, p.members, home, r)
		is.True(len(list) < 20)
		is.Equal(list[0], home)
	}
}

// The backlog reported by other gateways decreases with time as the engine reads on.
func TestPeerBacklogDecreases(t *testing.T) {
	is := is.New(t)
	table := enginesWith(t, 1)
	u := table.pools["p"].members[0]
	peerLoads := peerLoadsOf(occupancy.Loads{u.hash: {Unread: 10_000}})
	peerLoads.Age = 50 * time.Millisecond
	table.SetPeerLoads(t0, peerLoads)
	is.Equal(u.unread(t0, 40), 8000)
	is.Equal(u.unread(at(100), 40), 4000)
	is.Equal(u.unread(at(600), 40), 0)
}
