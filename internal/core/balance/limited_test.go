package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/notice"
	"github.com/gladegauge/gladegauge/internal/core/occupancy"
	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// limitOf names a limit in the answer to a request that was sent at the millisecond.
func limitOf(sent int, perSecond float64) notice.Notice {
	return notice.Notice{Limit: notice.Limit{Named: true, PerSecond: perSecond}, SentAt: at(sent)}
}

// limitedTable has n upstreams that each named the limit to this one of so many gateways.
func limitedTable(n, gateways int, perSecond float64) *Table {
	table := tableWith(n)
	table.SetLimitBounds(LimitBounds{Window: limitWindow, Overrun: limitOverrun, Slack: limitSlack}, func() int { return gateways })
	for _, u := range table.pools["p"].members {
		table.Notice(t0, u.Instance, limitOf(-1, perSecond))
	}
	return table
}

// taken is the number of requests that the pool takes in the time, one asked each 10 ms.
func taken(table *Table, from, to int, least bool) int {
	n := 0
	for ms := from; ms < to; ms += 10 {
		r := plainRequest(ms)
		r.Least = least
		if c, ok := table.Pick(at(ms), r); ok {
			table.Ended(at(ms), c, Completed, Answer{})
			n++
		}
	}
	return n
}

// A gateway takes its part of a limit, and nothing of one that others hold. Nothing is
// saved up but a few turns, however long it has no callers.
func TestTurns(t *testing.T) {
	tests := []struct {
		name      string
		gateways  int
		perSecond float64
		holds     bool
		// from and to are when callers come, in milliseconds; so many are taken.
		from, to    int
		least, most int
	}{
		{"alone", 1, 1, true, 0, 20_000, 17, 19},
		{"one of two", 2, 1, true, 0, 20_000, 8, 10},
		{"one of five holders of many", 800, 1, true, 0, 20_000, 3, 4},
		{"no holder", 800, 1, false, 0, 20_000, 0, 0},
		{"a high limit", 4, 50, true, 0, 4_000, 42, 50},
		{"a limit that binds nobody", 1, 1e12, true, 0, 4_000, 400, 400},
		{"after an hour without callers", 2, 1, true, 3_600_000, 3_604_000, 2, 5},
		{"none at all: somebody must hear when it ends", 1, 0, true, 0, 20_000, 4, 8},
		{"next to none", 800, 0.001, true, 0, 20_000, 1, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := limitedTable(1, tt.gateways, tt.perSecond)
			table.holds = func(time.Time, uint64, int) bool { return tt.holds }
			n := taken(table, tt.from, tt.to, false)
			t.Logf("%d were taken", n)
			is.True(n >= tt.least && n <= tt.most)
		})
	}
}

// What a limit that rises, falls, ends or comes again does, and another start of the
// upstream: it has named nothing.
func TestLimitChanges(t *testing.T) {
	tests := []struct {
		name   string
		change func(table *Table, in Instance)
		// least and most are how many of 200 requests are taken in the two seconds after
		// the change, which comes after ten seconds.
		least, most int
	}{
		{"it stays", func(*Table, Instance) {}, 1, 3},
		{"it rises", func(table *Table, in Instance) { table.Notice(at(10_000), in, limitOf(9_000, 20)) }, 33, 47},
		{"it falls", func(table *Table, in Instance) { table.Notice(at(10_000), in, limitOf(9_000, 0.1)) }, 0, 1},
		{"it ends", func(table *Table, in Instance) { table.Notice(at(10_000), in, notice.Notice{SentAt: at(9_000)}) }, 200, 200},
		{"a late answer of the time before it", func(table *Table, in Instance) { table.Notice(at(10_000), in, notice.Notice{SentAt: at(-5)}) }, 1, 3},
		{"its entry lapses and comes back", func(table *Table, in Instance) {
			table.SetInstances(at(10_000), nil)
			table.SetInstances(at(10_000), []Instance{in})
		}, 1, 4},
		{"another start", func(table *Table, in Instance) {
			in.Born = 7
			table.SetInstances(at(10_000), []Instance{in})
		}, 200, 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := limitedTable(1, 1, 1)
			in := table.pools["p"].members[0].Instance
			in.Born = 6
			table.SetInstances(t0, []Instance{in})
			table.Notice(t0, in, limitOf(-1, 1))
			taken(table, 0, 10_000, false)
			tt.change(table, in)
			n := taken(table, 10_000, 12_000, false)
			t.Logf("%d were taken", n)
			is.True(n >= tt.least && n <= tt.most)
		})
	}
}

// Words that differ change a limit ten times a second. That is told once a second, and each
// beginning and end at once.
func TestLimitsThatDifferAreToldSeldom(t *testing.T) {
	is := is.New(t)
	table := tableWith(1)
	table.holds = func(time.Time, uint64, int) bool { return false }
	incarnation := table.pools["p"].members[0].incarnation
	told := 0
	for ms := 0; ms < 5000; ms += 100 {
		l := occupancy.Load{}.WithLimit(float64(1 + ms/100%2))
		d := table.OthersHave(at(ms), Picture{Loads: occupancy.Loads{incarnation: l}, Keep: 700 * time.Millisecond, Gateways: 9})
		told += len(d.Limited)
	}
	is.Equal(told, 5)
	d := table.OthersHave(at(5000), Picture{Keep: 700 * time.Millisecond, Gateways: 9})
	is.Equal(len(d.Limited), 1)
	is.True(!d.Limited[0].Named)
}

// A gateway that has sent nothing keeps a limit that others were told of, and sends again
// when they are told of none.
func TestLimitByTheWordOfOthers(t *testing.T) {
	is := is.New(t)
	table := tableWith(1)
	table.holds = func(time.Time, uint64, int) bool { return false }
	incarnation := table.pools["p"].members[0].incarnation
	tell := func(ms int, l occupancy.Load) Doubts {
		return table.OthersHave(at(ms), Picture{Loads: occupancy.Loads{incarnation: l}, Keep: 700 * time.Millisecond, Gateways: 9})
	}
	d := tell(0, occupancy.Load{}.WithLimit(1))
	is.True(d.Spoken)
	is.Equal(len(d.Limited), 1)
	is.Equal(table.LimitedUpstreams(), 1)
	is.Equal(taken(table, 10, 500, false), 0)
	d = tell(500, occupancy.Load{Free: 2})
	is.True(d.Spoken)
	is.Equal(len(d.Limited), 1)
	is.True(!d.Limited[0].Named)
	is.Equal(taken(table, 510, 1000, false), 49)
}

// What was told to this gateway of a limit is passed on while it is fresh; where a limit is
// spoken of, also that there is none.
func TestLimitIsTold(t *testing.T) {
	is := is.New(t)
	table := limitedTable(2, 1, 8)
	members := table.pools["p"].members
	l := table.Loads(at(100))[members[0].incarnation]
	is.Equal(l.Limited, 1)
	is.Equal(l.Limit(), 8.0)
	is.Equal(table.Loads(at(5_000))[members[0].incarnation].Limited, 0)
	table.Notice(at(200), members[0].Instance, notice.Notice{SentAt: at(150)})
	l = table.Loads(at(300))[members[0].incarnation]
	is.Equal(l.Limited, 0)
	is.Equal(l.Free, 1)
}

// Requests that others go before leave a turn to these for a while, and get some all the
// same.
func TestLeastUrgentLeaveTurns(t *testing.T) {
	is := is.New(t)
	table := limitedTable(1, 1, 10)
	urgent, least := 0, 0
	for ms := 0; ms < 30_000; ms += 10 {
		for i, isLeast := range []bool{true, false} {
			r := plainRequest(2*ms + i)
			r.Least = isLeast
			c, ok := table.Pick(at(ms), r)
			if !ok {
				continue
			}
			table.Ended(at(ms), c, Completed, Answer{})
			if isLeast {
				least++
			} else {
				urgent++
			}
		}
	}
	t.Logf("%d urgent, %d least urgent", urgent, least)
	is.True(urgent >= 200)
	is.True(least >= 20)
	is.True(taken(limitedTable(1, 1, 10), 0, 30_000, true) >= 150) // alone they get most
}

// Where all upstreams have a limit, a request without a turn is told at once when to come
// back, and the more of them there are, the longer a time they are spread over.
func TestComeBackForATurn(t *testing.T) {
	is := is.New(t)
	table := limitedTable(2, 1, 1)
	after, limited := table.ComeBack(at(10), "p", 0)
	is.True(limited)
	is.True(after > time.Second && after < 1200*time.Millisecond)
	latest := func(ms int) time.Duration {
		most := time.Duration(0)
		for i := range uint64(rendezvous.Steps) {
			after, _ := table.ComeBack(at(ms), "p", i)
			most = max(most, after)
		}
		return most
	}
	is.True(latest(20) < 2*time.Second)
	taken(table, 10, 200, false)
	is.True(latest(210) > 4*time.Second)
	is.True(latest(210) < 6*time.Second)
	in := table.pools["p"].members[0].Instance
	table.Notice(at(300), in, notice.Notice{SentAt: at(250)})
	after, _ = table.ComeBack(at(310), "p", 0)
	is.Equal(after, time.Duration(0)) // there is one without a limit
}

// An upstream with a limit counts as what it may get: no more of its pool may be left out
// than half of what there is. Nothing is kept there that could go on there only with a turn.
func TestLimitedUpstreamsAreNoWholeOnes(t *testing.T) {
	is := is.New(t)
	table := limitedTable(4, 1, 0.1)
	members := table.pools["p"].members
	for _, u := range members[:2] {
		table.Notice(at(100), u.Instance, notice.Notice{SentAt: at(50)})
	}
	is.True(table.pools["p"].mayEject(at(200))) // one of the two without a limit
	members[0].health = members[0].health.WithLeftOut(at(200), time.Minute)
	is.True(!table.pools["p"].mayEject(at(200)))
	is.Equal(backupFor(at(200), members[0], members[2:], Request{}), Backup{})
	is.Equal(backupFor(at(200), members[0], members[1:], Request{}).ID, members[1].ID)
}
