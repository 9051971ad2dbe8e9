package occupancy

import (
	"maps"
	"time"
)

// The load that this answers: a relay answers each word of its zone with the sum of all
// others. To add them all up anew each time takes it members times upstreams, a hundred
// and fifty times a second.
//
// So the sum is kept, and a word that comes or gets too old changes only what it tells of.

// rebuildEvery is how often the sum is made anew: sums of fractions gather rounding.
const rebuildEvery = time.Second

// words are what several gateways, or zones, told last, and the sum of it. The zero value
// is not usable.
type words struct {
	by  map[string]word
	sum Loads
	// rebuiltAt is when the sum was made anew last.
	rebuiltAt time.Time
}

// newWords returns none.
func newWords() *words { return &words{by: make(map[string]word), sum: make(Loads)} }

// take replaces the word of one.
func (w *words) take(now time.Time, from string, l Loads) {
	w.sum.remove(w.by[from].loads)
	w.by[from] = word{loads: l, at: now}
	w.sum.add(l)
}

// forget drops the words that are older than the time.
func (w *words) forget(now time.Time, keep time.Duration) {
	for from, told := range w.by {
		if now.Sub(told.at) > keep {
			w.sum.remove(told.loads)
			delete(w.by, from)
		}
	}
	if now.Sub(w.rebuiltAt) < rebuildEvery {
		return
	}
	w.rebuiltAt = now
	clear(w.sum)
	for _, told := range w.by {
		w.sum.add(told.loads)
	}
}

// without returns the sum of all but one, as a copy.
func (w *words) without(from string) Loads {
	sum := maps.Clone(w.sum)
	sum.remove(w.by[from].loads)
	return sum
}
