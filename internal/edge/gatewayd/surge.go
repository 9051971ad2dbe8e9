package gatewayd

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/surge"
	"github.com/gladegauge/gladegauge/internal/edge/loop"
)

// lagInterval is the interval at which the lag of the process is measured.
const lagInterval = 100 * time.Millisecond

// callerGuard decides on callers' new connections. It is safe for concurrent use.
type callerGuard struct {
	mu    sync.Mutex
	guard *surge.Guard
}

// admit decides on a new connection.
func (g *callerGuard) admit(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.guard.Admit(now, rand.Float64()) //nolint:gosec // The choice needs no secret randomness.
}

// callerListener closes some of callers' new connections unread while the gateway cannot keep
// up with them.
type callerListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection that is to be served.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || l.server.guard.admit(l.server.now()) {
			return c, err //nolint:wrapcheck // A listener passes its errors on.
		}
		l.server.metrics.closedUnread.Inc()
		_ = c.Close() // Its caller is gone or finds it closed.
	}
}

// measureLag measures, until the context ends, by how much the control loop is late. In an
// availability zone without another gateway callers have nowhere else to go, and the lag is
// not taken into account.
func (s *Server) measureLag(ctx context.Context) error {
	for {
		due := s.now().Add(lagInterval)
		if !loop.Sleep(ctx, lagInterval) {
			return nil
		}
		alone := false
		s.control.DoWithoutCancel(func(now time.Time) { alone = s.fleet.ZoneSize(now) == 1 })
		now := s.now()
		lag := now.Sub(due)
		if alone {
			lag = 0
		}
		s.recordLag(now, lag)
	}
}

// recordLag records the lag, and logs when connections begin to be closed, and when that ends.
func (s *Server) recordLag(now time.Time, lag time.Duration) {
	s.guard.mu.Lock()
	defer s.guard.mu.Unlock()
	g := s.guard.guard
	before := g.Closed()
	g.Measure(now, lag)
	if after := g.Closed(); (before > 0) != (after > 0) {
		s.log.Info().Bool("closing", after > 0).Dur("lag", g.Lag()).Float64("per_second", g.Rate()).Float64("usual", g.Usual()).
			Msg("callers' new connections are closed unread")
	}
}
