package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/gladegauge/gladegauge/internal/core/config"
)

var t0 = time.Unix(1_800_000_000, 0)

func class(name string, tier int, target time.Duration) *config.Class {
	return &config.Class{
		Name: name, Tier: tier, FirstToken: target, Useful: 10 * target,
		FloorShare: 0.05, ExpectedTokens: 100, Protected: tier == 1, Repeatable: true,
	}
}

var (
	ruling   = class("ruling", 1, time.Second)
	deck     = class("decklist", 2, 4*time.Second)
	question = class("question", 2, 2*time.Second)
	report   = class("report", 5, time.Minute)
)

func item(id string, c *config.Class, organisation string, at time.Duration) *Item {
	return &Item{ID: id, Class: c, Organisation: organisation, Weight: 1, Arrived: t0.Add(at), Copies: 1}
}

// popAll empties the queue and returns the request IDs in order.
func popAll(q *Queue, now time.Time) []string {
	var ids []string
	for {
		choice, ok := q.Pop(now, true)
		if !ok {
			return ids
		}
		ids = append(ids, choice.Item.ID)
	}
}

func TestOrder(t *testing.T) {
	tests := []struct {
		name  string
		items []*Item
		now   time.Duration
		want  []string
	}{
		{"tier before arrival", []*Item{
			item("report", report, "a", 0), item("deck", deck, "a", 1), item("ruling", ruling, "a", 2),
		}, 10, []string{"ruling", "deck", "report"}},
		{"slack inside a tier", []*Item{
			item("deck", deck, "a", 0), item("question", question, "a", time.Second),
		}, time.Second, []string{"question", "deck"}},
		{"fair queueing between organisations", []*Item{
			item("a1", deck, "a", 0), item("a2", deck, "a", 1), item("a3", deck, "a", 2), item("b1", deck, "b", 3),
		}, 10, []string{"a1", "b1", "a2", "a3"}},
		{"preempted before new", []*Item{
			item("new", report, "a", 0), {ID: "begun", Class: report, Organisation: "b", Weight: 1, Arrived: t0.Add(1), Produced: 7},
		}, 10, []string{"begun", "new"}},
		{"on time before late", []*Item{
			item("late", ruling, "a", -2*time.Second), item("fresh", ruling, "b", 0),
		}, 0, []string{"fresh", "late"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			q := New(Policy{})
			for _, it := range tt.items {
				q.Push(it)
			}
			is.Equal(popAll(q, t0.Add(tt.now)), tt.want)
			is.Equal(q.Len(), 0)
		})
	}
}

// TestTokensAreSharedFairly checks that two organisations receive equal numbers of
// tokens although the responses of one are ten times as long.
func TestTokensAreSharedFairly(t *testing.T) {
	is := is.New(t)
	q := New(Policy{})
	tokens := map[string]int{"long": 1000, "short": 100}
	for i := range 2200 {
		for name := range tokens {
			q.Push(item(fmt.Sprintf("%s-%d", name, i), deck, name, time.Duration(i)))
		}
	}
	got := map[string]int{}
	for range 1100 {
		choice, _ := q.Pop(t0, true)
		name := choice.Item.Organisation
		got[name] += tokens[name]
		q.Settle(choice.Item, tokens[name])
	}
	ratio := float64(got["long"]) / float64(got["short"])
	is.True(ratio > 0.95 && ratio < 1.05)
}

// TestFloorShare guards against starvation: while requests of the highest tier
// always wait, the lowest tier receives its floor share and a bounded wait.
func TestFloorShare(t *testing.T) {
	is := is.New(t)
	q := New(Policy{})
	for i := range 3000 {
		q.Push(item(fmt.Sprintf("r%d", i), ruling, "a", 0))
	}
	for i := range 100 {
		q.Push(item(fmt.Sprintf("p%d", i), report, "a", 0))
	}
	low, gap, longest := 0, 0, 0
	for range 1000 {
		choice, _ := q.Pop(t0, true)
		q.CreditFloorShares(100)
		q.Settle(choice.Item, 100)
		gap++
		if choice.Item.Class == report {
			is.True(choice.Floor)
			low++
			longest = max(longest, gap)
			gap = 0
		}
	}
	is.True(low >= 45 && low <= 55) // A floor share of 0.05.
	is.True(longest <= 22)          // At most 1/0.05 responses between two, with a margin.
}

func TestExpiredLeavesProtected(t *testing.T) {
	is := is.New(t)
	q := New(Policy{})
	q.Push(item("ruling", ruling, "a", 0))
	q.Push(item("deck", deck, "a", 0))
	q.Push(item("new", deck, "a", 40*time.Second))
	expired := q.RemoveExpired(t0.Add(40 * time.Second))
	is.Equal(len(expired), 1)
	is.Equal(expired[0].ID, "deck")
	is.Equal(q.Len(), 2)
}

// TestQueueProperties applies random operations: no request is lost or duplicated,
// and no request runs before one of a higher tier except on a floor share.
func TestQueueProperties(t *testing.T) {
	classes := []*config.Class{ruling, deck, question, report}
	rapid.Check(t, func(t *rapid.T) {
		q := New(Policy{})
		waiting := map[string]*Item{}
		now := t0
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "gap")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "operation") {
			case 0, 1:
				it := item(fmt.Sprint(i), rapid.SampledFrom(classes).Draw(t, "class"), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"), 0)
				it.Arrived = now
				q.Push(it)
				waiting[it.ID] = it
			case 2:
				choice, ok := q.Pop(now, true)
				if ok != (len(waiting) > 0) {
					t.Fatalf("Pop returned %v with %d requests waiting", ok, len(waiting))
				}
				if ok {
					checkChoice(t, choice, waiting)
					q.CreditFloorShares(100)
					q.Settle(choice.Item, rapid.IntRange(1, 500).Draw(t, "tokens"))
				}
			case 3:
				for id := range waiting {
					if _, ok := q.Remove(id); !ok {
						t.Fatalf("request %s was lost", id)
					}
					delete(waiting, id)
					break
				}
			case 4:
				for _, it := range q.RemoveExpired(now) {
					delete(waiting, it.ID)
				}
			}
			if q.Len() != len(waiting) || len(q.All()) != len(waiting) {
				t.Fatalf("Len is %d and All returns %d requests, want %d", q.Len(), len(q.All()), len(waiting))
			}
		}
	})
}

func checkChoice(t *rapid.T, choice Choice, waiting map[string]*Item) {
	if waiting[choice.Item.ID] != choice.Item {
		t.Fatalf("request %s was not waiting", choice.Item.ID)
	}
	delete(waiting, choice.Item.ID)
	for _, other := range waiting {
		if !choice.Floor && other.Class.Tier < choice.Item.Class.Tier {
			t.Fatalf("class %s ran before class %s of a higher tier", choice.Item.Class.Name, other.Class.Name)
		}
	}
}

func BenchmarkQueue(b *testing.B) {
	for _, size := range []struct{ waiting, organisations int }{{100, 64}, {1000, 640}, {10000, 6400}, {40000, 6400}} {
		b.Run(fmt.Sprintf("waiting=%d", size.waiting), func(b *testing.B) {
			q := New(Policy{})
			items := make([]*Item, size.waiting)
			for i := range items {
				items[i] = item(fmt.Sprint(i), deck, fmt.Sprint("o", i%size.organisations), time.Duration(i))
				q.Push(items[i])
			}
			b.ReportAllocs()
			for b.Loop() {
				choice, _ := q.Pop(t0, true)
				q.Settle(choice.Item, 100)
				q.Push(choice.Item)
			}
		})
	}
}
