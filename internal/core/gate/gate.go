// Package gate rejects requests early that the agents would refuse for overload.
//
// After all offers of a request were refused for overload, the gate closes for a short time
// to requests of the same class and organisation. It lets a probe pass at intervals, so
// that it opens as soon as there is capacity again. It never stays closed for longer than
// the queues hold work, and an organisation within its share is not held back by a burst of
// another.
//
// # Usage
//
//	if wait, ok := g.Pass(now, key); !ok {
//		return refuse(wait)
//	}
package gate

import "time"

// Times and bounds of the gates.
const (
	// ClosePeriod is how long one refusal closes a gate.
	ClosePeriod = 250 * time.Millisecond
	// ProbeInterval is the time between two probes through a closed gate.
	ProbeInterval = 50 * time.Millisecond
	// sweepThreshold is the number of gates from which open ones are dropped.
	sweepThreshold = 4096
)

// Key identifies a gate.
type Key struct {
	Pool         string
	Class        string
	Organisation string
}

type state struct {
	closedUntil time.Time
	nextProbe   time.Time
	retryAfter  time.Duration
}

// Gates holds the recently closed gates. It is not safe for concurrent use.
type Gates struct {
	closed map[Key]*state
}

// New returns gates that are all open.
func New() *Gates {
	return &Gates{closed: make(map[Key]*state)}
}

// Pass reports whether a request may continue. If not, it returns the time after which the
// caller should retry.
func (g *Gates) Pass(now time.Time, k Key) (time.Duration, bool) {
	s, ok := g.closed[k]
	if !ok || !now.Before(s.closedUntil) {
		return 0, true
	}
	if !now.Before(s.nextProbe) {
		s.nextProbe = now.Add(ProbeInterval)
		return 0, true
	}
	return s.retryAfter, false
}

// Refused closes the gate after a request was refused for overload.
func (g *Gates) Refused(now time.Time, k Key, retryAfter time.Duration) {
	if len(g.closed) >= sweepThreshold {
		g.sweep(now)
	}
	s, ok := g.closed[k]
	if !ok {
		s = &state{}
		g.closed[k] = s
	}
	s.closedUntil = now.Add(ClosePeriod)
	s.nextProbe = now.Add(ProbeInterval)
	s.retryAfter = retryAfter
}

// Admitted opens the gate.
func (g *Gates) Admitted(k Key) {
	delete(g.closed, k)
}

func (g *Gates) sweep(now time.Time) {
	for k, s := range g.closed {
		if !now.Before(s.closedUntil) {
			delete(g.closed, k)
		}
	}
}

// Closed reports whether the gate is closed, and the time after which to retry. Unlike Pass
// it lets no probe through.
func (g *Gates) Closed(now time.Time, k Key) (time.Duration, bool) {
	s, ok := g.closed[k]
	if !ok || !now.Before(s.closedUntil) {
		return 0, false
	}
	return s.retryAfter, true
}
