package notice

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var t0 = time.Unix(1000, 0)

// at returns the time so many seconds after t0.
func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

func backoff(s float64) Notice { return Notice{Backoff: time.Duration(s * float64(time.Second))} }

func TestBackoff(t *testing.T) {
	type step struct {
		at float64
		n  Notice
	}
	tests := []struct {
		name  string
		steps []step
		// until is when the upstream accepts requests again.
		until float64
	}{
		{"no backoff requested", nil, 0},
		{"once", []step{{0, backoff(3)}}, 3},
		{"a fraction", []step{{0, backoff(0.25)}}, 0.25},
		{"twice, later", []step{{0, backoff(3)}, {1, backoff(3)}}, 4},
		{"twice, sooner", []step{{0, backoff(3)}, {1, backoff(1)}}, 3},
		{"followed by a notice without one", []step{{0, backoff(3)}, {1, Notice{}}}, 3},
		{"an hour", []step{{0, backoff(3600)}}, 3600},
		{"more than is honoured", []step{{0, backoff(1e9)}}, 3600},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var s State
			for _, st := range tt.steps {
				s = s.With(at(st.at), st.n)
			}
			is.True(!s.Closed(at(tt.until)))
			if tt.until > 0 {
				is.True(s.Closed(at(tt.until - 0.001)))
			}
			is.True(!s.Leaving())
		})
	}
}

// An upstream remains leaving until a new incarnation with a new state takes its place.
func TestLeavingHolds(t *testing.T) {
	is := is.New(t)
	s := State{}.With(t0, Notice{Leaving: true}).With(at(1), Notice{}).With(at(2), backoff(1)).WithAnswer(at(4))
	is.True(s.Leaving() && s.Closed(at(1e6)))
}

// After a backoff an upstream gets its share back gradually: one request, and one more
// for each that it answers.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	s := State{}.With(t0, backoff(3))
	is.True(!s.SlowStartLimited(at(2), 1, 0)) // in backoff
	is.True(!s.SlowStartLimited(at(3), 1, 0))
	is.True(s.SlowStartLimited(at(3), 1, 1))
	s = s.WithAnswer(at(3.1))
	is.True(!s.SlowStartLimited(at(3.1), 1, 1))
	is.True(s.SlowStartLimited(at(3.1), 1, 2))
	is.True(!s.SlowStartLimited(at(5), 1, 100)) // slow start is over
	s = s.With(at(3.2), backoff(3))
	is.True(s.SlowStartLimited(at(6.2), 1, 1)) // it starts over
}

// The first requests of many gateways after a backoff are spread over at most a second.
func TestSlowStartOfManyGateways(t *testing.T) {
	tests := []struct {
		gateways int
		// most is when all gateways send again.
		most float64
		// atOnce is the share of them that does after a tenth of that time.
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
			s := State{}.With(t0.Add(time.Duration(i)*time.Microsecond), backoff(3))
			end := s.BackoffUntil()
			if !s.SlowStartLimited(end.Add(time.Duration(tt.most*0.1*float64(time.Second))), tt.gateways, 0) {
				early++
			}
			if s.SlowStartLimited(end.Add(time.Duration(tt.most*float64(time.Second))), tt.gateways, 0) {
				late++
			}
		}
		is.Equal(late, 0)
		is.True(float64(early) <= 1000*tt.atOnce)
	}
}

func TestStateCache(t *testing.T) {
	is := is.New(t)
	var b StateCache
	leaving := State{}.With(t0, Notice{Leaving: true})
	b.Put(t0, 1, leaving)
	b.Put(t0, 2, State{})
	is.Equal(b.Get(at(10), 1), leaving)
	is.Equal(b.Get(at(10), 2), State{})
	is.Equal(b.Get(at(3601), 1), State{})
	for i := range 2 * maxEntries {
		b.Put(at(float64(i)*0.001), uint64(10+i), leaving)
	}
	is.True(len(b.entries) <= maxEntries)
	is.Equal(b.Get(at(10), uint64(10+2*maxEntries-1)), leaving)
}

// FuzzState checks any sequence of notices: a backoff ends when the longest notice says,
// and at most an hour after the last one; an upstream that is leaving stays closed.
func FuzzState(f *testing.F) {
	f.Add([]byte{3, 0, 1, 200, 0, 9})
	f.Add([]byte{255, 255, 255, 1, 1, 1})
	f.Fuzz(func(t *testing.T, steps []byte) {
		var s State
		now, until := t0, t0
		leaving := false
		for i := 0; i+1 < len(steps); i += 2 {
			now = now.Add(time.Duration(steps[i]) * 10 * time.Millisecond)
			n := Notice{Leaving: steps[i+1] == 255, Backoff: time.Duration(steps[i+1]%100) * time.Second}
			s = s.With(now, n)
			leaving = leaving || n.Leaving
			if end := now.Add(n.Backoff); end.After(until) {
				until = end
			}
			if s.Leaving() != leaving || s.Closed(now) != (leaving || now.Before(until)) {
				t.Fatalf("%+v at %v: leaving %t until %v", s, now, leaving, until)
			}
			if s.InBackoff(now.Add(maxBackoff)) {
				t.Fatalf("%+v backs off for more than an hour", s)
			}
		}
	})
}
