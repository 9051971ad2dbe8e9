package balance

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/occupancy"
)

// announceParts queues parts cached at the upstream for announcement to other gateways.
func (t *Table) announceParts(u *upstream, parts []occupancy.Part) {
	for _, p := range parts {
		p.Upstream = u.incarnation
		t.newParts = append(t.newParts, p)
	}
	if over := len(t.newParts) - occupancy.MaxPartsPerMessage; over > 0 {
		t.newParts = t.newParts[over:]
	}
}

// TakeNewParts returns the parts that have not been announced to other gateways yet, and
// clears them.
func (t *Table) TakeNewParts() []occupancy.Part {
	newParts := t.newParts
	t.newParts = nil
	return newParts
}

// AddPeerParts applies the parts that other gateways announced.
func (t *Table) AddPeerParts(now time.Time, parts []occupancy.Part) {
	if len(parts) == 0 {
		return
	}
	byIncarnation := make(map[uint64]*upstream, len(t.upstreams))
	for _, u := range t.upstreams {
		byIncarnation[u.incarnation] = u
	}
	for _, p := range parts {
		if u, ok := byIncarnation[p.Upstream]; ok {
			u.cache.put(now, p.Key, p.Tokens, p.Read)
			u.cache.evictExcess()
		}
	}
}

// expireBatches is the number of batches in which the cache models are expired.
const expireBatches = 8

// ExpireParts removes parts that are no longer assumed to be cached, for one batch of
// upstreams per call. Otherwise a gateway would hold, for each engine, all parts that its
// memory could ever have held.
func (t *Table) ExpireParts(now time.Time) {
	t.nextExpireBatch = (t.nextExpireBatch + 1) % expireBatches
	for _, u := range t.upstreams {
		if u.hash%expireBatches == t.nextExpireBatch {
			u.cache.expire(now)
		}
	}
}
