package balance

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/occupancy"
)

// tell notes parts that are kept at the upstream and that others may not know of.
func (t *Table) announceParts(u *upstream, parts []occupancy.Part) {
	for _, p := range parts {
		p.Upstream = u.incarnation
		t.newParts = append(t.newParts, p)
	}
	if over := len(t.newParts) - occupancy.NewsMost; over > 0 {
		t.newParts = t.newParts[over:]
	}
}

// News returns the parts that other gateways may not know of, once.
func (t *Table) News() []occupancy.Part {
	newParts := t.newParts
	t.newParts = nil
	return newParts
}

// OthersRead takes parts that other gateways told of.
func (t *Table) OthersRead(now time.Time, parts []occupancy.Part) {
	if len(parts) == 0 {
		return
	}
	byStart := make(map[uint64]*upstream, len(t.upstreams))
	for _, u := range t.upstreams {
		byStart[u.incarnation] = u
	}
	for _, p := range parts {
		if u, ok := byStart[p.Upstream]; ok {
			u.cache.put(now, p.Key, p.Tokens, p.Read)
			u.cache.evictExcess()
		}
	}
}

// forgetShare divides the upstreams whose pictures are looked through at a time.
const expireBatches = 8

// ForgetParts drops parts that no engine is believed to keep any more, of some upstreams
// at each call. A gateway would otherwise hold, of each engine, all that its memory can
// ever have kept.
func (t *Table) ForgetParts(now time.Time) {
	t.nextExpireBatch = (t.nextExpireBatch + 1) % expireBatches
	for _, u := range t.upstreams {
		if u.hash%expireBatches == t.nextExpireBatch {
			u.cache.expire(now)
		}
	}
}
