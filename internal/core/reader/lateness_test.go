package reader

import "time"

// lateness describes a gateway that received a configuration too late.
type lateness struct {
	gateway int
	version int
	// since is when the configuration existed and the gateway could reach the store; by
	// is how much later the gateway received it.
	since time.Duration
	by    time.Duration
}

// worst returns the largest delay with which a gateway received a configuration that it
// could have requested. The delay counts from the moment at which the configuration
// existed and the gateway could reach the store, with no other fault affecting it.
// Periods that ended before the bound had passed do not count.
func (w *simulation) worst(bound time.Duration) lateness {
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

// span is a period of simulated time.
type span struct{ from, until time.Duration }

// clear returns the periods in which no fault affected the gateway. A watch that is
// pending when the store compacts its history receives nothing until it ends.
func (w *simulation) clear(m *member) []span {
	spans := []span{{0, w.now.Sub(t0)}}
	for _, t := range w.faults {
		if !t.affects(m.i) {
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

// endOf returns when the fault has ended for all gateways that it affected.
func (w *simulation) endOf(t fault) time.Duration {
	if t.kind == compacted {
		return t.until + w.bounds.DefaultWatchWait()
	}
	return t.until
}

// callsIn returns the number of calls to the store in the period.
func (w *simulation) callsIn(s span) int {
	n := 0
	for _, at := range w.calls {
		if at >= s.from && at < s.until {
			n++
		}
	}
	return n
}
