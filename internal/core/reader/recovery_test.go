package reader

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// boundsWithin returns the bounds of a deployment whose configurations must be in force
// within the given time.
func boundsWithin(config time.Duration) Bounds {
	return Bounds{MaxKeyAge: 3800 * time.Millisecond, MaxListAge: config - 250*time.Millisecond, MaxConfigDelay: config}
}

// every returns the multiples of gap before the end.
func every(gap, end time.Duration) []time.Duration {
	var list []time.Duration
	for at := gap; at < end; at += gap {
		list = append(list, at)
	}
	return list
}

// subsets returns all non-empty subsets of n gateways.
func subsets(n int) [][]int {
	var all [][]int
	for bits := 1; bits < 1<<n; bits++ {
		var set []int
		for i := range n {
			if bits&(1<<i) != 0 {
				set = append(set, i)
			}
		}
		all = append(all, set)
	}
	return all
}

// The store is queried soon after an outage: whatever the gateways were doing when it
// began and ended, and whichever of them the store continues to leave without an answer,
// those that can reach it have each configuration within the bound.
func TestStoreIsQueriedSoonAfterAnOutage(t *testing.T) {
	const within = 2 * time.Second
	const begin, end = 4 * time.Second, 13 * time.Second
	durations := []time.Duration{400 * time.Millisecond, 1200 * time.Millisecond, 1900 * time.Millisecond, 3100 * time.Millisecond}
	var worst lateness
	runs := 0
	run := func(n, zones int, faults []fault) {
		w := newSimulation(n, zones, boundsWithin(within), uint64(runs))
		w.writes = every(430*time.Millisecond, end)
		w.faults = faults
		w.run(end)
		runs++
		if l := w.worst(within); l.by > worst.by {
			worst = l
			t.Logf("%d gateways, %v: gateway %d received configuration %d after %v", n, faults, l.gateway, l.version, l.by)
		}
	}
	for n := 1; n <= 4; n++ {
		for _, zones := range []int{1, n} {
			for _, kind := range []faultKind{silent, refusing} {
				for offset := time.Duration(0); offset < 1600*time.Millisecond; offset += 200 * time.Millisecond {
					for _, duration := range durations {
						from := begin + offset
						outage := fault{kind: kind, from: from, until: from + duration}
						run(n, zones, []fault{outage})
						for _, silenced := range subsets(n) {
							run(n, zones, []fault{outage, {kind: silent, from: from + duration - 300*time.Millisecond, until: from + duration + 3*time.Second, members: silenced}})
						}
					}
				}
			}
		}
	}
	t.Logf("%d runs, largest delay %v", runs, worst.by)
	is.New(t).True(worst.by <= within)
}

// randomFaults generates faults of n gateways up to the end.
func randomFaults(rng *rand.Rand, n int, end time.Duration) []fault {
	var list []fault
	at := 3 * time.Second
	for at < end {
		d := time.Duration(rng.Int64N(int64(4 * time.Second)))
		tr := fault{kind: faultKind(rng.IntN(6)), from: at, until: at + 50*time.Millisecond + d}
		if part := rng.IntN(4); part > 0 && tr.kind != compacted {
			for i := range n {
				if rng.IntN(4) < part {
					tr.members = append(tr.members, i)
				}
			}
		}
		list = append(list, tr)
		at += time.Duration(rng.Int64N(int64(3 * time.Second)))
	}
	return list
}

// Under any sequence or combination of faults, each gateway that can reach the store has
// each configuration within the bound.
func TestConfigurationsUnderRandomFaults(t *testing.T) {
	tests := []struct {
		n, zones, seeds int
		within          time.Duration
	}{
		{1, 1, 300, 2 * time.Second},
		{2, 2, 300, 2 * time.Second},
		{3, 3, 300, 2 * time.Second},
		{4, 2, 300, 2 * time.Second},
		{5, 3, 300, 2 * time.Second},
		{8, 3, 100, 2 * time.Second},
		{30, 3, 10, 4 * time.Second},
		{100, 5, 3, 4 * time.Second},
		{357, 5, 1, 5 * time.Second},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.n), func(t *testing.T) {
			var worst lateness
			for seed := range uint64(tt.seeds) {
				const end = 20 * time.Second
				rng := rand.New(rand.NewPCG(seed, uint64(tt.n)))
				w := newSimulation(tt.n, tt.zones, boundsWithin(tt.within), seed)
				w.writes = every(430*time.Millisecond, end)
				w.faults = randomFaults(rng, tt.n, end-8*time.Second)
				w.run(end)
				if l := w.worst(tt.within); l.by > worst.by {
					worst = l
					t.Logf("seed %d: gateway %d received configuration %d, available since %v, after %v", seed, l.gateway, l.version, l.since, l.by)
				}
			}
			is.New(t).True(worst.by <= tt.within)
		})
	}
}

// While the store answers no gateway, each of them queries it on average no more than
// twice in the time within which a configuration must be in force.
func TestCallsToAStoreThatAnswersNobody(t *testing.T) {
	tests := []struct {
		n, zones int
		within   time.Duration
	}{
		{1, 1, 2 * time.Second},
		{5, 3, 2 * time.Second},
		{31, 5, 4 * time.Second},
		{357, 5, 5 * time.Second},
		{800, 7, 4 * time.Second},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.n), func(t *testing.T) {
			is := is.New(t)
			const from, lasts, end = 4 * time.Second, 7 * time.Second, 11 * time.Second
			w := newSimulation(tt.n, tt.zones, boundsWithin(tt.within), 1)
			w.faults = []fault{{kind: silent, from: from, until: from + lasts}}
			w.run(end)
			baseline := float64(w.callsIn(span{0, from})) / from.Seconds()
			outageRate := float64(w.callsIn(span{from, from + lasts})) / lasts.Seconds()
			t.Logf("%.1f calls a second in the outage, %.1f before", outageRate, baseline)
			is.True(outageRate <= 1+2*float64(tt.n)/tt.within.Seconds())
			is.True(baseline <= 1/w.bounds.DefaultWatchWait().Seconds()+1/from.Seconds()) // one gateway reads for all
		})
	}
}
