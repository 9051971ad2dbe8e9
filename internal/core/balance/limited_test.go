package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/notice"
	"github.com/gladegauge/gladegauge/internal/core/occupancy"
	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// limitOf returns a notice of the rate limit in the answer to a request that was sent at
// the given millisecond.
func limitOf(sent int, perSecond float64) notice.Notice {
	return notice.Notice{Limit: notice.Limit{Announced: true, PerSecond: perSecond}, SentAt: at(sent)}
}

// limitedTable has n upstreams that have each named the rate limit to one of so many
// gateways.
func limitedTable(n, gateways int, perSecond float64) *Table {
	table := tableWith(n)
	table.SetLimitBounds(LimitBounds{Window: limitWindow, Overrun: limitOverrun, Slack: limitSlack}, func() int { return gateways })
	for _, u := range table.pools["p"].members {
		table.Notice(t0, u.Instance, limitOf(-1, perSecond))
	}
	return table
}

// accepted is the number of requests that the pool accepts in the interval, with one request
// every 10 ms.
func accepted(table *Table, from, to int, least bool) int {
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

// A holder takes its share of a rate limit, and other gateways take nothing. Only a few
// turns accumulate, however long there are no requests.
func TestTurns(t *testing.T) {
	tests := []struct {
		name      string
		gateways  int
		perSecond float64
		holds     bool
		// from and to bound the time of the requests, in milliseconds; least to most of
		// them are accepted.
		from, to    int
		least, most int
	}{
		{"alone", 1, 1, true, 0, 20_000, 17, 19},
		{"one of two holders", 2, 1, true, 0, 20_000, 8, 10},
		{"one of five holders of many", 800, 1, true, 0, 20_000, 3, 4},
		{"not a holder", 800, 1, false, 0, 20_000, 0, 0},
		{"a high limit", 4, 50, true, 0, 4_000, 42, 50},
		{"a limit that does not bind", 1, 1e12, true, 0, 4_000, 400, 400},
		{"after an hour without requests", 2, 1, true, 3_600_000, 3_604_000, 2, 5},
		{"limit 0 still allows requests that detect its end", 1, 0, true, 0, 20_000, 4, 8},
		{"limit near 0", 800, 0.001, true, 0, 20_000, 1, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := limitedTable(1, tt.gateways, tt.perSecond)
			table.holds = func(time.Time, uint64, int) bool { return tt.holds }
			n := accepted(table, tt.from, tt.to, false)
			t.Logf("%d accepted", n)
			is.True(n >= tt.least && n <= tt.most)
		})
	}
}

// Covers a rate limit that rises, falls, ends or is named again, and another incarnation
// of the upstream, which has no limit yet.
func TestLimitChanges(t *testing.T) {
	tests := []struct {
		name   string
		change func(table *Table, in Instance)
		// least and most bound how many of 200 requests are accepted in the two seconds
		// after the change, which comes after ten seconds.
		least, most int
	}{
		{"limit unchanged", func(*Table, Instance) {}, 1, 3},
		{"limit rises", func(table *Table, in Instance) { table.Notice(at(10_000), in, limitOf(9_000, 20)) }, 33, 47},
		{"limit falls", func(table *Table, in Instance) { table.Notice(at(10_000), in, limitOf(9_000, 0.1)) }, 0, 1},
		{"limit ends", func(table *Table, in Instance) { table.Notice(at(10_000), in, notice.Notice{SentAt: at(9_000)}) }, 200, 200},
		{"late answer to a request from before the limit", func(table *Table, in Instance) { table.Notice(at(10_000), in, notice.Notice{SentAt: at(-5)}) }, 1, 3},
		{"entry expires and is created again", func(table *Table, in Instance) {
			table.SetInstances(at(10_000), nil)
			table.SetInstances(at(10_000), []Instance{in})
		}, 1, 4},
		{"another incarnation", func(table *Table, in Instance) {
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
			accepted(table, 0, 10_000, false)
			tt.change(table, in)
			n := accepted(table, 10_000, 12_000, false)
			t.Logf("%d accepted", n)
			is.True(n >= tt.least && n <= tt.most)
		})
	}
}

// Conflicting reports change a limit ten times per second. Such changes are reported once
// per second, but the start and the end of a limit at once.
func TestFluctuatingLimitIsRateLimited(t *testing.T) {
	is := is.New(t)
	table := tableWith(1)
	table.holds = func(time.Time, uint64, int) bool { return false }
	incarnation := table.pools["p"].members[0].incarnation
	reported := 0
	for ms := 0; ms < 5000; ms += 100 {
		l := occupancy.Load{}.WithLimit(float64(1 + ms/100%2))
		d := table.SetPeerLoads(at(ms), PeerLoads{Loads: occupancy.Loads{incarnation: l}, TTL: 700 * time.Millisecond, Gateways: 9})
		reported += len(d.Limited)
	}
	is.Equal(reported, 5)
	d := table.SetPeerLoads(at(5000), PeerLoads{TTL: 700 * time.Millisecond, Gateways: 9})
	is.Equal(len(d.Limited), 1)
	is.True(!d.Limited[0].Announced)
}

// A gateway that has sent no request applies a rate limit reported by other gateways, and
// sends again when they report that it has ended.
func TestLimitReportedByPeers(t *testing.T) {
	is := is.New(t)
	table := tableWith(1)
	table.holds = func(time.Time, uint64, int) bool { return false }
	incarnation := table.pools["p"].members[0].incarnation
	tell := func(ms int, l occupancy.Load) PeerChanges {
		return table.SetPeerLoads(at(ms), PeerLoads{Loads: occupancy.Loads{incarnation: l}, TTL: 700 * time.Millisecond, Gateways: 9})
	}
	d := tell(0, occupancy.Load{}.WithLimit(1))
	is.True(d.LimitsReported)
	is.Equal(len(d.Limited), 1)
	is.Equal(table.LimitedUpstreams(), 1)
	is.Equal(accepted(table, 10, 500, false), 0)
	d = tell(500, occupancy.Load{Free: 2})
	is.True(d.LimitsReported)
	is.Equal(len(d.Limited), 1)
	is.True(!d.Limited[0].Announced)
	is.Equal(accepted(table, 510, 1000, false), 49)
}

// A limit that an upstream named to this gateway is propagated while it is fresh; so is
// the absence of a limit that others report.
func TestLimitIsPropagated(t *testing.T) {
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

// Requests of the lowest urgency leave turns to more urgent ones for a while, but still
// get some.
func TestLowestPriorityYieldsTurns(t *testing.T) {
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
	is.True(accepted(limitedTable(1, 1, 10), 0, 30_000, true) >= 150) // they get most turns if there are no others
}

// If all upstreams have a rate limit, a request without a turn gets a retry delay at
// once, and the delays of more such requests are spread over a longer time.
func TestRetryAfterWithoutTurn(t *testing.T) {
	is := is.New(t)
	table := limitedTable(2, 1, 1)
	after, limited := table.RetryAfter(at(10), Request{Pool: "p", Hash: 0})
	is.True(limited)
	is.True(after > time.Second && after < 1200*time.Millisecond)
	latest := func(ms int) time.Duration {
		most := time.Duration(0)
		for i := range uint64(rendezvous.FractionSteps) {
			after, _ := table.RetryAfter(at(ms), Request{Pool: "p", Hash: i})
			most = max(most, after)
		}
		return most
	}
	is.True(latest(20) < 2*time.Second)
	accepted(table, 10, 200, false)
	is.True(latest(210) > 4*time.Second)
	is.True(latest(210) < 6*time.Second)
	in := table.pools["p"].members[0].Instance
	table.Notice(at(300), in, notice.Notice{SentAt: at(250)})
	after, _ = table.RetryAfter(at(310), Request{Pool: "p", Hash: 0})
	is.Equal(after, time.Duration(0)) // one has no limit
}

// An upstream with a rate limit counts with its relative capacity: no more than half of
// the pool's capacity may be ejected. It is not used for backups, as continuing there
// would take a turn.
func TestLimitedUpstreamsCountPartially(t *testing.T) {
	is := is.New(t)
	table := limitedTable(4, 1, 0.1)
	members := table.pools["p"].members
	for _, u := range members[:2] {
		table.Notice(at(100), u.Instance, notice.Notice{SentAt: at(50)})
	}
	is.True(table.pools["p"].mayEject(at(200))) // one of the two without a limit
	members[0].health = members[0].health.WithExclusion(at(200), time.Minute)
	is.True(!table.pools["p"].mayEject(at(200)))
	is.Equal(backupFor(at(200), members[0], members[2:], Request{}), Backup{})
	is.Equal(backupFor(at(200), members[0], members[1:], Request{}).ID, members[1].ID)
}
