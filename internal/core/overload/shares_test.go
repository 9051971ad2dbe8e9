package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// flood lets organisations send prompts of 1,000 tokens for ten seconds, the first one
// so many times as often as the others, into a queue that stands for as long as more is
// taken than a gateway's part of the pool reads. It returns the shares taken of the
// first one and of the others.
func flood(times int, readPerS float64) (first, others float64) {
	const organisations, every = 10, 100 * time.Millisecond
	var q Queue
	var backlog, asked, taken [2]float64
	now := t0
	for range 100 {
		now = now.Add(every)
		backlog[0] = max(0, backlog[0]-readPerS*every.Seconds())
		for o := range organisations {
			n, kind := 1, 1
			if o == 0 {
				n, kind = times, 0
			}
			for range n {
				asked[kind]++
				a := Ask{
					Target: time.Second, Pending: func() time.Duration { return time.Second }, Organisation: uint64(o), Tokens: 1000,
					Wait: time.Duration(backlog[0] / readPerS * float64(time.Second)),
				}
				if q.TurnAway(now, a) == 0 {
					taken[kind]++
					backlog[0] += 1000
				}
			}
		}
	}
	return taken[0] / asked[0], taken[1] / asked[1]
}

// An organisation that floods the pool bears what must be turned away; the others are
// served as before. Where all ask for the same, all are treated alike.
func TestFloodOfOneOrganisation(t *testing.T) {
	tests := []struct {
		name string
		// times is how often the first one sends, readPerS the tokens read in a second;
		// the others ask for 90,000.
		times    int
		readPerS float64
		// most is the part of the first one's that is taken at most, least that of the
		// others at least.
		most, least float64
	}{
		{"nobody floods, all fits", 1, 110_000, 1, 0.99},
		{"one floods", 20, 150_000, 0.45, 0.95},
		{"one floods a small pool", 20, 60_000, 0.2, 0.4},
		{"all ask for the same", 1, 50_000, 0.7, 0.4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			first, others := flood(tt.times, tt.readPerS)
			t.Logf("taken of the first %.2f, of the others %.2f", first, others)
			is.True(first <= tt.most)
			is.True(others >= tt.least)
			is.True(others >= first-0.1) // nobody gets more by asking for more
		})
	}
}

// The level is what max-min fairness gives, and those that stopped are forgotten.
func TestLevel(t *testing.T) {
	tests := []struct {
		name  string
		asked []int
		taken int
		level float64
	}{
		{"one above", []int{10, 10, 100}, 60, 40},
		{"two above", []int{10, 70, 100}, 60, 25},
		{"all above", []int{30, 30, 30}, 60, 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var s shares
			for i, n := range tt.asked {
				s.ask(t0, uint64(i), n)
			}
			s.take(t0, 0, tt.taken)
			is.Equal(s.workOut(t0), tt.level)
			is.True(s.workOut(at(100_000)) > 0)
			is.Equal(len(s.uses), 0)
		})
	}
}
