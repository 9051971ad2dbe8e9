package notice

import "time"

const (
	// keptFor is how long the word of a start counts that is not listed: entries lapse and
	// come back while the platform is away.
	keptFor = time.Hour
	// keptMost bounds the starts that are not listed and have said something. A release of
	// the largest pool goes through as many in some hours.
	keptMost = 4096
)

// Book keeps the states of starts that are not listed now, so that an entry that comes
// back does not take back what its upstream said. The zero value is empty. It is not safe
// for concurrent use.
type Book struct {
	kept map[uint64]page
}

// page is the state of one start, and when it was put down.
type page struct {
	state State
	at    time.Time
}

// Put keeps the state of a start, if it says anything. The oldest one goes if there are
// too many.
func (b *Book) Put(now time.Time, start uint64, s State) {
	if !s.Any(now) {
		return
	}
	if b.kept == nil {
		b.kept = make(map[uint64]page)
	}
	b.kept[start] = page{state: s, at: now}
	if len(b.kept) > keptMost {
		b.forget(now)
	}
}

// Get returns the state of a start, with what was put down of it.
func (b *Book) Get(now time.Time, start uint64) State {
	p, ok := b.kept[start]
	if !ok || now.Sub(p.at) > keptFor {
		return State{}
	}
	return p.state
}

// forget drops what counts no more, or the oldest.
func (b *Book) forget(now time.Time) {
	var oldest uint64
	first := now.Add(1)
	for start, p := range b.kept {
		if now.Sub(p.at) > keptFor {
			delete(b.kept, start)
			continue
		}
		if p.at.Before(first) {
			oldest, first = start, p.at
		}
	}
	if len(b.kept) > keptMost {
		delete(b.kept, oldest)
	}
}

// Closed is the starts that have said something of themselves, or whose limit others tell
// of, as they are at one moment.
// It never changes, so that requests may read it beside the control state.
type Closed map[uint64]State

// Has reports whether nothing may be sent to the start now.
func (c Closed) Has(now time.Time, start uint64) bool {
	s, ok := c[start]
	return ok && s.Closed(now)
}

// Limited reports whether the start has a limit now.
func (c Closed) Limited(now time.Time, start uint64) bool {
	s, ok := c[start]
	return ok && s.Limit(now).Named
}

// SaidLimited reports whether a limit of the start is spoken of.
func (c Closed) SaidLimited(start uint64) bool { return c[start].SaidLimited() }
