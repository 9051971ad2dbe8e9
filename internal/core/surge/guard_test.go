package surge

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var t0 = time.Unix(1000, 0)

// server is a process that takes a fixed time for each connection, one after the other.
type server struct {
	guard *Guard
	// busyUntil is when it has worked through all accepted connections.
	busyUntil time.Time
	work      time.Duration
	rng       *rand.Rand
	// accepted and closed count connections, late those that waited for over a second.
	accepted, closed, late int
	longestClosed          time.Duration
	acceptedAt             time.Time
}

// play offers connections at the rate for so long.
func (s *server) play(now time.Time, perSecond float64, d time.Duration) time.Time {
	const step = 10 * time.Millisecond
	arrivals := 0.0
	for end := now.Add(d); now.Before(end); now = now.Add(step) {
		if now.Sub(t0)%(100*time.Millisecond) == 0 {
			s.guard.Measure(now, max(0, s.busyUntil.Sub(now)))
		}
		for arrivals += perSecond * step.Seconds(); arrivals >= 1; arrivals-- {
			s.offer(now)
		}
	}
	return now
}

func (s *server) offer(now time.Time) {
	if !s.guard.Admit(now, s.rng.Float64()) {
		s.closed++
		s.longestClosed = max(s.longestClosed, now.Sub(s.acceptedAt))
		return
	}
	s.accepted++
	s.acceptedAt = now
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(s.work)
	if s.busyUntil.Sub(now) > time.Second {
		s.late++
	}
}

func newServer(work time.Duration) *server {
	return &server{guard: New(t0), work: work, rng: rand.New(rand.NewPCG(1, 2)), acceptedAt: t0}
}

// A gateway that gets several times the connections it can serve closes the rest unread, stays
// able to serve what it accepts, and accepts all of them once the surge is over.
func TestSurge(t *testing.T) {
	tests := []struct {
		name string
		// usual and surge are connections per second; the server takes 100.
		usual, surge float64
		// least is the minimum number of connections accepted per second of the surge.
		least float64
	}{
		{"twice what it can serve", 30, 200, 75},
		{"five times what it can serve", 30, 500, 75},
		{"just above what it can serve", 50, 110, 75},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newServer(10 * time.Millisecond)
			now := s.play(t0, tt.usual, 20*time.Second)
			is.Equal(s.closed, 0)
			now = s.play(now, tt.surge, 3*time.Second)
			s.accepted, s.closed, s.late = 0, 0, 0
			now = s.play(now, tt.surge, 10*time.Second)
			t.Logf("accepted %d, closed %d, late %d", s.accepted, s.closed, s.late)
			is.True(float64(s.accepted) >= 10*tt.least)
			is.Equal(s.late, 0)
			is.True(s.longestClosed < time.Second) // never closed to all callers
			now = s.play(now, tt.usual, 5*time.Second)
			s.closed = 0
			s.play(now, tt.usual, 5*time.Second)
			is.Equal(s.closed, 0)
		})
	}
}

// Connections are accepted while a lag has another cause: the process was paused once, its host
// is slow under the usual load, or many connections come that it can serve.
func TestNoSurge(t *testing.T) {
	tests := []struct {
		name string
		play func(s *server, now time.Time)
	}{
		{"a pause of two seconds", func(s *server, now time.Time) {
			s.guard.Measure(now.Add(2*time.Second), 2*time.Second)
			s.play(now.Add(2050*time.Millisecond), 50, 10*time.Second)
		}},
		{"a slow host under the usual load", func(s *server, now time.Time) {
			s.work *= 4
			s.play(now, 50, 10*time.Second)
		}},
		{"a start under load", func(s *server, now time.Time) {
			s.guard, s.work = New(now), 15*time.Millisecond
			s.play(now, 100, 9*time.Second)
		}},
		{"three times the connections, which it can serve", func(s *server, now time.Time) { s.play(now, 150, 10*time.Second) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newServer(5 * time.Millisecond)
			tt.play(s, s.play(t0, 50, 60*time.Second))
			is.Equal(s.closed, 0)
		})
	}
}
