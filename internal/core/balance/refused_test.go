package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/health"
)

// A refusal leaves an upstream out for a moment, and for longer if it goes on; one that was
// right, or that the request itself is the reason of, hardly does.
func TestRefusalsAsEvidence(t *testing.T) {
	tests := []struct {
		name string
		o    Outcome
		// running is the number of requests at the upstream beside the refused one.
		running int
		tokens  int
		// took is the time until the refusal, left what the caller had left then.
		took, left time.Duration
		// times is the number of refusals in a row.
		times int
		// load is what the upstream says with its refusal; nil for nothing.
		load *Load
		// votes is true if the gateway tells of it, and out how long it is left out.
		votes bool
		out   time.Duration
	}{
		{"as it says itself that it is full", Refused, 0, 10, time.Millisecond, time.Second, 3, &Load{Running: 8, Slots: 8}, false, health.FullFor},
		{"as it says that requests wait", Refused, 0, 10, time.Millisecond, time.Second, 3, &Load{Running: 2, Waiting: 1, Slots: 8}, false, health.FullFor},
		{"though it says that it has room", Refused, 0, 10, time.Millisecond, time.Second, 1, &Load{Running: 2, Slots: 8}, true, 100 * time.Millisecond},
		{"at once", Refused, 0, 10, time.Millisecond, time.Second, 1, nil, true, 100 * time.Millisecond},
		{"three times", Refused, 0, 10, time.Millisecond, time.Second, 3, nil, true, 400 * time.Millisecond},
		{"ten times", Refused, 0, 10, time.Millisecond, time.Second, 10, nil, true, 3200 * time.Millisecond},
		{"as it was full", Refused, 8, 10, time.Millisecond, time.Second, 1, nil, false, health.FullFor},
		{"as the request is too large", Refused, 0, 95_000, time.Millisecond, time.Second, 1, nil, false, health.FullFor},
		{"after a wait in its queue", Refused, 0, 10, 400 * time.Millisecond, time.Second, 1, nil, false, health.FullFor},
		{"with no time left", Refused, 0, 10, time.Millisecond, 20 * time.Millisecond, 1, nil, false, health.FullFor},
		{"for the request's own fault", Declined, 0, 10, time.Millisecond, time.Second, 1, nil, false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := enginesWith(t, 4)
			u := table.pools["p"].members[0]
			commit := func(now time.Time, tokens int) Choice {
				r := Request{Pool: "p", Route: "long", Prompt: Prompt{Tokens: tokens}, Deadline: now.Add(tt.took + tt.left)}
				c := Choice{Instance: u.Instance}
				table.commit(now, table.pools["p"], u, r, &c)
				return c
			}
			for range tt.running {
				commit(t0, 10)
			}
			now := t0
			for range tt.times {
				c := commit(now, tt.tokens)
				now = now.Add(tt.took)
				table.Ended(now, c, tt.o, Answer{Load: tt.load})
			}
			is.Equal(u.health.LeftOut(now), tt.out)
			is.Equal(table.Loads(now)[u.incarnation].Failing == 1, tt.votes)
		})
	}
}
