package gatewayd

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// maxTimerDelay is the delay of a timer beyond which the process must have been suspended
	// or stalled meanwhile. The timeout then proves nothing about the upstream, whose data may
	// be waiting to be read.
	maxTimerDelay = 50 * time.Millisecond
	// resumeGrace is the time to read the data that arrived while the process was stalled.
	resumeGrace = 100 * time.Millisecond
)

// stallTimer is a timeout on the silence of an upstream. If this process was suspended or
// stalled itself when the timeout expired, it is extended.
type stallTimer struct {
	timer *time.Timer
	now   func() time.Time
	// deadline is the time of expiry in nanoseconds since 1970.
	deadline atomic.Int64
	// onExpire is called on expiry with the timer, which it may restart.
	onExpire func(s *stallTimer)
}

// newStallTimer returns a running timer.
func newStallTimer(d time.Duration, now func() time.Time, onExpire func(s *stallTimer)) *stallTimer {
	s := &stallTimer{now: now, onExpire: onExpire}
	s.timer = time.AfterFunc(math.MaxInt64, s.expire)
	s.reset(d)
	return s
}

// expire calls onExpire, or extends the timer by resumeGrace if the process was stalled when it
// should have expired.
func (s *stallTimer) expire() {
	if late := s.now().UnixNano() - s.deadline.Load(); late > int64(maxTimerDelay) {
		s.reset(resumeGrace)
		return
	}
	s.onExpire(s)
}

func (s *stallTimer) reset(d time.Duration) {
	s.deadline.Store(s.now().Add(d).UnixNano())
	s.timer.Reset(d)
}

func (s *stallTimer) stop() { s.timer.Stop() }
