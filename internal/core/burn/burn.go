// Package burn computes the burn rates of the error budgets of service level
// objectives.
//
// Each entry counts requests and misses by class and organisation: by minute for one
// hour, and by hour for one day. The cells of all entries are merged by addition, so
// entries need not know of each other.
//
// # Usage
//
//	l.Add(now, "counter", "reef-telecom", burn.Miss)
//	lines := burn.Report(now, burn.Merge(cells...), objectives, true)
package burn

import (
	"cmp"
	"slices"
	"time"
)

// Retention is the time for which cells are kept.
const Retention = 24 * time.Hour

// minuteRetention is the age after which the cells of minutes are merged by hour.
const minuteRetention = time.Hour

const minutesPerHour = 60

// maxCells is the limit of cells of a ledger, which bounds the memory of an entry.
const maxCells = 30000

// Others is the organisation of cells that were merged to save memory.
const Others = "(others)"

// Kind is the outcome of a request with respect to its objective.
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
	// Minute is the number of minutes since the Unix epoch.
	Minute int64
}

// Cell counts the requests of one class, organisation and minute. Missed includes
// the refused requests.
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

// Minute returns the number of minutes since the Unix epoch.
func Minute(now time.Time) int64 { return now.Unix() / 60 }

// Add counts one request.
func (l *Ledger) Add(now time.Time, class, organisation string, k Kind) {
	minute := Minute(now)
	if minute > l.minute {
		l.minute = minute
		l.compact()
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

// compact deletes cells older than Retention and merges cells older than
// minuteRetention by hour. While there are more than maxCells cells, it merges the
// organisations of the oldest minute.
func (l *Ledger) compact() {
	day := l.minute - int64(Retention/time.Minute)
	hour := l.minute - int64(minuteRetention/time.Minute)
	l.rekey(func(k Key) (Key, bool) {
		if k.Minute < hour {
			k.Minute -= k.Minute % minutesPerHour
		}
		return k, k.Minute >= day
	})
	for len(l.cells) > maxCells {
		oldest, ok := l.oldestWithOrganisations()
		if !ok {
			return
		}
		l.rekey(func(k Key) (Key, bool) {
			if k.Minute == oldest {
				k.Organisation = Others
			}
			return k, true
		})
	}
}

// rekey applies move to the key of each cell. It merges the cell into the new key, or
// deletes it if move returns false.
func (l *Ledger) rekey(move func(Key) (Key, bool)) {
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

// oldestWithOrganisations returns the oldest past minute with cells that are not
// merged into Others.
func (l *Ledger) oldestWithOrganisations() (int64, bool) {
	oldest, found := l.minute, false
	for key := range l.cells {
		if key.Organisation != Others && key.Minute < l.minute {
			oldest, found = min(oldest, key.Minute), true
		}
	}
	return oldest, found
}

// Cells returns all cells, ordered by class, organisation and minute.
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
