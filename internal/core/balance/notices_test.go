package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/notice"
	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

var leaves = notice.Notice{Leaving: true}

// backoffOf returns a notice that asks for a backoff.
func backoffOf(d time.Duration) notice.Notice { return notice.Notice{Backoff: d} }

// A notice belongs to the incarnation that answered, and only another incarnation revokes
// it, not the list.
func TestLeavingNotices(t *testing.T) {
	a := Instance{ID: "a", Address: "1:1", Zone: "a", Pool: "p", Slots: 8, Born: 1, Created: 1}
	b := Instance{ID: "b", Address: "2:1", Zone: "a", Pool: "p", Slots: 8, Born: 1, Created: 2}
	restarted := a
	restarted.Born, restarted.Created = 2, 3
	moved := a
	moved.Address = "3:1"
	successor := Instance{ID: "c", Address: "1:1", Zone: "a", Pool: "p", Slots: 8, Born: 5, Created: 9}
	leaving := func(of string) notice.Notice { return notice.Notice{Leaving: true, Misdirected: true, Sender: of} }
	tests := []struct {
		name string
		// to is the upstream that the request was sent to, n the notice in its answer.
		to Instance
		n  notice.Notice
		// lists are applied in order, one second apart.
		lists [][]Instance
		// left are the upstreams that get requests in the end.
		left string
	}{
		{"one notice", a, leaves, nil, "b"},
		{"listed as ready later", a, leaves, [][]Instance{{a, b}, {a, b}}, "b"},
		{"entry expires and is created again", a, leaves, [][]Instance{{b}, {a, b}}, "b"},
		{"moves to another address", a, leaves, [][]Instance{{moved, b}}, "b"},
		{"another incarnation with its ID", a, leaves, [][]Instance{{restarted, b}}, "ab"},
		{"the previous incarnation is listed again", a, leaves, [][]Instance{{restarted, b}, {a, b}}, "b"},
		{"another upstream at its address", a, leaves, [][]Instance{{successor, b}}, "bc"},
		{"late notice of the previous incarnation", a, notice.Notice{}, [][]Instance{{restarted, b}}, "ab"},
		{"refusal without a name", a, leaving(""), nil, "ab"},
		{"refusal by an unlisted upstream", a, leaving("z"), nil, "ab"},
		{"refusal by one at another address", a, leaving("b"), nil, "ab"},
		{"refusal by the addressed one", a, leaving("a"), nil, "b"},
		{"answer that names another one", a, notice.Notice{Leaving: true, Sender: "b"}, nil, "ab"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := New("a")
			table.SetInstances(t0, []Instance{a, b})
			table.Notice(t0, tt.to, tt.n)
			now := t0
			for _, list := range tt.lists {
				now = now.Add(time.Second)
				table.SetInstances(now, list)
			}
			if tt.n == (notice.Notice{}) {
				table.Notice(now, tt.to, leaves)
			}
			is.New(t).Equal(picked(table, now), tt.left)
		})
	}
}

// picked returns the IDs of all upstreams that get requests, in order.
func picked(table *Table, now time.Time) string {
	seen := make(map[string]bool)
	for i := range 64 {
		if c, ok := table.Pick(now, Request{Pool: "p", Hash: uint64(i) * 0x9e3779b97f4a7c15}); ok {
			seen[c.ID] = true
			table.Ended(now, c, Abandoned, Answer{})
		}
	}
	all := ""
	for _, id := range []string{"a", "b", "c", "d"} {
		if seen[id] {
			all += id
		}
	}
	return all
}

// An upstream that leaves or backs off gets no requests: neither first attempts nor the
// continuation of a request whose backup it keeps.
func TestNoRequestsWhileLeavingOrBackingOff(t *testing.T) {
	for _, n := range []notice.Notice{leaves, backoffOf(3 * time.Second)} {
		is := is.New(t)
		table := enginesWith(t, 2)
		first := table.pools["p"].members[0]
		second := table.pools["p"].members[1]
		_, ok := table.Continue(at(1), long(1), Backup{ID: first.ID})
		is.True(ok)
		table.Notice(at(2), first.Instance, n)
		_, ok = table.Continue(at(3), long(1), Backup{ID: first.ID})
		is.True(!ok)
		for i := range 50 {
			c, ok := table.Pick(at(4), long(i))
			is.True(ok)
			is.Equal(c.ID, second.ID)
			is.True(c.FetchFrom != first.Address)
			is.Equal(c.Backup.ID, "")
		}
	}
}

// An upstream returns from its backoff without a further notice and in slow start, and
// counts as absent until then: half of the remaining upstreams may be ejected, but never
// all of them.
func TestBackoffOfPartOfPool(t *testing.T) {
	is := is.New(t)
	table := tableWith(4)
	members := table.pools["p"].members
	for _, u := range members[:2] {
		table.Notice(t0, u.Instance, backoffOf(3*time.Second))
	}
	is.Equal(table.Size("p"), 2)
	is.True(table.pools["p"].mayEject(at(1)))
	members[2].health = members[2].health.WithExclusion(at(1), time.Minute)
	is.True(!table.pools["p"].mayEject(at(1))) // at most one of the two remaining
	after, _ := table.RetryAfter(at(1), Request{Pool: "p", Hash: 0})
	is.Equal(after, time.Duration(0))
	c, ok := table.Pick(at(3000), plainRequest(1))
	is.True(ok)
	is.Equal(table.Size("p"), 4) // without a further notice
	table.Ended(at(3001), c, Completed, Answer{})
	sent := make(map[string]int)
	for i := range 20 {
		c, ok := table.Pick(at(3100), plainRequest(i))
		is.True(ok)
		sent[c.ID]++
	}
	is.True(sent[members[0].ID] <= 2 && sent[members[1].ID] <= 2)
}

// If all upstreams back off, callers are told to retry when the first one returns, with
// jitter.
func TestBackoffOfWholePool(t *testing.T) {
	is := is.New(t)
	table := tableWith(3)
	for i, u := range table.pools["p"].members {
		table.Notice(t0, u.Instance, backoffOf(time.Duration(2+i)*time.Second))
	}
	_, ok := table.Pick(at(500), plainRequest(1))
	is.True(!ok)
	earliest, latest := time.Hour, time.Duration(0)
	for i := range uint64(rendezvous.FractionSteps) {
		after, _ := table.RetryAfter(at(500), Request{Pool: "p", Hash: i})
		earliest, latest = min(earliest, after), max(latest, after)
	}
	is.Equal(earliest, 1500*time.Millisecond)
	is.True(latest > 2200*time.Millisecond && latest <= 2250*time.Millisecond)
	table.SetInstances(at(600), append(listOf(table), Instance{ID: "new", Address: "n", Zone: "a", Pool: "p", Slots: 8}))
	after, _ := table.RetryAfter(at(600), Request{Pool: "p", Hash: 0})
	is.Equal(after, time.Duration(0))
}

// listOf returns the table's list of instances.
func listOf(table *Table) []Instance {
	var list []Instance
	for _, u := range table.upstreams {
		list = append(list, u.Instance)
	}
	return list
}

// The final check before a request is sent sees notices that arrived meanwhile.
func TestClosed(t *testing.T) {
	is := is.New(t)
	table := tableWith(3)
	m := table.pools["p"].members
	table.Notice(t0, m[0].Instance, leaves)
	table.Notice(t0, m[1].Instance, backoffOf(time.Second))
	closed := table.Closed(at(1))
	is.True(closed.Has(at(1), m[0].IncarnationKey()))
	is.True(closed.Has(at(999), m[1].IncarnationKey()))
	is.True(!closed.Has(at(1000), m[1].IncarnationKey())) // the backoff has ended
	is.True(!closed.Has(at(1), m[2].IncarnationKey()))
}

// Notices of many short-lived incarnations take bounded memory.
func TestNoticesOfManyIncarnations(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	table := New("a")
	for i := range 10_000 {
		in := Instance{ID: fmt.Sprintf("i-%d", i), Address: fmt.Sprint(i), Zone: "a", Pool: "p", Slots: 1}
		table.SetInstances(at(i), []Instance{in})
		table.Notice(at(i), in, leaves)
	}
	is.Equal(len(table.upstreams), 1)
}
