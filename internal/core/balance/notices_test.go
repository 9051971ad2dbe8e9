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

// restOf asks for rest.
func restOf(d time.Duration) notice.Notice { return notice.Notice{Rest: d} }

// Whose word it is, and what the list may do to it: it is of the start that answered, and
// only another start takes it back.
func TestWhoLeaves(t *testing.T) {
	a := Instance{ID: "a", Address: "1:1", Zone: "a", Pool: "p", Slots: 8, Born: 1, Created: 1}
	b := Instance{ID: "b", Address: "2:1", Zone: "a", Pool: "p", Slots: 8, Born: 1, Created: 2}
	again := a
	again.Born, again.Created = 2, 3
	elsewhere := a
	elsewhere.Address = "3:1"
	heir := Instance{ID: "c", Address: "1:1", Zone: "a", Pool: "p", Slots: 8, Born: 5, Created: 9}
	leaving := func(of string) notice.Notice { return notice.Notice{Leaving: true, Elsewhere: true, Of: of} }
	tests := []struct {
		name string
		// to is who the request was sent to, n what its answer said.
		to Instance
		n  notice.Notice
		// lists follow one after the other, a second apart.
		lists [][]Instance
		// left are those that get requests in the end.
		left string
	}{
		{"said once", a, leaves, nil, "b"},
		{"listed as ready later", a, leaves, [][]Instance{{a, b}, {a, b}}, "b"},
		{"its entry lapses and comes back", a, leaves, [][]Instance{{b}, {a, b}}, "b"},
		{"it moves to another address", a, leaves, [][]Instance{{elsewhere, b}}, "b"},
		{"another start under its identity", a, leaves, [][]Instance{{again, b}}, "ab"},
		{"the start before comes back", a, leaves, [][]Instance{{again, b}, {a, b}}, "b"},
		{"another upstream at its address", a, leaves, [][]Instance{{heir, b}}, "bc"},
		{"a late word of the start before", a, notice.Notice{}, [][]Instance{{again, b}}, "ab"},
		{"a refusal of nobody", a, leaving(""), nil, "ab"},
		{"a refusal of somebody who is not listed", a, leaving("z"), nil, "ab"},
		{"a refusal that names one at another address", a, leaving("b"), nil, "ab"},
		{"a refusal that names the one that was asked", a, leaving("a"), nil, "b"},
		{"an answer that names another one", a, notice.Notice{Leaving: true, Of: "b"}, nil, "ab"},
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

// picked are the identities of all upstreams that requests go to, in order.
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

// Nothing of ours reaches an upstream that leaves or rests: neither first tries nor the
// continuation of a run whose copy it keeps.
func TestNothingForWhoWantsNothing(t *testing.T) {
	for _, n := range []notice.Notice{leaves, restOf(3 * time.Second)} {
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

// One that rests comes back by itself, by degrees, and counts as absent until then: half
// of what is left may be ejected, and all of it is never.
func TestRestOfAPool(t *testing.T) {
	is := is.New(t)
	table := tableWith(4)
	members := table.pools["p"].members
	for _, u := range members[:2] {
		table.Notice(t0, u.Instance, restOf(3*time.Second))
	}
	is.Equal(table.Size("p"), 2)
	is.True(table.pools["p"].mayEject(at(1)))
	members[2].health = members[2].health.WithLeftOut(at(1), time.Minute)
	is.True(!table.pools["p"].mayEject(at(1))) // one of the two that are left
	left, _ := table.ComeBack(at(1), "p", 0)
	is.Equal(left, time.Duration(0))
	c, ok := table.Pick(at(3000), plainRequest(1))
	is.True(ok)
	is.Equal(table.Size("p"), 4) // by itself
	table.Ended(at(3001), c, Completed, Answer{})
	sent := make(map[string]int)
	for i := range 20 {
		c, ok := table.Pick(at(3100), plainRequest(i))
		is.True(ok)
		sent[c.ID]++
	}
	is.True(sent[members[0].ID] <= 2 && sent[members[1].ID] <= 2)
}

// Where all rest, callers hear when the first is back, and come one after the other.
func TestAllRest(t *testing.T) {
	is := is.New(t)
	table := tableWith(3)
	for i, u := range table.pools["p"].members {
		table.Notice(t0, u.Instance, restOf(time.Duration(2+i)*time.Second))
	}
	_, ok := table.Pick(at(500), plainRequest(1))
	is.True(!ok)
	earliest, latest := time.Hour, time.Duration(0)
	for i := range uint64(rendezvous.Steps) {
		left, _ := table.ComeBack(at(500), "p", i)
		earliest, latest = min(earliest, left), max(latest, left)
	}
	is.Equal(earliest, 1500*time.Millisecond)
	is.True(latest > 2200*time.Millisecond && latest <= 2250*time.Millisecond)
	table.SetInstances(at(600), append(listOf(table), Instance{ID: "new", Address: "n", Zone: "a", Pool: "p", Slots: 8}))
	left, _ := table.ComeBack(at(600), "p", 0)
	is.Equal(left, time.Duration(0))
}

// listOf is the list that the table has.
func listOf(table *Table) []Instance {
	var list []Instance
	for _, u := range table.upstreams {
		list = append(list, u.Instance)
	}
	return list
}

// A last look before a request goes out sees what was said meanwhile.
func TestClosed(t *testing.T) {
	is := is.New(t)
	table := tableWith(3)
	m := table.pools["p"].members
	table.Notice(t0, m[0].Instance, leaves)
	table.Notice(t0, m[1].Instance, restOf(time.Second))
	closed := table.Closed(at(1))
	is.True(closed.Has(at(1), m[0].Start()))
	is.True(closed.Has(at(999), m[1].Start()))
	is.True(!closed.Has(at(1000), m[1].Start())) // over when it is
	is.True(!closed.Has(at(1), m[2].Start()))
}

// Words of many starts come and go with their entries; what is kept is bounded.
func TestSaidOfManyStarts(t *testing.T) {
	is := is.New(t)
	table := New("a")
	for i := range 10_000 {
		in := Instance{ID: fmt.Sprintf("i-%d", i), Address: fmt.Sprint(i), Zone: "a", Pool: "p", Slots: 1}
		table.SetInstances(at(i), []Instance{in})
		table.Notice(at(i), in, leaves)
	}
	is.Equal(len(table.upstreams), 1)
}
