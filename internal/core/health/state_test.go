package health

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var t0 = time.Unix(1000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// A refusal leaves an upstream out for a moment, longer with each in a row; an answer takes
// one back. One of an upstream that is full is no evidence.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name string
		// refusals are of upstreams that are full or not; answers come after them.
		refusals []bool
		answers  int
		full     bool
		want     time.Duration
	}{
		{"the first", nil, 0, false, 100 * time.Millisecond},
		{"the third", []bool{false, false}, 0, false, 400 * time.Millisecond},
		{"the tenth", make([]bool, 9), 0, false, 3200 * time.Millisecond},
		{"the third, after an answer", []bool{false, false}, 1, false, 200 * time.Millisecond},
		{"it is full", []bool{false, false}, 0, true, FullFor},
		{"the first with room", []bool{true, true}, 0, false, 100 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var s State
			for _, full := range tt.refusals {
				s, _ = s.WithRefusal(t0, full)
			}
			for range tt.answers {
				s = s.WithAnswer(t0)
			}
			_, d := s.WithRefusal(t0, tt.full)
			is.Equal(d, tt.want)
		})
	}
}

// Ejections that follow each other last longer, up to a bound; after a while they are short
// again.
func TestEjections(t *testing.T) {
	is := is.New(t)
	var s State
	now := t0
	for _, seconds := range []int{1, 2, 4, 8, 8, 8, 8} {
		want := time.Duration(seconds) * time.Second
		s = s.WithEjection(now)
		is.Equal(s.LeftOut(now), want)
		now = now.Add(want)
		is.Equal(s.LeftOut(now), time.Duration(0))
	}
	now = now.Add(ejectForget + time.Second)
	is.Equal(s.WithEjection(now).LeftOut(now), ejectBase)
}

// A vote is the latest that was seen: a failure counts for longer the more there were in a
// row, an answer from its beginning.
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
		// lasts is until when the vote counts, in milliseconds.
		lasts int
		want  Vote
	}{
		{"nothing was seen", State{}, 1, None},
		{"an answer began", State{}.WithBegun(t0), 1000, For},
		{"a request failed", failed(1), 1000, Against},
		{"two failed", failed(2), 2000, Against},
		{"ten failed", failed(10), 8000, Against},
		{"an answer began after failures", failed(3).WithBegun(at(1)), 1000, For},
		{"a request failed after an answer began", State{}.WithBegun(at(-1)).WithFailure(t0), 1000, Against},
		{"an old stream ended well after a failure", State{}.WithBegun(at(-10)).WithFailure(t0).WithAnswer(at(-10)), 1000, Against},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.s.Vote(at(tt.lasts-1)), tt.want)
			is.Equal(tt.s.Vote(at(tt.lasts+1)), None)
		})
	}
}

// FuzzState holds what must be true of any sequence of events: nobody is left out or put
// last for longer than the bounds, one gateway's votes put nobody last whose own requests
// are answered, evidence only ages, and nothing is left of it in the end.
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
			if s.LeftOut(now) > ejectMax {
				t.Fatalf("left out for %v", s.LeftOut(now))
			}
			if s.PutLast(now.Add(lastFor << maxLast)) {
				t.Fatalf("put last for longer than votes may")
			}
			if s.PutLast(now) && s.TrialOfFew(now) {
				t.Fatalf("put last and on trial at once")
			}
		}
		end := now.Add(lastFor<<maxLast + trialMost)
		if s.LeftOut(end) > 0 || s.PutLast(end) || s.OnTrial(end) || s.Vote(end) != None {
			t.Fatalf("%+v is left long after the last event", s)
		}
	})
}

// event is one of those that may befall a state.
func event(t *testing.T, s State, now time.Time, kind byte) State {
	t.Helper()
	switch kind % 10 {
	case 0:
		return s.WithBegun(now)
	case 1:
		return s.WithAnswer(now)
	case 2:
		return s.WithFailure(now)
	case 3:
		s, d := s.WithRefusal(now, false)
		return s.WithLeftOut(now, d)
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
		s, _, ok := s.WithBegun(now.Add(time.Nanosecond)).WithVotes(now.Add(time.Nanosecond), Votes{Failing: 1})
		if ok {
			t.Fatalf("%+v was put last by one vote, though it answers here", before)
		}
		return s
	default:
		s, _, ok := s.WithVotes(now, Votes{Served: 1})
		if ok {
			t.Fatalf("put last without a vote of another gateway")
		}
		return s
	}
}
