package agentd

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
	"github.com/gladegauge/gladegauge/internal/edge/suspects"
	"github.com/gladegauge/gladegauge/internal/edge/upstream"
)

// crashCounter counts the crashes of the agent's upstream. It belongs to the control
// loop.
type crashCounter struct {
	n uint64
	// crashed is true from a crash until the next response of the upstream.
	crashed bool
}

// recordCrash records that nothing listens at the upstream's address. Each run that a
// crash interrupted reports it, so repeated reports count as one crash.
func (c *crashCounter) recordCrash() {
	if !c.crashed {
		c.crashed = true
		c.n++
	}
}

// recordResponse records that the upstream has responded.
func (c *crashCounter) recordResponse() { c.crashed = false }

// crashedIncarnation returns the hash that identifies the upstream incarnation if it crashed
// during the run. It returns 0 if the upstream still listens, or if the agent itself
// stopped the run.
func (x *session) crashedIncarnation(ctx context.Context, end upstream.End) uint64 {
	if end.Result != upstream.Aborted || x.stopping || x.retryElsewhere || x.entryGone {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, suspects.ProbeTimeout)
	defer cancel()
	if !x.s.upstream.RefusesConnections(ctx) {
		return 0
	}
	var key uint64
	x.s.loop.DoWithoutCancel(func(time.Time) {
		x.s.crashes.recordCrash()
		key = rendezvous.Mix(xxhash.Sum64String(x.s.incarnation), x.s.crashes.n)
	})
	return key
}
