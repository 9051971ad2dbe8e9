package gatewayd

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// maxTimerDelay is by how much a timer is late if the process stood still meanwhile: then
	// it says nothing of the upstream, whose words may wait to be read.
	maxTimerDelay = 50 * time.Millisecond
	// resumeGrace is the time in which what came meanwhile is read.
	resumeGrace = 100 * time.Millisecond
)

// stallTimer is a timer that runs while an upstream says nothing. The time in which this
// process stood still does not count.
type stallTimer struct {
	timer *time.Timer
	now   func() time.Time
	// deadline is when it runs out, in nanoseconds since 1970.
	deadline atomic.Int64
	// onExpire is called when it has run onExpire.
	onExpire func()
}

// newStallTimer begins one.
func newStallTimer(d time.Duration, now func() time.Time, onExpire func()) *stallTimer {
	s := &stallTimer{now: now, onExpire: onExpire}
	s.timer = time.AfterFunc(math.MaxInt64, s.expire)
	s.reset(d)
	return s
}

// expire waits for a moment more if the process stood still when the time was over.
func (s *stallTimer) expire() {
	if late := s.now().UnixNano() - s.deadline.Load(); late > int64(maxTimerDelay) {
		s.reset(resumeGrace)
		return
	}
	s.onExpire()
}

// reset begins it anew.
func (s *stallTimer) reset(d time.Duration) {
	s.deadline.Store(s.now().Add(d).UnixNano())
	s.timer.Reset(d)
}

// stop ends it.
func (s *stallTimer) stop() { s.timer.Stop() }
