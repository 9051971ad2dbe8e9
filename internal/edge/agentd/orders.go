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

// Times of the comparison of what is loaded with what should be.
const (
	compareEvery = 2 * time.Second
	orderTimeout = time.Minute
)

// plan is what the upstream should have loaded, under which revision, and when
// this agent's turn to order comes.
type plan struct {
	wanted placement.State
	fence  string
	notYet bool
}

// orderLoop keeps what the upstream has loaded as the configuration says.
// Plain services load nothing.
func (s *Server) orderLoop(ctx context.Context) error {
	for loop.Pause(ctx, compareEvery) {
		p, ok := s.plan()
		if !ok || p.notYet {
			continue
		}
		if err := s.compare(ctx, p); err != nil {
			s.metrics.Orders.WithLabelValues("failed").Inc()
			if errors.Is(err, upstream.ErrFenced) {
				s.o.Log.Error().Err(err).Msg("the upstream takes orders from a later agent or revision")
			}
		}
	}
	return nil
}

// plan returns what should be loaded now.
func (s *Server) plan() (plan, bool) {
	var p plan
	ok := false
	s.loop.Must(func(now time.Time) {
		cfg := s.sync.Config()
		if cfg == nil || s.leaving.Load() {
			return
		}
		pool, found := cfg.Pool(s.o.Pool)
		if !found || pool.Kind != config.KindModel {
			return
		}
		ok = true
		turn := placement.StartDelay(s.sync.Members(), s.o.Pool, s.o.ID)
		p = plan{
			wanted: placement.Desired(pool),
			fence:  placement.Fence(cfg.Revision(), s.booted),
			notYet: now.Sub(s.configuredAt) < turn,
		}
	})
	return p, ok
}

// compare orders what differs, one order at a time.
func (s *Server) compare(ctx context.Context, p plan) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	actual, err := s.upstream.State(ctx)
	if err != nil {
		return err
	}
	for _, o := range placement.Orders(p.wanted, actual) {
		if err := s.upstream.Order(ctx, o, p.fence); err != nil {
			return err
		}
		s.metrics.Orders.WithLabelValues("done").Inc()
		s.o.Log.Info().Str("order", string(o.Kind)).Str("name", o.Name).Msg("upstream ordered")
	}
	return nil
}
