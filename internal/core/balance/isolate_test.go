package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A request suspected of crashing engines goes to the upstream with the fewest requests,
// even if its prompt is cached elsewhere, and nothing is copied for it.
func TestIsolate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := New("a")
	table.SetInstances(now, []Instance{
		{ID: "busy", Address: "1:1", Zone: "a", Pool: "p", Slots: 8},
		{ID: "idle", Address: "2:1", Zone: "b", Pool: "p", Slots: 8},
	})
	shared := Prompt{Model: 1, Tokens: 9000, Parts: []Part{{ID: 5, Tokens: 9000}}}
	for range 4 {
		c, ok := table.Pick(now, Request{Pool: "p", Prompt: shared})
		is.True(ok)
		table.ResponseStarted(now, c)
		if c.ID == "idle" {
			table.Ended(now, c, Completed, Answer{})
		}
	}
	c, ok := table.Pick(now, Request{Pool: "p", Prompt: shared, Isolate: true, Protect: true})
	is.True(ok)
	is.Equal(c.ID, "idle")
	is.Equal(c.FetchFrom, "")
	is.True(!c.Backup.Any())
}

// The end of an upstream that was leaving is no evidence against the requests that ran
// there.
func TestEndExpected(t *testing.T) {
	is := is.New(t)
	table := New("a")
	table.SetInstances(time.Unix(1000, 0), []Instance{
		{ID: "ready", Pool: "p"}, {ID: "leaving", Pool: "p", Leaving: true}, {ID: "evacuated", Pool: "p", Evacuated: true},
	})
	is.True(!table.EndExpected("ready"))
	is.True(table.EndExpected("leaving"))
	is.True(table.EndExpected("evacuated"))
	is.True(table.EndExpected("gone from the list"))
}

// Two incarnations with the same ID have different keys.
func TestIncarnation(t *testing.T) {
	is := is.New(t)
	is.Equal(Instance{ID: "a", Born: 1}.IncarnationKey(), Instance{ID: "a", Born: 1, Leaving: true}.IncarnationKey())
	is.True(Instance{ID: "a", Born: 1}.IncarnationKey() != Instance{ID: "a", Born: 2}.IncarnationKey())
	is.True(Instance{ID: "a", Born: 1}.IncarnationKey() != Instance{ID: "b", Born: 1}.IncarnationKey())
}

// An upstream that was listed and is gone, or whose place another incarnation took, has ended;
// one that is listed again, or was never listed, has not.
func TestEndedIncarnations(t *testing.T) {
	is := is.New(t)
	table := New("a")
	a, b, c := Instance{ID: "a", Born: 1}, Instance{ID: "b", Born: 1}, Instance{ID: "c", Born: 1}
	table.SetInstances(t0, []Instance{a, b, c})
	is.Equal(len(table.EndedIncarnations(t0)), 0)
	next := Instance{ID: "b", Born: 2}
	table.SetInstances(t0, []Instance{next, c})
	table.MarkGone(t0, c)
	ended := table.EndedIncarnations(t0)
	is.Equal(len(ended), 3)
	is.True(ended[a.IncarnationKey()] && ended[b.IncarnationKey()] && ended[c.IncarnationKey()])
	table.SetInstances(t0, []Instance{a, next, c})
	is.True(!table.EndedIncarnations(t0)[a.IncarnationKey()])
}
