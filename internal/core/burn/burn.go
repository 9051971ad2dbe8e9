// Package burn counts how fast service levels use up their error budget.
//
// Each entry keeps a count of requests and misses by class, organisation and
// minute for one day. Cells of all entries are merged by adding them up, so no
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

// maxCells bounds the memory of one entry; the oldest minute goes first.
const maxCells = 100000

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
		l.forget(minute - int64(Keep/time.Minute))
	}
	key := Key{Class: class, Organisation: organisation, Minute: minute}
	c, ok := l.cells[key]
	if !ok {
		c = &Cell{Key: key}
		l.cells[key] = c
	}
	c.Total++
	if k != Hit {
		c.Missed++
	}
	if k == Refusal {
		c.Refused++
	}
}

// forget drops cells before a minute, and more if there are too many.
func (l *Ledger) forget(before int64) {
	for len(l.cells) > maxCells {
		l.drop(l.oldest() + 1)
	}
	l.drop(before)
}

func (l *Ledger) drop(before int64) {
	for key := range l.cells {
		if key.Minute < before {
			delete(l.cells, key)
		}
	}
}

func (l *Ledger) oldest() int64 {
	oldest := l.minute
	for key := range l.cells {
		oldest = min(oldest, key.Minute)
	}
	return oldest
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
