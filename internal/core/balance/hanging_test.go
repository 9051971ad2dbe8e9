package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/occupancy"
)

// A hanging prompt is a vote against its engine until one second after it ends. The start
// of an answer is a vote in favour; nothing else is.
func TestHangingVotes(t *testing.T) {
	const (
		against = "against"
		neither = "neither"
		served  = "for"
	)
	type step struct {
		at int
		do func(table *Table, c Choice, now time.Time)
	}
	look := func(table *Table, _ Choice, now time.Time) { table.SetPeerLoads(now, peerLoadsOf(nil)) }
	leaves := func(table *Table, c Choice, now time.Time) { table.Ended(now, c, Abandoned, Answer{}) }
	begins := func(table *Table, c Choice, now time.Time) { table.ResponseStarted(now, c) }
	ends := func(table *Table, c Choice, now time.Time) { table.Ended(now, c, Completed, Answer{}) }
	another := func(table *Table, _ Choice, now time.Time) {
		c, _ := table.Pick(now, chat(2))
		table.ResponseStarted(now, c)
	}
	says := func(l Load) func(table *Table, c Choice, now time.Time) {
		return func(table *Table, _ Choice, now time.Time) { table.SetLoad(now, "i-0", l) }
	}
	fills := func(table *Table, _ Choice, now time.Time) {
		for i := range 7 {
			table.Pick(now, chat(10+i))
		}
	}
	tests := []struct {
		name  string
		want  Request
		steps []step
		vote  string
		// failures is the number of consecutive failures.
		failures int
	}{
		{"usual wait", chat(1), []step{{300, look}}, neither, 0},
		{"hanging prompt", chat(1), []step{{1500, look}}, against, 1},
		{"still hangs", chat(1), []step{{1500, look}, {4900, look}, {5000, look}}, against, 1},
		{"caller leaves before the first check", chat(1), []step{{2000, leaves}}, against, 1},
		{"caller left a while ago", chat(1), []step{{2000, leaves}, {3100, look}}, neither, 1},
		{"caller leaves at once", chat(1), []step{{100, leaves}}, neither, 0},
		{"another request starts later", chat(1), []step{{1500, look}, {1600, another}}, served, 1},
		{"another request started, first one still hangs", chat(1), []step{{1500, look}, {1600, another}, {1700, look}}, served, 1},
		{"starts late", chat(1), []step{{1500, look}, {1600, begins}}, served, 1},
		{"starts late and completes", chat(1), []step{{1500, look}, {1600, begins}, {1700, ends}}, served, 0},
		{"started stream with a long gap", chat(1), []step{{100, begins}, {3000, look}}, neither, 0},
		{"reports queued requests", chat(1), []step{{1400, says(Load{Running: 2, Waiting: 1, Slots: 8})}, {1500, look}}, neither, 0},
		{"reported queued requests a while ago", chat(1), []step{{100, says(Load{Running: 2, Waiting: 1, Slots: 8})}, {2500, look}}, against, 1},
		{"full engine", chat(1), []step{{1400, fills}, {1500, look}}, neither, 0},
		{"long request at a plain service", plainRequest(1), []step{{5000, look}}, neither, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := enginesWith(t, 1)
			c, ok := table.Pick(t0, tt.want)
			is.True(ok)
			last := 0
			for _, s := range tt.steps {
				s.do(table, c, at(s.at))
				last = s.at
			}
			u := table.upstreams["i-0"]
			vote := neither
			switch l := table.Loads(at(last))[u.incarnation]; {
			case l.Failing == 1:
				vote = against
			case l.Served == 1:
				vote = served
			}
			is.Equal(vote, tt.vote)
			is.Equal(u.health.Failures(), tt.failures)
			is.True(!u.ejected(at(last)))
		})
	}
}

// Prompts that hang concurrently count as one failure, as they also do if the gateway
// itself was stalled.
func TestConcurrentHangsCountOnce(t *testing.T) {
	is := is.New(t)
	table := enginesWith(t, 1)
	for i := range 5 {
		_, ok := table.Pick(at(i), chat(i))
		is.True(ok)
	}
	d := table.SetPeerLoads(at(5000), peerLoadsOf(nil))
	is.Equal(len(d.Hanging), 1)
	is.Equal(table.upstreams["i-0"].health.Failures(), 1)
}

// A complete answer resets the failure count, unless it had started before the last
// failure.
func TestOldStreamKeepsFailureCount(t *testing.T) {
	is := is.New(t)
	table := enginesWith(t, 1)
	old, _ := table.Pick(t0, chat(1))
	table.ResponseStarted(at(10), old)
	failed, _ := table.Pick(at(100), chat(2))
	table.Ended(at(110), failed, Faulty, Answer{})
	table.Ended(at(200), old, Completed, Answer{})
	u := table.upstreams["i-0"]
	is.Equal(u.health.Failures(), 1)
	is.Equal(table.Loads(at(210))[u.incarnation].Failing, 1)
	fresh, _ := table.Pick(at(300), chat(3))
	table.ResponseStarted(at(310), fresh)
	table.Ended(at(320), fresh, Completed, Answer{})
	is.Equal(u.health.Failures(), 0)
	is.Equal(table.Loads(at(330))[u.incarnation].Served, 1)
}

// In a pool where all requests wait for long, the votes are against more than half of the
// upstreams and are ignored.
func TestAllHang(t *testing.T) {
	is := is.New(t)
	table := enginesWith(t, 4)
	loads := make(occupancy.Loads)
	for _, u := range table.upstreams {
		loads[u.incarnation] = occupancy.Load{Failing: 5}
	}
	table.SetPeerLoads(t0, peerLoadsOf(loads))
	used := make(map[string]bool)
	for i := range 60 {
		c, ok := table.Pick(at(i), chat(i))
		is.True(ok)
		used[c.ID] = true
	}
	is.Equal(len(used), 4)
}
