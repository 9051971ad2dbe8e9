package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/health"
)

// A refusal excludes an upstream for a moment, and for longer if refusals continue. A
// justified refusal, or one caused by the request itself, has hardly any effect.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name string
		o    Outcome
		// running is the number of other requests at the upstream.
		running int
		tokens  int
		// took is the time until the refusal, left the time to the caller's deadline
		// then.
		took, left time.Duration
		// times is the number of consecutive refusals.
		times int
		// load is the load that the upstream reports with its refusal; nil for none.
		load *Load
		// votesAgainst is true if the gateway votes against the upstream; excludedFor is
		// how long the upstream is excluded.
		votesAgainst bool
		excludedFor  time.Duration
	}{
		{"reports that it is full", Refused, 0, 10, time.Millisecond, time.Second, 3, &Load{Running: 8, Slots: 8}, false, health.FullBackoff},
		{"reports queued requests", Refused, 0, 10, time.Millisecond, time.Second, 3, &Load{Running: 2, Waiting: 1, Slots: 8}, false, health.FullBackoff},
		{"reports free slots", Refused, 0, 10, time.Millisecond, time.Second, 1, &Load{Running: 2, Slots: 8}, true, 100 * time.Millisecond},
		{"immediate refusal", Refused, 0, 10, time.Millisecond, time.Second, 1, nil, true, 100 * time.Millisecond},
		{"three times", Refused, 0, 10, time.Millisecond, time.Second, 3, nil, true, 400 * time.Millisecond},
		{"ten times", Refused, 0, 10, time.Millisecond, time.Second, 10, nil, true, 3200 * time.Millisecond},
		{"full engine", Refused, 8, 10, time.Millisecond, time.Second, 1, nil, false, health.FullBackoff},
		{"request too large for its memory", Refused, 0, 95_000, time.Millisecond, time.Second, 1, nil, false, health.FullBackoff},
		{"after queueing", Refused, 0, 10, 400 * time.Millisecond, time.Second, 1, nil, false, health.FullBackoff},
		{"with no time left", Refused, 0, 10, time.Millisecond, 20 * time.Millisecond, 1, nil, false, health.FullBackoff},
		{"declined", Declined, 0, 10, time.Millisecond, time.Second, 1, nil, false, 0},
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
			is.Equal(u.health.ExcludedFor(now), tt.excludedFor)
			is.Equal(table.Loads(now)[u.incarnation].Failing == 1, tt.votesAgainst)
		})
	}
}
