package gatewayd

import (
	"context"
	"time"

	"github.com/gladegauge/gladegauge/internal/edge/program"
)

// stopReserve is kept of the time until the kill to end in order.
const stopReserve = 400 * time.Millisecond

// StopTimes are the times of a planned stop, from its beginning.
type StopTimes struct {
	// LeaveAfter is how long callers may still come after readiness is off.
	LeaveAfter time.Duration
	// LastCallAfter is when requests are refused that still come, so that those
	// in progress end in time.
	LastCallAfter time.Duration
	// QuietFor is how long no request must have come before the process ends.
	QuietFor time.Duration
}

// DefaultStopTimes suit a balancer that asks every second and leaves a host out
// after two misses, and upstreams that work on a request for a few seconds.
func DefaultStopTimes() StopTimes {
	return StopTimes{
		LeaveAfter:    2500 * time.Millisecond,
		LastCallAfter: 3 * time.Second,
		QuietFor:      300 * time.Millisecond,
	}
}

// drain ends new work and returns when nothing is in progress, or shortly
// before the process would be killed.
func (s *Server) drain(ctx context.Context) {
	stop := s.o.Stop
	began := s.now()
	s.stoppingAt.Store(&began)
	var stopWithin time.Duration
	s.control.DoWithoutCancel(func(time.Time) {
		s.fleet.Leave()
		stopWithin = s.promised.StopWithin
	})
	s.log.Info().Int64("in_progress", s.inFlight.Load()).Msg("planned stop: not ready for new callers")
	limit := max(stop.LeaveAfter, stopWithin-stopReserve)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := program.WaitUntil(ctx, func() bool {
		now := s.now()
		took := now.Sub(began)
		quiet := took >= stop.LastCallAfter || now.Sub(time.Unix(0, s.lastSeen.Load())) >= stop.QuietFor
		return took >= stop.LeaveAfter && quiet && s.inFlight.Load() == 0
	})
	if err != nil {
		s.log.Warn().Int64("cut", s.inFlight.Load()).Dur("after", limit).Msg("planned stop: out of time")
	}
}
