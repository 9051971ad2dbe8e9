package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/notice"
)

// A gateway that is no holder borrows the turns that a holder does not use. The holder
// does not use the turns that it lends, so the total stays within its share.
func TestLend(t *testing.T) {
	is := is.New(t)
	holder, other := limitedTable(1, 2, 1), limitedTable(1, 2, 1)
	other.holds = func(time.Time, uint64, int) bool { return false }
	taken, lent := 0, 0
	for ms := 0; ms < 20_000; ms += 10 {
		r := plainRequest(ms)
		if ms%20 == 0 {
			if _, ok := holder.Pick(at(ms), r); ok {
				taken++
			}
			continue
		}
		_, ok := other.Pick(at(ms), r)
		is.True(!ok)
		for _, l := range other.Borrowable(at(ms), r) {
			wait, ok := holder.Lend(at(ms), l.IncarnationKey(), false)
			if !ok {
				is.True(wait > 0)
				other.BorrowRefused(at(ms), l.Instance, wait)
				continue
			}
			c, ok := other.PickBorrowed(at(ms), r, l.Instance)
			is.True(ok && c.Turn && c.Borrowed)
			other.Ended(at(ms), c, Completed, Answer{})
			lent++
		}
	}
	t.Logf("%d were taken, %d lent", taken, lent)
	is.True(lent > 0)
	is.True(taken+lent >= 7 && taken+lent <= 10) // half of the limit, for one of two holders
}

// Lists when a turn may be borrowed, and from which upstreams.
func TestBorrowable(t *testing.T) {
	tests := []struct {
		name   string
		change func(table *Table, in Instance) Request
		loans  int
	}{
		{"limited", func(*Table, Instance) Request { return plainRequest(1) }, 1},
		{"no limit", func(table *Table, in Instance) Request {
			table.Notice(at(2), in, notice.Notice{SentAt: at(1)})
			return plainRequest(1)
		}, 0},
		{"tried already", func(_ *Table, in Instance) Request {
			r := plainRequest(1)
			r.Exclude = []string{in.ID}
			return r
		}, 0},
		{"leaving", func(table *Table, in Instance) Request {
			table.Notice(at(1), in, leaves)
			return plainRequest(1)
		}, 0},
		{"backing off", func(table *Table, in Instance) Request {
			table.Notice(at(1), in, backoffOf(time.Second))
			return plainRequest(1)
		}, 0},
		{"refused by a holder a moment ago", func(table *Table, in Instance) Request {
			table.BorrowRefused(at(1), in, time.Second)
			return plainRequest(1)
		}, 0},
		{"another pool", func(*Table, Instance) Request { return Request{Pool: "q"} }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := limitedTable(1, 9, 1)
			r := tt.change(table, table.pools["p"].members[0].Instance)
			is.Equal(len(table.Borrowable(at(10), r)), tt.loans)
		})
	}
	is := is.New(t)
	is.Equal(len(limitedTable(9, 9, 1).Borrowable(at(10), plainRequest(7))), maxBorrowRequests)
	table := tableWith(1)
	_, ok := table.Lend(at(10), table.pools["p"].members[0].incarnation, false)
	is.True(!ok) // no rate limit, so no turns
	_, ok = table.Lend(at(10), 12345, false)
	is.True(!ok)
}
