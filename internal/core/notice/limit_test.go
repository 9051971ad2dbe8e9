package notice

import (
	"testing"

	"github.com/matryer/is"
)

// limit is an answer with a limit, to a request sent at the given second.
func limit(sent, perSecond float64) Notice {
	return Notice{Limit: Limit{Announced: true, PerSecond: perSecond}, SentAt: at(sent)}
}

// none is an answer without a limit, to a request sent at the given second.
func none(sent float64) Notice { return Notice{SentAt: at(sent)} }

// A limit holds for as long as answers announce it. The answer to an older request that
// arrives later does not remove it.
func TestLimitHolds(t *testing.T) {
	type step struct {
		at float64
		n  Notice
	}
	tests := []struct {
		name  string
		steps []step
		want  Limit
	}{
		{"never announced", []step{{1, none(0)}}, Limit{}},
		{"named", []step{{1, limit(0, 2)}}, Limit{Announced: true, PerSecond: 2}},
		{"announced, then not", []step{{1, limit(0, 2)}, {3, none(2)}}, Limit{}},
		{"followed by an older answer without it", []step{{1, limit(0, 2)}, {1.1, none(0.5)}}, Limit{Announced: true, PerSecond: 2}},
		{"falls", []step{{1, limit(0, 50)}, {1.1, limit(0.5, 1)}}, Limit{Announced: true, PerSecond: 1}},
		{"rises", []step{{1, limit(0, 1)}, {3, limit(2, 50)}}, Limit{Announced: true, PerSecond: 50}},
		{"followed by an older answer with a higher one", []step{{1, limit(0, 1)}, {1.1, limit(0.5, 50)}}, Limit{Announced: true, PerSecond: 1}},
		{"in an interim answer", []step{{1, Notice{Limit: Limit{Announced: true, PerSecond: 3}}}}, Limit{Announced: true, PerSecond: 3}},
		{"interim answers do not remove it", []step{{1, limit(0, 2)}, {3, Notice{}}}, Limit{Announced: true, PerSecond: 2}},
		{"an unparsable limit does not remove it", []step{{1, limit(0, 2)}, {3, Notice{Limit: Limit{Malformed: true}, SentAt: at(2)}}}, Limit{Announced: true, PerSecond: 2}},
		{"no requests at all", []step{{1, limit(0, 0)}}, Limit{Announced: true}},
		{"up and down", []step{{1, limit(0, 1)}, {3, limit(2, 50)}, {4, limit(3.5, 1)}, {6, limit(5, 9)}}, Limit{Announced: true, PerSecond: 9}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var s State
			for _, st := range tt.steps {
				s = s.With(at(st.at), st.n)
			}
			is.Equal(s.Announced(), tt.want)
			is.Equal(s.Any(at(1e6)), tt.want.Announced)
			is.True(!s.Closed(at(1e6)))
		})
	}
}

// A recent own answer takes precedence, then the majority of other gateways, then the
// last own answer. A single gateway that reports wrong data can neither remove a limit
// nor impose one on a gateway that has an answer.
func TestLimitOfOthers(t *testing.T) {
	two := Limit{Announced: true, PerSecond: 2}
	nine := Limit{Announced: true, PerSecond: 9}
	wrong := LimitVotes{Limited: 1, PerSecond: 0.001}
	tests := []struct {
		name string
		// own is the answer at second 1, if any, and votes are the constant reports of
		// others.
		own   Notice
		votes LimitVotes
		// fresh is the limit at second 2, later the one at second 60.
		fresh, later Limit
	}{
		{"no information", Notice{}, LimitVotes{}, Limit{}, Limit{}},
		{"others report one", Notice{}, LimitVotes{Limited: 3, PerSecond: 9}, nine, nine},
		{"others report another one", limit(0, 2), LimitVotes{Limited: 3, PerSecond: 9}, two, nine},
		{"others report none", limit(0, 2), LimitVotes{Free: 2}, two, Limit{}},
		{"others are silent", limit(0, 2), LimitVotes{}, two, two},
		{"others disagree", limit(0, 2), LimitVotes{Limited: 3, PerSecond: 9, Free: 2}, two, nine},
		{"a single wrong report of no limit", limit(0, 2), LimitVotes{Free: 1}, two, two},
		{"a single wrong report of a limit", none(0), wrong, Limit{}, Limit{Announced: true, PerSecond: 0.001}},
		{"a wrong report against two answers", none(0), LimitVotes{Limited: 1, PerSecond: 0.001, Free: 2}, Limit{}, Limit{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := State{}.WithLimitVotes(tt.votes, at(61)).With(at(1), tt.own)
			is.Equal(s.Limit(at(2)), tt.fresh)
			is.Equal(s.Limit(at(60)), tt.later)
			is.Equal(s.Limit(at(62)), s.Announced()) // reports of others expire
		})
	}
}

// A gateway reports what a recent answer told it; an answer that arrived out of order
// does not count.
func TestLimitVote(t *testing.T) {
	is := is.New(t)
	is.Equal(State{}.LimitVote(at(1)), LimitVotes{})
	s := State{}.With(at(1), limit(0, 2))
	is.Equal(s.LimitVote(at(2)), LimitVotes{Limited: 1, PerSecond: 2})
	is.Equal(s.LimitVote(at(5.5)), LimitVotes{})
	s = s.With(at(3), none(0.5)) // sent before the limit was received
	is.Equal(s.LimitVote(at(4)), LimitVotes{Limited: 1, PerSecond: 2})
	is.Equal(s.With(at(6), none(5)).LimitVote(at(7)), LimitVotes{Free: 1})
}
