package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/config"
)

var t0 = time.Unix(1_800_000_000, 0)

// TestShares sends requests continuously through several entries for ten seconds. Together
// they admit the rate plus one burst, also when entries join or leave.
func TestShares(t *testing.T) {
	tests := []struct {
		name    string
		entries func(second int) int
	}{
		{"one entry", func(int) int { return 1 }},
		{"four entries", func(int) int { return 4 }},
		{"one entry joins", func(s int) int { return 2 + s/5 }},
		{"one entry leaves", func(s int) int { return 3 - s/5 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			o := &config.Organisation{Name: "hall", Rate: 20, Burst: 20}
			limiters := []*Limiter{New(), New(), New(), New()}
			passed := 0
			for ms := range 10000 {
				n := tt.entries(ms / 1000)
				for _, l := range limiters[:n] {
					if _, ok := l.Take(t0.Add(time.Duration(ms)*time.Millisecond), o, n); ok {
						passed++
					}
				}
			}
			is.True(passed >= 200)
			is.True(passed <= 200+20+10)
		})
	}
}

func TestWaitIsExact(t *testing.T) {
	is := is.New(t)
	l := New()
	o := &config.Organisation{Name: "hall", Rate: 2, Burst: 1}
	_, ok := l.Take(t0, o, 1)
	is.True(ok)
	wait, ok := l.Take(t0, o, 1)
	is.True(!ok)
	is.Equal(wait, 500*time.Millisecond)
	_, ok = l.Take(t0.Add(wait-time.Millisecond), o, 1)
	is.True(!ok)
	_, ok = l.Take(t0.Add(wait), o, 1)
	is.True(ok)
}

func TestNoLimit(t *testing.T) {
	is := is.New(t)
	l := New()
	_, ok := l.Take(t0, &config.Organisation{Name: "hall"}, 1)
	is.True(ok)
	is.Equal(len(l.buckets), 0)
}
