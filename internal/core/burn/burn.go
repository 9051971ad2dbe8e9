// Package burn counts how fast service levels use up their error budget.
//
// Each entry keeps a count of requests and misses by class, organisation and
// minute for an hour, and by hour for one day. Cells of all entries are merged by adding them up, so no
// entry needs to know of another.
//
// # Usage
//
//	l.Add(now, "counter", "reef-telecom", burn.Miss)
//	report := burn.NewReport(cells, classes, now)
package burn

import (
	"cmp"
	"slices"
	"time"
)

// Keep is how long cells are kept.
const Keep = 24 * time.Hour

// fine is how long minutes are kept apart; after it they are joined by hours.
const fine = time.Hour

const minutesPerHour = 60

// maxCells bounds the memory of one entry.
const maxCells = 30000

// Others stands for organisations whose cells were joined to save memory.
const Others = "(others)"

// Kind is what became of a request.
type Kind int

// Kinds of outcome.
const (
	Hit Kind = iota + 1
	Miss
	Refusal
)

// Key names one cell.
type Key struct {
	Class        string
	Organisation string
	// Minute is the number of minutes since 1970.
	Minute int64
}

// Cell counts the requests of one class, organisation and minute. Refused
// requests are missed ones too.
type Cell struct {
	Key
	Total   uint64
	Missed  uint64
	Refused uint64
}

// Ledger holds the cells of one entry. It is not safe for concurrent use.
type Ledger struct {
	cells  map[Key]*Cell
	minute int64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{cells: make(map[Key]*Cell)}
}

// Minute returns the number of minutes since 1970.
func Minute(now time.Time) int64 { return now.Unix() / 60 }

// Add counts one request.
func (l *Ledger) Add(now time.Time, class, organisation string, k Kind) {
	minute := Minute(now)
	if minute > l.minute {
		l.minute = minute
		l.tidy()
	}
	add := Cell{Key: Key{Class: class, Organisation: organisation, Minute: minute}, Total: 1}
	if k != Hit {
		add.Missed = 1
	}
	if k == Refusal {
		add.Refused = 1
	}
	l.merge(add)
}

func (l *Ledger) merge(add Cell) {
	c, ok := l.cells[add.Key]
	if !ok {
		c = &Cell{Key: add.Key}
		l.cells[add.Key] = c
	}
	c.Total += add.Total
	c.Missed += add.Missed
	c.Refused += add.Refused
}

// tidy drops what is older than a day, joins the minutes of past hours, and
// joins the organisations of the oldest time while there are too many cells.
func (l *Ledger) tidy() {
	day := l.minute - int64(Keep/time.Minute)
	hour := l.minute - int64(fine/time.Minute)
	l.rewrite(func(k Key) (Key, bool) {
		if k.Minute < hour {
			k.Minute -= k.Minute % minutesPerHour
		}
		return k, k.Minute >= day
	})
	for len(l.cells) > maxCells {
		oldest, ok := l.oldestNamed()
		if !ok {
			return
		}
		l.rewrite(func(k Key) (Key, bool) {
			if k.Minute == oldest {
				k.Organisation = Others
			}
			return k, true
		})
	}
}

// rewrite moves each cell to another key, or drops it.
func (l *Ledger) rewrite(move func(Key) (Key, bool)) {
	for key, c := range l.cells {
		next, keep := move(key)
		if next == key && keep {
			continue
		}
		delete(l.cells, key)
		if keep {
			moved := *c
			moved.Key = next
			l.merge(moved)
		}
	}
}

// oldestNamed is the oldest time with organisations of their own.
func (l *Ledger) oldestNamed() (int64, bool) {
	oldest, found := l.minute, false
	for key := range l.cells {
		if key.Organisation != Others && key.Minute < l.minute {
			oldest, found = min(oldest, key.Minute), true
		}
	}
	return oldest, found
}

// Cells returns all cells in order.
func (l *Ledger) Cells() []Cell {
	cells := make([]Cell, 0, len(l.cells))
	for _, c := range l.cells {
		cells = append(cells, *c)
	}
	slices.SortFunc(cells, compareCells)
	return cells
}

func compareCells(a, b Cell) int {
	return cmp.Or(
		cmp.Compare(a.Class, b.Class),
		cmp.Compare(a.Organisation, b.Organisation),
		cmp.Compare(a.Minute, b.Minute),
	)
}
