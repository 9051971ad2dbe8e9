package health

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var t0 = time.Unix(1000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// A refusal excludes an upstream for a moment, longer with each consecutive one; a response
// takes one step back. A refusal by a full upstream does not count.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name string
		// refusals lists for each refusal whether the upstream was full; responses follow
		// them.
		refusals []bool
		answers  int
		full     bool
		want     time.Duration
	}{
		{"the first", nil, 0, false, 100 * time.Millisecond},
		{"the third", []bool{false, false}, 0, false, 400 * time.Millisecond},
		{"the tenth", make([]bool, 9), 0, false, 3200 * time.Millisecond},
		{"the third, after a response", []bool{false, false}, 1, false, 200 * time.Millisecond},
		{"the upstream is full", []bool{false, false}, 0, true, FullBackoff},
		{"the first with capacity left", []bool{true, true}, 0, false, 100 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var s State
			for _, full := range tt.refusals {
				s, _ = s.WithRefusal(t0, full)
			}
			for range tt.answers {
				s = s.WithResponse(t0)
			}
			_, d := s.WithRefusal(t0, tt.full)
			is.Equal(d, tt.want)
		})
	}
}

// Consecutive ejections last longer, up to a bound; after a while without one they are
// short again.
func TestEjections(t *testing.T) {
	is := is.New(t)
	var s State
	now := t0
	for _, seconds := range []int{1, 2, 4, 8, 8, 8, 8} {
		want := time.Duration(seconds) * time.Second
		s = s.WithEjection(now)
		is.Equal(s.ExcludedFor(now), want)
		now = now.Add(want)
		is.Equal(s.ExcludedFor(now), time.Duration(0))
	}
	now = now.Add(ejectResetAfter + time.Second)
	is.Equal(s.WithEjection(now).ExcludedFor(now), ejectBase)
}

// A vote reflects the latest observation: a failure counts for longer after consecutive
// failures, a response from its start.
func TestVote(t *testing.T) {
	failed := func(times int) State {
		var s State
		for range times {
			s = s.WithFailure(t0)
		}
		return s
	}
	tests := []struct {
		name string
		s    State
		// lasts is how long the vote counts, in milliseconds.
		lasts int
		want  Vote
	}{
		{"no observation", State{}, 1, None},
		{"a response started", State{}.WithResponseStart(t0), 1000, For},
		{"a request failed", failed(1), 1000, Against},
		{"two failed", failed(2), 2000, Against},
		{"ten failed", failed(10), 8000, Against},
		{"a response started after failures", failed(3).WithResponseStart(at(1)), 1000, For},
		{"a request failed after a response started", State{}.WithResponseStart(at(-1)).WithFailure(t0), 1000, Against},
		{"an old stream completed after a failure", State{}.WithResponseStart(at(-10)).WithFailure(t0).WithResponse(at(-10)), 1000, Against},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.s.Vote(at(tt.lasts-1)), tt.want)
			is.Equal(tt.s.Vote(at(tt.lasts+1)), None)
		})
	}
}

// FuzzState checks invariants over any sequence of events: no upstream is excluded or
// demoted for longer than the bounds, votes of one gateway do not demote an upstream that
// responds to this one, and all state expires in the end.
func FuzzState(f *testing.F) {
	f.Add([]byte{1, 10, 2, 10, 3, 0, 4, 100})
	f.Add([]byte{7, 20, 7, 255, 8, 255, 7, 255, 7, 1})
	f.Add([]byte{2, 0, 2, 0, 2, 0, 6, 9, 0, 1, 1, 1, 9, 255})
	f.Fuzz(func(t *testing.T, events []byte) {
		var s State
		now := t0
		for i := 0; i+1 < len(events); i += 2 {
			now = now.Add(time.Duration(events[i+1]) * 20 * time.Millisecond)
			s = event(t, s, now, events[i])
			if s.ExcludedFor(now) > ejectMax {
				t.Fatalf("excluded for %v", s.ExcludedFor(now))
			}
			if s.Demoted(now.Add(demotionBase << maxDemotionDoublings)) {
				t.Fatalf("demoted for longer than the bound")
			}
			if s.Demoted(now) && s.InLimitedTrial(now) {
				t.Fatalf("demoted and on trial at once")
			}
		}
		end := now.Add(demotionBase<<maxDemotionDoublings + maxTrialWait)
		if s.ExcludedFor(end) > 0 || s.Demoted(end) || s.OnTrial(end) || s.Vote(end) != None {
			t.Fatalf("%+v has not expired long after the last event", s)
		}
	})
}

// event applies one kind of event to the state.
func event(t *testing.T, s State, now time.Time, kind byte) State {
	t.Helper()
	switch kind % 10 {
	case 0:
		return s.WithResponseStart(now)
	case 1:
		return s.WithResponse(now)
	case 2:
		return s.WithFailure(now)
	case 3:
		s, d := s.WithRefusal(now, false)
		return s.WithExclusion(now, d)
	case 4:
		s, _ = s.WithHang(now, now.Add(-time.Second))
		return s
	case 5:
		return s.WithHanging(now)
	case 6:
		return s.WithEjection(now)
	case 7:
		s, _, _ = s.WithVotes(now, Votes{Failing: 3})
		return s
	case 8:
		before := s
		s, _, ok := s.WithResponseStart(now.Add(time.Nanosecond)).WithVotes(now.Add(time.Nanosecond), Votes{Failing: 1})
		if ok {
			t.Fatalf("%+v was demoted by one vote although it responds to this gateway", before)
		}
		return s
	default:
		s, _, ok := s.WithVotes(now, Votes{Served: 1})
		if ok {
			t.Fatalf("demoted without a vote of another gateway")
		}
		return s
	}
}
