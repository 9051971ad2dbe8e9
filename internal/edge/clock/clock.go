// Package clock provides the time from which all ages, leases, windows and deadlines are
// computed.
//
// The monotonic clock of a process, which Go's times carry, stops while its host is
// suspended, and the wall clock may be stepped. The times of this package are affected by
// neither: they are the wall-clock time at the start of the process plus the kernel's boot
// time since then. They carry no monotonic reading, so that the difference of two of them is
// exactly the elapsed time. They must not be passed to functions that compare them with the
// wall clock (context.WithDeadline, net.Conn.SetDeadline): pass these the remaining time, or
// Deadline.
//
// Timers and timeouts run on monotonic time and fire late after a suspension. Code that
// waits for one must read the clock before it acts.
//
// # Usage
//
//	c := clock.New()
//	now := c.Now()
//	ctx, cancel := context.WithTimeout(ctx, deadline.Sub(c.Now()))
package clock

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// bootReadInterval is how long the boot time is extrapolated from the monotonic clock
	// before it is read from the kernel again. The time is read some tens of times per
	// request, and a system call each time would cost more than the rest of the request.
	bootReadInterval = 50 * time.Millisecond
	// maxDrift is the difference between the wall clock and the monotonic clock from which
	// the boot time is read at once: it indicates a suspension or a step of the wall clock.
	maxDrift = 5 * time.Millisecond
)

// Sources are the clocks that a Clock reads; tests replace them.
type Sources struct {
	// Start is the wall-clock time when the Clock is created.
	Start time.Time
	// Read returns the time since then by the monotonic clock and by the wall clock.
	Read func() (monotonic, wall time.Duration)
	// Boot returns the time since the host booted, including suspensions.
	Boot func() (time.Duration, error)
}

// Clock returns the current time. It is safe for concurrent use.
type Clock struct {
	sources     Sources
	bootAtStart time.Duration
	latest      atomic.Pointer[sample]
}

// sample is a reading of the clocks at the latest read of the boot time.
type sample struct {
	// monotonic and wall are the time since the start by the monotonic clock and by the wall
	// clock.
	monotonic, wall time.Duration
	// suspended is the time spent suspended: the excess of the boot time over the monotonic
	// clock.
	suspended time.Duration
}

// New returns the clock of this host.
func New() *Clock {
	start := time.Now()
	wall := start.Round(0)
	return NewFrom(Sources{
		Start: wall,
		Read: func() (time.Duration, time.Duration) {
			t := time.Now()
			return t.Sub(start), t.Round(0).Sub(wall)
		},
		Boot: bootTime,
	})
}

// NewFrom returns a clock that reads the given sources.
func NewFrom(s Sources) *Clock {
	c := &Clock{sources: s}
	// Without a boot time the clock follows the monotonic clock, and suspensions do not
	// count.
	boot, _ := s.Boot()
	monotonic, wall := s.Read()
	c.bootAtStart = boot - monotonic
	c.latest.Store(&sample{monotonic: monotonic, wall: wall})
	return c
}

// Now returns the current time.
func (c *Clock) Now() time.Time {
	monotonic, wall := c.sources.Read()
	s := c.latest.Load()
	drift := (wall - monotonic) - (s.wall - s.monotonic)
	if monotonic-s.monotonic >= bootReadInterval || drift > maxDrift || drift < -maxDrift {
		s = c.sample(s)
	}
	return c.sources.Start.Add(monotonic + s.suspended)
}

// Deadline returns the time after the remaining duration on the clock that package net uses.
// The remaining duration is computed with a Clock.
func Deadline(left time.Duration) time.Time { return time.Now().Add(left) }

// sample reads the boot time and stores a new sample. The monotonic clock is read after the
// boot time: a process that is paused between the two underestimates a suspension until the
// next sample, and never overestimates it. The time does not go back.
func (c *Clock) sample(before *sample) *sample {
	boot, err := c.sources.Boot()
	monotonic, wall := c.sources.Read()
	s := &sample{monotonic: monotonic, wall: wall}
	if err == nil {
		s.suspended = boot - c.bootAtStart - monotonic
	}
	// Another goroutine may have stored a newer sample meanwhile. Overwriting it with this
	// one would ignore a suspension in between until the next sample, for 50 ms.
	for {
		s.suspended = max(s.suspended, before.suspended)
		if c.latest.CompareAndSwap(before, s) {
			return s
		}
		before = c.latest.Load()
	}
}

// bootTime reads CLOCK_BOOTTIME.
func bootTime() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, errors.WithStack(err)
	}
	return time.Duration(ts.Nano()), nil
}
