package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var t0 = time.Unix(1000, 0)

// After a crash that breaks many requests at once, as many retries are allowed as the
// requests before it permit.
func TestWindowAfterCrash(t *testing.T) {
	is := is.New(t)
	w := NewWindow(0.2, 2, 10*time.Second)
	for i := range 100 {
		w.Request(t0.Add(time.Duration(i) * 90 * time.Millisecond))
	}
	now := t0.Add(9 * time.Second)
	n := 0
	for w.Spend(now) {
		n++
	}
	is.Equal(n, 22)
	is.True(!w.Spend(now.Add(time.Second)))
	later := now.Add(12 * time.Second) // no requests in between
	is.True(w.Spend(later))
	is.True(w.Spend(later))
	is.True(!w.Spend(later))
	is.True(w.With(0.2, 4, 10*time.Second).Spend(later))
	is.True(len(w.buckets) <= windowBuckets+1)
}

// For any pattern of failures, the retries of all gateways keep to the ratio plus the whole
// reserve in every window, also when parts of the fleet have no contact with each other.
func TestWindowsOfFleet(t *testing.T) {
	const (
		ratio   = 0.2
		reserve = 60.0
		span    = 10 * time.Second
		step    = 20 * time.Millisecond
		steps   = 3000
	)
	for _, gateways := range []int{1, 30, 103} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(uint64(gateways), 7))
			fleet := make([]*Window, gateways)
			for i := range fleet {
				fleet[i] = NewWindow(ratio, reserve/float64(gateways), span)
			}
			requests, retries := make([]int, steps), make([]int, steps)
			failing := 0.0
			for s := range steps {
				now := t0.Add(time.Duration(s) * step)
				if s%250 == 0 {
					failing = rng.Float64() * float64(s/250%2)
				}
				for range 6 {
					w := fleet[rng.IntN(gateways)]
					w.Request(now)
					requests[s]++
					if rng.Float64() < failing && w.Spend(now) {
						retries[s]++
					}
				}
			}
			windowSteps := int(span / step)
			most := 0
			for end := windowSteps; end <= steps; end++ {
				sent, again := 0, 0
				for s := end - windowSteps; s < end; s++ {
					sent += requests[s]
					again += retries[s]
				}
				is.True(float64(again) <= ratio*float64(sent)+reserve)
				most = max(most, again)
			}
			t.Logf("at most %d retries in one window", most)
			is.True(most > 300) // the budget is used, not only respected
		})
	}
}
