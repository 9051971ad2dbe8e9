package balance

import "time"

// minBackupOutputShare is the minimum share of the answer in all tokens of a request for
// which a backup is worthwhile. A backup copies every token over a link and protects the
// request while the answer is generated: a long prompt with a short answer costs much and
// is exposed only briefly.
const minBackupOutputShare = 0.35

// Backup is an engine that keeps a copy of a request's KV cache. The zero value means
// none.
type Backup struct {
	// ID is the ID of the engine.
	ID      string
	Address string
}

// Any reports whether there is a copy.
func (b Backup) Any() bool { return b.ID != "" }

// worthBackup reports whether a copy of the request's KV cache is worth its cost.
func (p *pool) worthBackup(r Request) bool {
	if p.engine == nil || !p.engine.Backups {
		return false
	}
	output := p.outputs.expected(r)
	return output >= minBackupOutputShare*(output+float64(r.Prompt.Tokens))
}

// backupFor returns the engine with the fewest requests apart from the chosen one. Engines
// with a rate limit are excluded, as continuing there takes a turn.
func backupFor(now time.Time, chosen *upstream, candidates []*upstream, r Request) Backup {
	var best *upstream
	var load float64
	for _, u := range candidates {
		if u == chosen || u.limit.Announced {
			continue
		}
		n := u.inFlight(now)
		if best == nil || n < load || (n == load && tie(r, u) > tie(r, best)) {
			best, load = u, n
		}
	}
	if best == nil {
		return Backup{}
	}
	return Backup{ID: best.ID, Address: best.Address}
}

// Continue counts the request at the engine that keeps its backup, where no prefill is
// needed. It returns false if that engine is gone, leaving, backing off, ejected, of another
// software version or in an evacuated availability zone, or if this gateway may not send it a
// request (maySend).
func (t *Table) Continue(now time.Time, r Request, b Backup) (Choice, bool) {
	u, ok := t.upstreams[b.ID]
	if !ok || !r.mayRunAt(u) || !u.present(now) || u.gone(now) || u.peersFoundGone(now) || u.ejected(now) {
		return Choice{}, false
	}
	p := t.pool(u.Pool)
	if !t.maySend(now, p, u, r.Least) {
		return Choice{}, false
	}
	c := t.evaluate(now, p, u, r, r.Prompt.chain(), p.baseline(now), false)
	c.Unread = 0
	t.commit(now, p, u, r, &c)
	return c, true
}
