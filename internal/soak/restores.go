package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gladegauge/gladegauge/internal/edge/loop"
	"github.com/gladegauge/gladegauge/platform/standin"
)

// Times of a restore of the store from a backup.
const (
	// maxBackupPause is the maximum pause before the next backup, maxBackupAge the
	// maximum age of the backup when it is restored.
	maxBackupPause = 4 * time.Second
	maxBackupAge   = 2 * time.Second
	// maxOutage is the maximum time that the store is offline.
	maxOutage = 800 * time.Millisecond
	// After the restore, the operators write again within maxOperatorDelay and the
	// upstreams within maxUpstreamDelay. Entries that nobody renews expire after
	// entryExpiry.
	maxOperatorDelay = 200 * time.Millisecond
	maxUpstreamDelay = time.Second
	entryExpiry      = 2 * time.Second
)

// InjectRestores repeatedly restores the store from a backup, until the context ends. It
// has its own random number generator, so that the other faults of a seed stay the same.
func (h *Harness) InjectRestores(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 82)) //nolint:gosec // Seeded on purpose.
	for loop.Sleep(ctx, randomBelow(rng, maxBackupPause)) {
		h.store.Backup()
		if !loop.Sleep(ctx, randomBelow(rng, maxBackupAge)) {
			return
		}
		h.recordDuring("store restored from a backup", everyGateway, func() { h.restore(rng) })
	}
}

// restore restores the store once and lets its writers repeat the lost writes.
func (h *Harness) restore(rng *rand.Rand) {
	h.store.TakeOffline()
	time.Sleep(randomBelow(rng, maxOutage))
	h.store.Restore()
	time.Sleep(randomBelow(rng, maxOperatorDelay))
	h.store.ReplayLostWrites(standin.OperatorPrefix)
	h.store.ReplayLostRemovals(standin.OperatorPrefix)
	upstreamDelay := randomBelow(rng, maxUpstreamDelay)
	time.Sleep(upstreamDelay)
	h.store.ReplayLostWrites(standin.ReplicaPrefix)
	time.Sleep(entryExpiry - upstreamDelay)
	h.store.ReplayLostRemovals(standin.ReplicaPrefix)
}
