package gatewayd

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// stoodStill is by how much a timer is late if the process stood still meanwhile: then
	// it says nothing of the upstream, whose words may wait to be read.
	stoodStill = 50 * time.Millisecond
	// readAgain is the time in which what came meanwhile is read.
	readAgain = 100 * time.Millisecond
)

// silence is a timer that runs while an upstream says nothing. The time in which this
// process stood still does not count.
type silence struct {
	timer *time.Timer
	now   func() time.Time
	// due is when it runs out, in nanoseconds since 1970.
	due atomic.Int64
	// out is called when it has run out.
	out func()
}

// newSilence begins one.
func newSilence(d time.Duration, now func() time.Time, out func()) *silence {
	s := &silence{now: now, out: out}
	s.timer = time.AfterFunc(math.MaxInt64, s.ranOut)
	s.reset(d)
	return s
}

// ranOut waits for a moment more if the process stood still when the time was over.
func (s *silence) ranOut() {
	if late := s.now().UnixNano() - s.due.Load(); late > int64(stoodStill) {
		s.reset(readAgain)
		return
	}
	s.out()
}

// reset begins it anew.
func (s *silence) reset(d time.Duration) {
	s.due.Store(s.now().Add(d).UnixNano())
	s.timer.Reset(d)
}

// stop ends it.
func (s *silence) stop() { s.timer.Stop() }
