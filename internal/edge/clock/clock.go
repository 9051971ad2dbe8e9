// Package clock tells the time that all ages, leases, windows and deadlines are
// counted by.
//
// The steady clock of a process, which Go's times carry, stands still while its host is
// suspended, and the time of day may be set. The times of this package go on through
// both: they are the start of the process by the time of day, plus what has passed since
// by the kernel's boot time. They carry no steady reading, so that two of them differ by
// exactly what passed. They must not be given to what counts by the time of day
// (context.WithDeadline, net.Conn.SetDeadline): give these what is left, or Deadline.
//
// Timers and timeouts count steady time and go off late after a suspension. Whoever
// waits for one looks at the clock before it acts.
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
	// lookEvery is how long the kernel's boot time is worked out from the steady clock
	// before it is asked again: a system call for each of some tens of times a request
	// would cost more than the requests' own work.
	lookEvery = 50 * time.Millisecond
	// driftMost is how far the time of day and the steady clock may part before the
	// kernel is asked at once: a suspension or a step of the time of day shows so.
	driftMost = 5 * time.Millisecond
)

// Sources are what a clock is made of; tests have their own.
type Sources struct {
	// Start is the time of day when the clock is made.
	Start time.Time
	// Read returns what has passed since then by the steady clock and by the time of day.
	Read func() (steady, day time.Duration)
	// Boot returns the time since the start of the host, suspensions with it.
	Boot func() (time.Duration, error)
}

// Clock tells the time. It is safe for concurrent use.
type Clock struct {
	sources     Sources
	bootAtStart time.Duration
	latest      atomic.Pointer[look]
}

// look is what the clocks said when the kernel was asked last.
type look struct {
	// steady and day are the time since the start by the steady clock and by the time of
	// day.
	steady, day time.Duration
	// suspended is how much longer it is by the boot time than by the steady clock.
	suspended time.Duration
}

// New returns the clock of this host.
func New() *Clock {
	start := time.Now()
	day := start.Round(0)
	return From(Sources{
		Start: day,
		Read: func() (time.Duration, time.Duration) {
			t := time.Now()
			return t.Sub(start), t.Round(0).Sub(day)
		},
		Boot: bootTime,
	})
}

// From returns a clock of the sources.
func From(s Sources) *Clock {
	c := &Clock{sources: s}
	// A kernel without a boot time leaves the steady clock: nothing is ever suspended.
	boot, _ := s.Boot()
	steady, day := s.Read()
	c.bootAtStart = boot - steady
	c.latest.Store(&look{steady: steady, day: day})
	return c
}

// Now returns the present time.
func (c *Clock) Now() time.Time {
	steady, day := c.sources.Read()
	l := c.latest.Load()
	drift := (day - steady) - (l.day - l.steady)
	if steady-l.steady >= lookEvery || drift > driftMost || drift < -driftMost {
		l = c.look(l)
	}
	return c.sources.Start.Add(steady + l.suspended)
}

// Deadline is when the time will have passed by the clock that package net counts by. What
// is left of a deadline is worked out by a Clock.
func Deadline(left time.Duration) time.Time { return time.Now().Add(left) }

// look asks the kernel. The steady clock is read after it: a process that stands still
// between the two takes a suspension for shorter, until the next look, and never for
// longer. Time does not go back.
func (c *Clock) look(before *look) *look {
	boot, err := c.sources.Boot()
	steady, day := c.sources.Read()
	l := &look{steady: steady, day: day}
	if err == nil {
		l.suspended = boot - c.bootAtStart - steady
	}
	// Another goroutine may have asked meanwhile. A plain store of the older answer forgot
	// a suspension of 5 s for 50 ms.
	for {
		l.suspended = max(l.suspended, before.suspended)
		if c.latest.CompareAndSwap(before, l) {
			return l
		}
		before = c.latest.Load()
	}
}

// bootTime is CLOCK_BOOTTIME.
func bootTime() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, errors.WithStack(err)
	}
	return time.Duration(ts.Nano()), nil
}
