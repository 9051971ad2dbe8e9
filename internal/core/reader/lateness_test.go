package reader

import "time"

// lateness is a gateway that learned of a configuration too late.
type lateness struct {
	gateway int
	version int
	// since is from when on the configuration was there, and the gateway's way to the
	// store; by is how much later it learned.
	since time.Duration
	by    time.Duration
}

// worst returns the latest that a gateway learned of a configuration that it could have
// asked for, from the moment at which both were there: the configuration, and the way, with
// nothing else that befell the gateway. Those whose way was gone before the bound had passed
// do not count.
func (w *world) worst(bound time.Duration) lateness {
	var worst lateness
	for _, m := range w.list {
		for _, clear := range w.clear(m) {
			for n, d := range w.writes {
				since := max(clear.from, d)
				if since+bound > clear.until {
					continue
				}
				learned := clear.until
				if at, ok := m.learned[n+1]; ok {
					learned = at.Sub(t0)
				}
				if by := learned - since; by > worst.by {
					worst = lateness{m.i, n + 1, since, by}
				}
			}
		}
	}
	return worst
}

// span is some time.
type span struct{ from, until time.Duration }

// clear returns when nothing befell the gateway. A watch that waits when the store becomes
// deaf hears nothing until its end.
func (w *world) clear(m *member) []span {
	spans := []span{{0, w.now.Sub(t0)}}
	for _, t := range w.troubles {
		if !t.hits(m.i) {
			continue
		}
		var next []span
		for _, s := range spans {
			if s.from < t.from {
				next = append(next, span{s.from, min(s.until, t.from)})
			}
			if until := w.endOf(t); s.until > until {
				next = append(next, span{max(s.from, until), s.until})
			}
		}
		spans = next
	}
	return spans
}

// endOf is when the trouble has ended for all that it hit.
func (w *world) endOf(t trouble) time.Duration {
	if t.kind == deaf {
		return t.until + w.bounds.UsualWait()
	}
	return t.until
}

// callsIn is the number of calls to the store in the time.
func (w *world) callsIn(s span) int {
	n := 0
	for _, at := range w.calls {
		if at >= s.from && at < s.until {
			n++
		}
	}
	return n
}
