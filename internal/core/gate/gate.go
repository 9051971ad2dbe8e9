// Package gate refuses early what the agents would refuse anyway.
//
// After all offers of a request were refused for overload, the gate closes for
// a moment to the same class and organisation. A probe passes now and then, so
// that it opens again as soon as there is room. It never closes for longer than
// the queues hold work, and an organisation within its share is not held back
// by another's burst.
//
// # Usage
//
//	if wait, ok := g.Pass(now, key); !ok {
//		return refuse(wait)
//	}
package gate

import "time"

// Times of a gate.
const (
	// CloseFor is how long one refusal closes the gate.
	CloseFor = 250 * time.Millisecond
	// ProbeEvery is the time between two probes through a closed gate.
	ProbeEvery = 50 * time.Millisecond
	// sweepAt is the number of gates above which open ones are forgotten.
	sweepAt = 4096
)

// Key names what a gate is for.
type Key struct {
	Pool         string
	Class        string
	Organisation string
}

type state struct {
	until      time.Time
	probe      time.Time
	retryAfter time.Duration
}

// Gates holds the gates that closed lately. It is not safe for concurrent use.
type Gates struct {
	closed map[Key]*state
}

// New returns gates that are all open.
func New() *Gates {
	return &Gates{closed: make(map[Key]*state)}
}

// Pass reports whether a request may go on. If not, it returns when the caller
// should come back.
func (g *Gates) Pass(now time.Time, k Key) (time.Duration, bool) {
	s, ok := g.closed[k]
	if !ok || !now.Before(s.until) {
		return 0, true
	}
	if !now.Before(s.probe) {
		s.probe = now.Add(ProbeEvery)
		return 0, true
	}
	return s.retryAfter, false
}

// Refused closes the gate after a request was refused for overload.
func (g *Gates) Refused(now time.Time, k Key, retryAfter time.Duration) {
	if len(g.closed) >= sweepAt {
		g.sweep(now)
	}
	s, ok := g.closed[k]
	if !ok {
		s = &state{}
		g.closed[k] = s
	}
	s.until = now.Add(CloseFor)
	s.probe = now.Add(ProbeEvery)
	s.retryAfter = retryAfter
}

// Admitted opens the gate.
func (g *Gates) Admitted(k Key) {
	delete(g.closed, k)
}

func (g *Gates) sweep(now time.Time) {
	for k, s := range g.closed {
		if !now.Before(s.until) {
			delete(g.closed, k)
		}
	}
}

// Closed reports whether the gate is closed, and when to come back. Unlike
// Pass it lets no probe through.
func (g *Gates) Closed(now time.Time, k Key) (time.Duration, bool) {
	s, ok := g.closed[k]
	if !ok || !now.Before(s.until) {
		return 0, false
	}
	return s.retryAfter, true
}
