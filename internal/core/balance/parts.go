package balance

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/occupancy"
)

// tell notes parts that are kept at the upstream and that others may not know of.
func (t *Table) tell(u *upstream, parts []occupancy.Part) {
	for _, p := range parts {
		p.Upstream = u.start
		t.news = append(t.news, p)
	}
	if over := len(t.news) - occupancy.MaxPartsPerMessage; over > 0 {
		t.news = t.news[over:]
	}
}

// News returns the parts that other gateways may not know of, once.
func (t *Table) News() []occupancy.Part {
	news := t.news
	t.news = nil
	return news
}

// OthersRead takes parts that other gateways told of.
func (t *Table) OthersRead(now time.Time, parts []occupancy.Part) {
	if len(parts) == 0 {
		return
	}
	byStart := make(map[uint64]*upstream, len(t.upstreams))
	for _, u := range t.upstreams {
		byStart[u.start] = u
	}
	for _, p := range parts {
		if u, ok := byStart[p.Upstream]; ok {
			u.cache.put(now, p.Key, p.Tokens, p.Read)
			u.cache.limitSize()
		}
	}
}

// forgetShare divides the upstreams whose pictures are looked through at a time.
const forgetShare = 8

// ForgetParts drops parts that no engine is believed to keep any more, of some upstreams
// at each call. A gateway would otherwise hold, of each engine, all that its memory can
// ever have kept.
func (t *Table) ForgetParts(now time.Time) {
	t.forgetTurn = (t.forgetTurn + 1) % forgetShare
	for _, u := range t.upstreams {
		if u.hash%forgetShare == t.forgetTurn {
			u.cache.forget(now)
		}
	}
}
