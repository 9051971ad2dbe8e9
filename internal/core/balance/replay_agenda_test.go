package balance

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/occupancy"
)

// agendaItem is something that happens in a replay.
type agendaItem struct {
	at  time.Time
	seq int
	do  func()
}

// agenda is a heap of what is to come.
type agenda struct {
	items []agendaItem
	seq   int
}

func (a *agenda) Len() int { return len(a.items) }

func (a *agenda) Less(i, j int) bool {
	if !a.items[i].at.Equal(a.items[j].at) {
		return a.items[i].at.Before(a.items[j].at)
	}
	return a.items[i].seq < a.items[j].seq
}

func (a *agenda) Swap(i, j int) { a.items[i], a.items[j] = a.items[j], a.items[i] }

// Push adds an item.
func (a *agenda) Push(x any) { a.items = append(a.items, x.(agendaItem)) }

// Pop takes the last item away.
func (a *agenda) Pop() any {
	last := a.items[len(a.items)-1]
	a.items = a.items[:len(a.items)-1]
	return last
}

// plus and minus work out a sum of words.
func plus(a, b occupancy.Load) occupancy.Load { return combine(a, b, 1) }

func minus(a, b occupancy.Load) occupancy.Load { return combine(a, b, -1) }

func combine(a, b occupancy.Load, sign int) occupancy.Load {
	f := float64(sign)
	return occupancy.Load{
		Requests: a.Requests + sign*b.Requests, Tight: a.Tight + sign*b.Tight, Unread: a.Unread + sign*b.Unread,
		Tokens: a.Tokens + sign*b.Tokens, Overdue: a.Overdue + sign*b.Overdue, OverdueMs: a.OverdueMs + f*b.OverdueMs,
		Tempos: a.Tempos + sign*b.Tempos, Tempo: a.Tempo + f*b.Tempo,
		Strains: a.Strains + sign*b.Strains, Strain: a.Strain + f*b.Strain,
		Longests: a.Longests + sign*b.Longests, Longest: a.Longest + f*b.Longest, Gone: a.Gone + sign*b.Gone, Closed: a.Closed + sign*b.Closed,
		Limited: a.Limited + sign*b.Limited, LimitLog: a.LimitLog + f*b.LimitLog, Free: a.Free + sign*b.Free,
		Failing: a.Failing + sign*b.Failing, Served: a.Served + sign*b.Served,
	}
}
