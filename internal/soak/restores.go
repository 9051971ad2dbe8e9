package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gladegauge/gladegauge/internal/edge/loop"
	"github.com/gladegauge/gladegauge/platform/standin"
)

// Times of a store that comes back from a copy of itself.
const (
	// restoreGap is the longest pause before the next copy is made, copyAge the longest time
	// for which it is not used.
	restoreGap = 4 * time.Second
	copyAge    = 2 * time.Second
	// awayMost is how long the store may be away.
	awayMost = 800 * time.Millisecond
	// The operators write again within operatorsAgain of its return, upstreams within
	// upstreamsAgain; entries that nobody renews are gone after lapse.
	operatorsAgain = 200 * time.Millisecond
	upstreamsAgain = time.Second
	lapse          = 2 * time.Second
)

// Restore lets the store come back from a copy of itself now and then, until the context
// ends. It draws numbers of its own: a seed plays the same faults beside it.
func (w *World) Restore(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 82)) //nolint:gosec // Seeded on purpose.
	for loop.Sleep(ctx, upTo(rng, restoreGap)) {
		w.store.Backup()
		if !loop.Sleep(ctx, upTo(rng, copyAge)) {
			return
		}
		w.during("store comes back from a copy", everyGateway, func() { w.restore(rng) })
	}
}

// restore lets the store come back once, and all that was lost be written again.
func (w *World) restore(rng *rand.Rand) {
	w.store.TakeOffline()
	time.Sleep(upTo(rng, awayMost))
	w.store.Restore()
	time.Sleep(upTo(rng, operatorsAgain))
	w.store.ReplayLostWrites(standin.OperatorPrefix)
	w.store.ReplayLostRemovals(standin.OperatorPrefix)
	again := upTo(rng, upstreamsAgain)
	time.Sleep(again)
	w.store.ReplayLostWrites(standin.ReplicaPrefix)
	time.Sleep(lapse - again)
	w.store.ReplayLostRemovals(standin.ReplicaPrefix)
}
