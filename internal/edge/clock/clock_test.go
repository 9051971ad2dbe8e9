package clock

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// host holds the simulated clocks of a host.
type host struct {
	monotonic, wall, boot time.Duration
	failing               bool
	bootReads             int
}

func (h *host) sources() Sources {
	return Sources{
		Start: time.Unix(1000, 0),
		Read:  func() (time.Duration, time.Duration) { return h.monotonic, h.wall },
		Boot: func() (time.Duration, error) {
			h.bootReads++
			if h.failing {
				return 0, errors.New("no such clock")
			}
			return h.boot, nil
		},
	}
}

func (h *host) advance(d time.Duration) {
	h.monotonic += d
	h.wall += d
	h.boot += d
}

// TestClock checks that suspensions count and that steps of the wall clock do not.
func TestClock(t *testing.T) {
	tests := []struct {
		name string
		then func(h *host)
		want time.Duration
	}{
		{"time passes", func(h *host) { h.advance(time.Second) }, time.Second},
		{"the host is suspended", func(h *host) { h.boot += 5 * time.Second; h.wall += 5 * time.Second }, 5 * time.Second},
		{"it is suspended, and the wall clock is set back", func(h *host) { h.boot += 5 * time.Second; h.advance(bootReadInterval) }, 5*time.Second + bootReadInterval},
		{"the wall clock is set ahead", func(h *host) { h.wall += time.Hour }, 0},
		{"the wall clock is set back", func(h *host) { h.wall -= time.Hour; h.advance(time.Second) }, time.Second},
		{"the kernel has no boot time", func(h *host) { h.failing = true; h.wall += time.Hour; h.advance(time.Second) }, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := &host{boot: time.Hour}
			c := NewFrom(h.sources())
			before := c.Now()
			tt.then(h)
			is.Equal(c.Now().Sub(before), tt.want)
			is.Equal(c.Now().Sub(before), tt.want)
		})
	}
}

// TestOlderSampleStoredLast guards against a lost suspension: one goroutine reads the boot
// time, the host is suspended, another goroutine reads it and stores its sample, and then the
// first one stores its older sample. A suspension of 5 s would be ignored for 50 ms.
func TestOlderSampleStoredLast(t *testing.T) {
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
			h.wall += 5 * time.Second
			c.Now()
		}
		return answer, nil
	}
	c = NewFrom(s)
	before := s.Start
	h.advance(bootReadInterval)
	c.Now()
	is.Equal(c.Now().Sub(before), 5*time.Second+bootReadInterval)
}

// TestSystemCalls checks that the boot time is read periodically, and at once when the clocks
// diverge.
func TestSystemCalls(t *testing.T) {
	is := is.New(t)
	h := &host{}
	c := NewFrom(h.sources())
	for range 1000 {
		h.advance(time.Millisecond)
		c.Now()
	}
	is.Equal(h.bootReads, 1+1000/int(bootReadInterval/time.Millisecond))
	h.boot += time.Second
	h.wall += time.Second
	c.Now()
	is.Equal(h.bootReads, 2+1000/int(bootReadInterval/time.Millisecond))
}

// TestNow checks that the real clock does not go back.
func TestNow(t *testing.T) {
	is := is.New(t)
	c := New()
	before := c.Now()
	is.True(!c.Now().Before(before))
	is.Equal(before.String(), before.Round(0).String()) // no monotonic reading
}

// BenchmarkNow measures the cost of reading the current time.
func BenchmarkNow(b *testing.B) {
	c := New()
	for b.Loop() {
		c.Now()
	}
}
