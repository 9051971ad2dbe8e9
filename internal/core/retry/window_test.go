package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var t0 = time.Unix(1000, 0)

// A crash may break many requests at once: they may be tried again as far as the
// requests before it allow.
func TestWindowAfterACrash(t *testing.T) {
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
	later := now.Add(12 * time.Second) // nothing was sent meanwhile
	is.True(w.Spend(later))
	is.True(w.Spend(later))
	is.True(!w.Spend(later))
	is.True(w.With(0.2, 4, 10*time.Second).Spend(later))
	is.True(len(w.parts) <= windowParts+1)
}

// Whatever fails, and whenever, the retries of all gateways keep to the share and the
// whole reserve in every span, also when parts of the fleet hear nothing of each other.
func TestWindowsOfAFleet(t *testing.T) {
	const (
		share   = 0.2
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
				fleet[i] = NewWindow(share, reserve/float64(gateways), span)
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
			wide := int(span / step)
			most := 0
			for end := wide; end <= steps; end++ {
				sent, again := 0, 0
				for s := end - wide; s < end; s++ {
					sent += requests[s]
					again += retries[s]
				}
				is.True(float64(again) <= share*float64(sent)+reserve)
				most = max(most, again)
			}
			t.Logf("%d retries in the worst span", most)
			is.True(most > 300) // it is used, not only kept to
		})
	}
}
