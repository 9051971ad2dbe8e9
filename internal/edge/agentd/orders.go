package agentd

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/placement"
	"github.com/gladegauge/gladegauge/internal/edge/loop"
	"github.com/gladegauge/gladegauge/internal/edge/upstream"
)

// Interval of the reconciliation, and the timeout of one pass.
const (
	reconcileInterval = 2 * time.Second
	orderTimeout      = time.Minute
)

// plan is the desired state of the upstream, the fencing token of orders, and whether the
// start delay of this agent has not passed yet.
type plan struct {
	desired placement.State
	fence   string
	delayed bool
}

// reconcileLoop reconciles what the upstream has loaded with the configuration. Plain
// services load nothing.
func (s *Server) reconcileLoop(ctx context.Context) error {
	for loop.Sleep(ctx, reconcileInterval) {
		p, ok := s.plan()
		if !ok || p.delayed {
			continue
		}
		if err := s.reconcile(ctx, p); err != nil {
			s.metrics.Orders.WithLabelValues("failed").Inc()
			if errors.Is(err, upstream.ErrFenced) {
				s.o.Log.Error().Err(err).Msg("upstream rejected an order")
			}
		}
	}
	return nil
}

// plan returns the current plan, or false if there is nothing to reconcile.
func (s *Server) plan() (plan, bool) {
	var p plan
	ok := false
	s.loop.DoWithoutCancel(func(now time.Time) {
		cfg := s.sync.Config()
		if cfg == nil || s.leaving.Load() {
			return
		}
		pool, found := cfg.Pool(s.o.Pool)
		if !found || pool.Kind != config.KindModel {
			return
		}
		ok = true
		delay := placement.StartDelay(s.sync.Members(), s.o.Pool, s.o.ID)
		p = plan{
			desired: placement.Desired(pool),
			fence:   placement.Fence(cfg.Revision(), s.startedAt),
			delayed: now.Sub(s.configuredAt) < delay,
		}
	})
	return p, ok
}

// reconcile issues orders for the differences, one at a time.
func (s *Server) reconcile(ctx context.Context, p plan) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	actual, err := s.upstream.State(ctx)
	if err != nil {
		return err
	}
	for _, o := range placement.Orders(p.desired, actual) {
		if err := s.upstream.Order(ctx, o, p.fence); err != nil {
			return err
		}
		s.metrics.Orders.WithLabelValues("done").Inc()
		s.o.Log.Info().Str("order", string(o.Kind)).Str("name", o.Name).Msg("order executed by the upstream")
	}
	return nil
}
