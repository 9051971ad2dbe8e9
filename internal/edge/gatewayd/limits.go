package gatewayd

import (
	"context"
	"net/http"
	"time"

	"github.com/gladegauge/gladegauge/internal/edge/program"
)

// limitsPatience is how long the start waits for a configuration, which names
// the bounds of callers' connections, before these are taken.
const limitsPatience = 2 * time.Second

// proofPatience is how long it waits then for the proof that the configuration is the
// newest: a few calls to the store or to another gateway. Callers give a connection
// that is not read up after a second.
const proofPatience = 400 * time.Millisecond

// awaitLimits takes the bounds of callers' connections from the first
// configuration. Later ones hold from the next start on. It waits a moment longer for
// the proof that the configuration is the newest: callers whose connections wait to be
// accepted are served then, and would be told to come back before.
func (s *Server) awaitLimits(ctx context.Context, server *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, limitsPatience)
	defer cancel()
	if err := program.WaitUntil(ctx, func() bool { return s.view.Load().Table != nil }); err != nil {
		s.log.Warn().Dur("waited", limitsPatience).Msg("no configuration yet; callers' connections get the default bounds")
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

// awaitProof waits until the configuration is proved to be the newest, for a moment.
func (s *Server) awaitProof(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, proofPatience)
	defer cancel()
	if err := program.WaitUntil(ctx, func() bool { return !s.view.Load().NewestAt.IsZero() }); err != nil {
		s.log.Warn().Dur("waited", proofPatience).Msg("no proof yet that the configuration is the newest; callers are accepted all the same")
	}
}
