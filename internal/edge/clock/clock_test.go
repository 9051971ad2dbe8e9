package clock

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// host is the clocks of a host.
type host struct {
	steady, day, boot time.Duration
	failing           bool
	asked             int
}

func (h *host) sources() Sources {
	return Sources{
		Start: time.Unix(1000, 0),
		Read:  func() (time.Duration, time.Duration) { return h.steady, h.day },
		Boot: func() (time.Duration, error) {
			h.asked++
			if h.failing {
				return 0, errors.New("no such clock")
			}
			return h.boot, nil
		},
	}
}

func (h *host) pass(d time.Duration) {
	h.steady += d
	h.day += d
	h.boot += d
}

// Suspensions count, steps of the time of day do not.
func TestClock(t *testing.T) {
	tests := []struct {
		name string
		then func(h *host)
		want time.Duration
	}{
		{"time passes", func(h *host) { h.pass(time.Second) }, time.Second},
		{"the host is suspended", func(h *host) { h.boot += 5 * time.Second; h.day += 5 * time.Second }, 5 * time.Second},
		{"it is suspended, and the time of day is set back", func(h *host) { h.boot += 5 * time.Second; h.pass(lookEvery) }, 5*time.Second + lookEvery},
		{"the time of day is set ahead", func(h *host) { h.day += time.Hour }, 0},
		{"the time of day is set back", func(h *host) { h.day -= time.Hour; h.pass(time.Second) }, time.Second},
		{"the kernel has no boot time", func(h *host) { h.failing = true; h.day += time.Hour; h.pass(time.Second) }, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := &host{boot: time.Hour}
			c := From(h.sources())
			before := c.Now()
			tt.then(h)
			is.Equal(c.Now().Sub(before), tt.want)
			is.Equal(c.Now().Sub(before), tt.want)
		})
	}
}

// A goroutine asked the kernel, the host was suspended, and another one asked and noted it;
// then the first noted its older answer, and the suspension was forgotten for 50 ms:
// "50ms != 5.05s".
func TestOlderAnswerComesLast(t *testing.T) {
	is := is.New(t)
	h := &host{boot: time.Hour}
	s := h.sources()
	var c *Clock
	inner := false
	s.Boot = func() (time.Duration, error) {
		answer := h.boot
		if c != nil && !inner {
			inner = true
			h.boot += 5 * time.Second
			h.day += 5 * time.Second
			c.Now()
		}
		return answer, nil
	}
	c = From(s)
	before := s.Start
	h.pass(lookEvery)
	c.Now()
	is.Equal(c.Now().Sub(before), 5*time.Second+lookEvery)
}

// The kernel is asked now and then, and at once when the clocks part.
func TestSystemCalls(t *testing.T) {
	is := is.New(t)
	h := &host{}
	c := From(h.sources())
	for range 1000 {
		h.pass(time.Millisecond)
		c.Now()
	}
	is.Equal(h.asked, 1+1000/int(lookEvery/time.Millisecond))
	h.boot += time.Second
	h.day += time.Second
	c.Now()
	is.Equal(h.asked, 2+1000/int(lookEvery/time.Millisecond))
}

// The clock of this host goes on.
func TestNow(t *testing.T) {
	is := is.New(t)
	c := New()
	before := c.Now()
	is.True(!c.Now().Before(before))
	is.Equal(before.String(), before.Round(0).String()) // no steady reading
}

// BenchmarkNow names what the present time costs.
func BenchmarkNow(b *testing.B) {
	c := New()
	for b.Loop() {
		c.Now()
	}
}
