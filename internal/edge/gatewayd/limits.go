package gatewayd

import (
	"context"
	"net/http"
	"time"

	"github.com/gladegauge/gladegauge/internal/edge/program"
)

// configWaitTimeout is how long the start waits for a configuration, which names the
// limits of callers' connections, before it uses the default limits.
const configWaitTimeout = 2 * time.Second

// proofWaitTimeout is how long the start then waits for the proof that the configuration
// is the newest. It is enough for a few calls to the store or to another gateway. Callers
// give up on a connection that is not read after a second.
const proofWaitTimeout = 400 * time.Millisecond

// awaitLimits applies the limits of callers' connections from the first configuration.
// Later ones take effect at the next start. It then waits a little for the proof that the
// configuration is the newest: without it, callers whose connections wait to be accepted
// would be told to retry later.
func (s *Server) awaitLimits(ctx context.Context, server *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, configWaitTimeout)
	defer cancel()
	if err := program.WaitUntil(ctx, func() bool { return s.view.Load().Table != nil }); err != nil {
		s.log.Warn().Dur("waited", configWaitTimeout).Msg("no configuration yet; callers' connections get the default limits")
		return
	}
	s.awaitProof(ctx)
	limits := s.view.Load().Table.Limits
	if limits.HeaderBytes > 0 {
		server.MaxHeaderBytes = limits.HeaderBytes
	}
	if limits.HeaderTimeout > 0 {
		server.ReadHeaderTimeout = limits.HeaderTimeout
	}
	if limits.IdleTimeout > 0 {
		server.IdleTimeout = limits.IdleTimeout
	}
}

// awaitProof waits until the configuration is proved to be the newest, or until the
// timeout.
func (s *Server) awaitProof(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, proofWaitTimeout)
	defer cancel()
	if err := program.WaitUntil(ctx, func() bool { return !s.view.Load().NewestAt.IsZero() }); err != nil {
		s.log.Warn().Dur("waited", proofWaitTimeout).Msg("no proof yet that the configuration is the newest; accepting callers anyway")
	}
}
