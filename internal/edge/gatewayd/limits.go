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

// awaitLimits takes the bounds of callers' connections from the first
// configuration. Later ones hold from the next start on.
func (s *Server) awaitLimits(ctx context.Context, server *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, limitsPatience)
	defer cancel()
	if err := program.WaitUntil(ctx, func() bool { return s.view.Load().Table != nil }); err != nil {
		s.log.Warn().Dur("waited", limitsPatience).Msg("no configuration yet; callers' connections get the default bounds")
		return
	}
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
