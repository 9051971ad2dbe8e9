package warmup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/fleet"
	"github.com/gladegauge/gladegauge/internal/core/warmup"
)

var t0 = time.Unix(1000, 0)

// bounds are typical limits of pools.
var bounds = []warmup.Bounds{
	{PerSecond: 13, MaxRequests: 13*1.5 + 5},
	{PerSecond: 13, MaxRequests: 13},
	{PerSecond: 40, MaxRequests: 65},
	{PerSecond: 3, MaxRequests: 3*1.2 + 1},
	{PerSecond: 1, MaxRequests: 2},
	{PerSecond: 0.5, MaxRequests: 1.5},
	{PerSecond: 200, MaxRequests: 200*1.5 + 10},
}

// A split has at least one holder, and stays within the bound for one set of holders, and
// for two sets where there is room.
func TestSplit(t *testing.T) {
	is := is.New(t)
	for _, b := range bounds {
		s := warmup.NewSplit(b)
		is.True(s.Holders >= 1)
		rate := float64(s.Holders) / s.Interval.Seconds()
		is.True(rate <= b.PerSecond)
		is.True(float64(s.Holders)+rate <= b.MaxRequests+1e-6)
		if b.MaxRequests >= 3 {
			is.True(2*(float64(s.Holders)+rate) <= b.MaxRequests+1e-6)
		}
	}
	is.Equal(warmup.NewSplit(warmup.Bounds{PerSecond: 0.5, MaxRequests: 0.9}), warmup.Split{}) // not even one request fits
}

// An earlier end never shortens the cold period.
func TestColdIsNotCutShort(t *testing.T) {
	is := is.New(t)
	s := warmup.State{}.With(t0.Add(3 * time.Second)).With(t0.Add(time.Second)).With(time.Time{})
	is.True(s.Cold(t0.Add(2 * time.Second)))
	is.True(!s.Cold(t0.Add(3 * time.Second)))
}

// gateways returns n gateways, of which each knows those for which knows is true.
func gateways(n int, knows func(a, b int) bool) []*fleet.Fleet {
	list := make([]*fleet.Fleet, n)
	seeds := []string{"10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1"}
	for i := range list {
		list[i] = fleet.New(fleet.Member{Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: "z", Start: 1})
		list[i].Started(t0, seeds, false, 0)
	}
	for i, f := range list {
		for j, other := range list {
			if i != j && knows(i, j) {
				f.Merge(t0, other.Sample(t0, 1, uint64(i))[:1])
			}
		}
	}
	return list
}

// A cold upstream never gets more requests per second than it tolerates, from all
// gateways together, however many have something to send.
func TestArrivalsAtAColdUpstream(t *testing.T) {
	all := func(int, int) bool { return true }
	none := func(int, int) bool { return false }
	halves := func(a, b int) bool { return a%2 == b%2 }
	tests := []struct {
		name  string
		n     int
		knows func(a, b int) bool
		// after is the time since the gateways learned of each other.
		after time.Duration
		// least is the minimum used share of the upstream's rate.
		least float64
	}{
		{"one gateway and its seeds", 1, all, time.Minute, 0},
		{"few", 3, all, 10 * time.Second, 0.5},
		{"many", 31, all, 10 * time.Second, 0.5},
		{"a hundred", 100, all, 10 * time.Second, 0.5},
		{"halves that do not know each other", 30, halves, 10 * time.Second, 0.5},
		{"cut off from each other for a minute", 31, all, time.Minute, 0.5},
		{"all have just started", 31, all, time.Second, 0},
		{"no gateway knows another", 31, none, time.Minute, 0},
	}
	for _, tt := range tests {
		for _, b := range bounds[:4] {
			t.Run(fmt.Sprintf("%s/%v", tt.name, b.PerSecond), func(t *testing.T) {
				is := is.New(t)
				for key := range uint64(5) {
					arrivals := flood(gateways(tt.n, tt.knows), t0.Add(tt.after), key*7919, b)
					is.True(float64(busiestSecond(arrivals)) <= b.MaxRequests)
					is.True(float64(len(arrivals)) >= tt.least*3*min(b.PerSecond, b.MaxRequests/2-1))
				}
			})
		}
	}
}

// flood lets every gateway send whenever it may for three seconds, and returns the
// arrivals.
func flood(list []*fleet.Fleet, from time.Time, key uint64, b warmup.Bounds) []time.Time {
	split := warmup.NewSplit(b)
	states := make([]warmup.State, len(list))
	holds := make([]bool, len(list))
	for i, f := range list {
		holds[i] = f.Holds(from, key, split.Holders)
	}
	var arrivals []time.Time
	for ms := range 3000 {
		now := from.Add(time.Duration(ms) * time.Millisecond)
		for i := range list {
			if holds[i] && states[i].MaySend(now) {
				states[i] = states[i].Sent(now, split)
				arrivals = append(arrivals, now)
			}
		}
	}
	return arrivals
}

// busiestSecond returns the maximum number of arrivals within a second.
func busiestSecond(arrivals []time.Time) int {
	most, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
