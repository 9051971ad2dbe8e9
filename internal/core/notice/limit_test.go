package notice

import (
	"testing"
	"time"

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
			is.Equal(s.Limit(), tt.want)
			is.Equal(s.Any(at(1e6)), tt.want.Named)
			is.True(!s.Closed(at(1e6)))
		})
	}
}

// When it was last told whether there is a limit: answers that prove nothing do not count.
func TestLimitHeardAt(t *testing.T) {
	is := is.New(t)
	s := State{}.With(at(1), limit(0, 2))
	is.Equal(s.LimitHeardAt(), at(1))
	s = s.With(at(2), none(0.5))
	is.Equal(s.LimitHeardAt(), at(1))
	s = s.With(at(4), none(3))
	is.Equal(s.LimitHeardAt(), at(4))
	is.Equal(time.Time{}, State{}.LimitHeardAt())
}
