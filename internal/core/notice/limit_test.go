package notice

import (
	"testing"

	"github.com/matryer/is"
)

// limit is the word of a limit in the answer to a request that was sent at the second.
func limit(sent, perSecond float64) Notice {
	return Notice{Limit: Limit{Named: true, PerSecond: perSecond}, SentAt: at(sent)}
}

// none is an answer without a limit to a request that was sent at the second.
func none(sent float64) Notice { return Notice{SentAt: at(sent)} }

// A limit holds for as long as the answers name it. One that was sent earlier and is read
// later takes nothing back.
func TestLimitHolds(t *testing.T) {
	type word struct {
		at float64
		n  Notice
	}
	tests := []struct {
		name  string
		words []word
		want  Limit
	}{
		{"never named", []word{{1, none(0)}}, Limit{}},
		{"named", []word{{1, limit(0, 2)}}, Limit{Named: true, PerSecond: 2}},
		{"named, then not", []word{{1, limit(0, 2)}, {3, none(2)}}, Limit{}},
		{"overtaken by an answer without it", []word{{1, limit(0, 2)}, {1.1, none(0.5)}}, Limit{Named: true, PerSecond: 2}},
		{"falls", []word{{1, limit(0, 50)}, {1.1, limit(0.5, 1)}}, Limit{Named: true, PerSecond: 1}},
		{"rises", []word{{1, limit(0, 1)}, {3, limit(2, 50)}}, Limit{Named: true, PerSecond: 50}},
		{"overtaken by a higher one", []word{{1, limit(0, 1)}, {1.1, limit(0.5, 50)}}, Limit{Named: true, PerSecond: 1}},
		{"in an interim answer", []word{{1, Notice{Limit: Limit{Named: true, PerSecond: 3}}}}, Limit{Named: true, PerSecond: 3}},
		{"interim answers take nothing back", []word{{1, limit(0, 2)}, {3, Notice{}}}, Limit{Named: true, PerSecond: 2}},
		{"what cannot be read takes nothing back", []word{{1, limit(0, 2)}, {3, Notice{Limit: Limit{Unclear: true}, SentAt: at(2)}}}, Limit{Named: true, PerSecond: 2}},
		{"no requests at all", []word{{1, limit(0, 0)}}, Limit{Named: true}},
		{"up and down", []word{{1, limit(0, 1)}, {3, limit(2, 50)}, {4, limit(3.5, 1)}, {6, limit(5, 9)}}, Limit{Named: true, PerSecond: 9}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var s State
			for _, w := range tt.words {
				s = s.With(at(w.at), w.n)
			}
			is.Equal(s.Named(), tt.want)
			is.Equal(s.Any(at(1e6)), tt.want.Named)
			is.True(!s.Closed(at(1e6)))
		})
	}
}

// Who is believed of a limit: an answer that came lately, then most of the others, then the
// last answer. One gateway that lies neither lifts a limit, nor names one to a gateway that
// has an answer.
func TestLimitOfOthers(t *testing.T) {
	two := Limit{Named: true, PerSecond: 2}
	nine := Limit{Named: true, PerSecond: 9}
	lie := LimitVotes{Limited: 1, PerSecond: 0.001}
	tests := []struct {
		name string
		// own is the answer of second 1, if any, and votes what others tell all the time.
		own   Notice
		votes LimitVotes
		// fresh is what holds at second 2, later what holds at second 60.
		fresh, later Limit
	}{
		{"nobody says anything", Notice{}, LimitVotes{}, Limit{}, Limit{}},
		{"others name one", Notice{}, LimitVotes{Limited: 3, PerSecond: 9}, nine, nine},
		{"others name another one", limit(0, 2), LimitVotes{Limited: 3, PerSecond: 9}, two, nine},
		{"others name none", limit(0, 2), LimitVotes{Free: 2}, two, Limit{}},
		{"others are silent", limit(0, 2), LimitVotes{}, two, two},
		{"others do not agree", limit(0, 2), LimitVotes{Limited: 3, PerSecond: 9, Free: 2}, two, nine},
		{"one lies that there is none", limit(0, 2), LimitVotes{Free: 1}, two, two},
		{"one lies that there is one", none(0), lie, Limit{}, Limit{Named: true, PerSecond: 0.001}},
		{"one lies and two have answers", none(0), LimitVotes{Limited: 1, PerSecond: 0.001, Free: 2}, Limit{}, Limit{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := State{}.WithLimitVotes(tt.votes, at(61)).With(at(1), tt.own)
			is.Equal(s.Limit(at(2)), tt.fresh)
			is.Equal(s.Limit(at(60)), tt.later)
			is.Equal(s.Limit(at(62)), s.Named()) // a word of others lapses
		})
	}
}

// A gateway tells others what an answer told it lately; answers that prove nothing do not
// count.
func TestLimitVote(t *testing.T) {
	is := is.New(t)
	is.Equal(State{}.LimitVote(at(1)), LimitVotes{})
	s := State{}.With(at(1), limit(0, 2))
	is.Equal(s.LimitVote(at(2)), LimitVotes{Limited: 1, PerSecond: 2})
	is.Equal(s.LimitVote(at(5.5)), LimitVotes{})
	s = s.With(at(3), none(0.5)) // sent before the limit was read
	is.Equal(s.LimitVote(at(4)), LimitVotes{Limited: 1, PerSecond: 2})
	is.Equal(s.With(at(6), none(5)).LimitVote(at(7)), LimitVotes{Free: 1})
}
