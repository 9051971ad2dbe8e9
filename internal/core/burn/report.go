package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Windows are the time windows of the reported burn rates, the shortest first.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 24 * time.Hour}

// Rate is the burn rate over one window. At a Burn of 1 the error budget of the
// window is exhausted exactly at its end.
type Rate struct {
	Window  time.Duration
	Total   uint64
	Missed  uint64
	Refused uint64
	Burn    float64
}

// Line is the report for one class, or for one organisation within the class if
// Organisation is set. Its field names, like those of Rate, are keys of JSON output.
type Line struct {
	Class        string
	Organisation string
	Objective    float64
	Rates        []Rate
	// Left is the remaining fraction of the error budget of the longest window.
	Left float64
	// UsedUpIn is the time until the budget is exhausted at the burn rate of the last
	// hour. It is 0 if the rate is 0 or the budget is already exhausted.
	UsedUpIn time.Duration
}

// Merge adds up the cells of several entries.
func Merge(entries ...[]Cell) []Cell {
	sum := make(map[Key]*Cell)
	for _, cells := range entries {
		for _, c := range cells {
			cell, ok := sum[c.Key]
			if !ok {
				cell = &Cell{Key: c.Key}
				sum[c.Key] = cell
			}
			cell.Total += c.Total
			cell.Missed += c.Missed
			cell.Refused += c.Refused
		}
	}
	out := make([]Cell, 0, len(sum))
	for _, c := range sum {
		out = append(out, *c)
	}
	slices.SortFunc(out, compareCells)
	return out
}

// Report returns a line for each class and, if organisations is true, one for each
// organisation with requests of the class. objectives maps classes to their
// objectives; classes without one are omitted.
func Report(now time.Time, cells []Cell, objectives map[string]float64, organisations bool) []Line {
	type name struct{ class, organisation string }
	groups := make(map[name][]Cell)
	for _, c := range cells {
		if objectives[c.Class] == 0 {
			continue
		}
		groups[name{c.Class, ""}] = append(groups[name{c.Class, ""}], c)
		if organisations {
			n := name{c.Class, c.Organisation}
			groups[n] = append(groups[n], c)
		}
	}
	names := slices.SortedFunc(maps.Keys(groups), func(a, b name) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.organisation, b.organisation))
	})
	lines := make([]Line, 0, len(names))
	for _, n := range names {
		lines = append(lines, newLine(now, n.class, n.organisation, objectives[n.class], groups[n]))
	}
	return lines
}

func newLine(now time.Time, class, organisation string, objective float64, cells []Cell) Line {
	l := Line{Class: class, Organisation: organisation, Objective: objective}
	for _, w := range Windows {
		l.Rates = append(l.Rates, rate(now, w, objective, cells))
	}
	day := l.Rates[len(l.Rates)-1]
	l.Left = 1 - day.Burn
	hour := l.Rates[1]
	if hour.Burn > 0 && l.Left > 0 {
		l.UsedUpIn = time.Duration(l.Left / hour.Burn * float64(day.Window))
	}
	return l
}

func rate(now time.Time, w time.Duration, objective float64, cells []Cell) Rate {
	r := Rate{Window: w}
	from := Minute(now.Add(-w))
	for _, c := range cells {
		if c.Minute > from {
			r.Total += c.Total
			r.Missed += c.Missed
			r.Refused += c.Refused
		}
	}
	if r.Total > 0 {
		r.Burn = float64(r.Missed) / float64(r.Total) / (1 - objective)
	}
	return r
}
