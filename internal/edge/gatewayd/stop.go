package gatewayd

import (
	"context"
	"time"

	"github.com/gladegauge/gladegauge/internal/edge/program"
)

// stopReserve is the part of the time until the kill that is reserved for an orderly exit.
const stopReserve = 400 * time.Millisecond

// StopTimes are the phases of a planned shutdown, measured from its beginning.
type StopTimes struct {
	// MinDrain is the least time that the gateway keeps serving after it is no longer
	// ready, because callers may still be routed to it.
	MinDrain time.Duration
	// RejectAfter is when the gateway starts to refuse new requests, so that those in
	// progress finish in time.
	RejectAfter time.Duration
	// QuietPeriod is the time without new requests after which the process may exit.
	QuietPeriod time.Duration
}

// DefaultStopTimes suit a load balancer that probes every second and removes a host after
// two failed probes, and upstreams that process a request within a few seconds.
func DefaultStopTimes() StopTimes {
	return StopTimes{
		MinDrain:    2500 * time.Millisecond,
		RejectAfter: 3 * time.Second,
		QuietPeriod: 300 * time.Millisecond,
	}
}

// drain signals that the gateway is not ready, and returns when no request is in progress,
// or shortly before the process would be killed.
func (s *Server) drain(ctx context.Context) {
	stop := s.o.Stop
	began := s.now()
	s.stoppingAt.Store(&began)
	var stopWithin time.Duration
	s.control.DoWithoutCancel(func(time.Time) {
		s.fleet.Leave()
		stopWithin = s.operatorBounds.StopWithin
	})
	s.log.Info().Int("in_progress", s.active.n()).Msg("planned stop: not ready for new callers")
	limit := max(stop.MinDrain, stopWithin-stopReserve)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := program.WaitUntil(ctx, func() bool {
		now := s.now()
		took := now.Sub(began)
		quiet := took >= stop.RejectAfter || now.Sub(time.Unix(0, s.lastRequestAt.Load())) >= stop.QuietPeriod
		return took >= stop.MinDrain && quiet && s.active.n() == 0
	})
	if err != nil {
		s.log.Warn().Int("cut", s.active.n()).Dur("after", limit).Msg("planned stop: out of time")
	}
}
