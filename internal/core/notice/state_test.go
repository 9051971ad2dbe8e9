package notice

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var t0 = time.Unix(1000, 0)

// seconds after t0.
func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

func rest(s float64) Notice { return Notice{Rest: time.Duration(s * float64(time.Second))} }

func TestRest(t *testing.T) {
	type word struct {
		at float64
		n  Notice
	}
	tests := []struct {
		name  string
		words []word
		// until is when it wants something again.
		until float64
	}{
		{"never asked", nil, 0},
		{"once", []word{{0, rest(3)}}, 3},
		{"a fraction", []word{{0, rest(0.25)}}, 0.25},
		{"twice, later", []word{{0, rest(3)}, {1, rest(3)}}, 4},
		{"twice, sooner", []word{{0, rest(3)}, {1, rest(1)}}, 3},
		{"taken back", []word{{0, rest(3)}, {1, Notice{}}}, 3},
		{"an hour", []word{{0, rest(3600)}}, 3600},
		{"more than is believed", []word{{0, rest(1e9)}}, 3600},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var s State
			for _, w := range tt.words {
				s = s.With(at(w.at), w.n)
			}
			is.True(!s.Closed(at(tt.until)))
			if tt.until > 0 {
				is.True(s.Closed(at(tt.until - 0.001)))
			}
			is.True(!s.Leaving())
		})
	}
}

// Nothing but another start, whose state is a new one, takes back that an upstream leaves.
func TestLeavingHolds(t *testing.T) {
	is := is.New(t)
	s := State{}.With(t0, Notice{Leaving: true}).With(at(1), Notice{}).With(at(2), rest(1)).WithAnswer(at(4))
	is.True(s.Leaving() && s.Closed(at(1e6)))
}

// After a rest an upstream gets its share back by degrees: one request, and one more for
// each that it answers. Many gateways come back one after the other.
func TestReturn(t *testing.T) {
	is := is.New(t)
	s := State{}.With(t0, rest(3))
	is.True(!s.Spared(at(2), 1, 0)) // it rests
	is.True(!s.Spared(at(3), 1, 0))
	is.True(s.Spared(at(3), 1, 1))
	s = s.WithAnswer(at(3.1))
	is.True(!s.Spared(at(3.1), 1, 1))
	is.True(s.Spared(at(3.1), 1, 2))
	is.True(!s.Spared(at(5), 1, 100)) // the return is over
	s = s.With(at(3.2), rest(3))
	is.True(s.Spared(at(6.2), 1, 1)) // it begins anew
}

// The moments at which many gateways return are spread over a moment, never more than a
// second.
func TestReturnOfManyGateways(t *testing.T) {
	tests := []struct {
		gateways int
		// most is by when all are back.
		most float64
		// atOnce is the part that is back after a tenth of that.
		atOnce float64
	}{
		{1, 0.001, 1},
		{5, 0.04, 0.5},
		{30, 0.29, 0.2},
		{800, 1, 0.15},
	}
	for _, tt := range tests {
		is := is.New(t)
		early, late := 0, 0
		for i := range 1000 {
			s := State{}.With(t0.Add(time.Duration(i)*time.Microsecond), rest(3))
			end := s.RestUntil()
			if !s.Spared(end.Add(time.Duration(tt.most*0.1*float64(time.Second))), tt.gateways, 0) {
				early++
			}
			if s.Spared(end.Add(time.Duration(tt.most*float64(time.Second))), tt.gateways, 0) {
				late++
			}
		}
		is.Equal(late, 0)
		is.True(float64(early) <= 1000*tt.atOnce)
	}
}

func TestBook(t *testing.T) {
	is := is.New(t)
	var b Book
	leaving := State{}.With(t0, Notice{Leaving: true})
	b.Put(t0, 1, leaving)
	b.Put(t0, 2, State{})
	is.Equal(b.Get(at(10), 1), leaving)
	is.Equal(b.Get(at(10), 2), State{})
	is.Equal(b.Get(at(3601), 1), State{})
	for i := range 2 * keptMost {
		b.Put(at(float64(i)*0.001), uint64(10+i), leaving)
	}
	is.True(len(b.kept) <= keptMost)
	is.Equal(b.Get(at(10), uint64(10+2*keptMost-1)), leaving)
}

// FuzzState holds the promises of a state against any sequence of words: a rest ends when
// the longest word says, and not later than an hour after the last one; who leaves stays
// closed.
func FuzzState(f *testing.F) {
	f.Add([]byte{3, 0, 1, 200, 0, 9})
	f.Add([]byte{255, 255, 255, 1, 1, 1})
	f.Fuzz(func(t *testing.T, words []byte) {
		var s State
		now, until := t0, t0
		leaving := false
		for i := 0; i+1 < len(words); i += 2 {
			now = now.Add(time.Duration(words[i]) * 10 * time.Millisecond)
			n := Notice{Leaving: words[i+1] == 255, Rest: time.Duration(words[i+1]%100) * time.Second}
			s = s.With(now, n)
			leaving = leaving || n.Leaving
			if end := now.Add(n.Rest); end.After(until) {
				until = end
			}
			if s.Leaving() != leaving || s.Closed(now) != (leaving || now.Before(until)) {
				t.Fatalf("%+v at %v: leaving %t until %v", s, now, leaving, until)
			}
			if s.Resting(now.Add(restMost)) {
				t.Fatalf("%+v rests for more than an hour", s)
			}
		}
	})
}
