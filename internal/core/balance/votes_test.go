package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/occupancy"
)

// voters is one gateway's table, and what the others' votes on the first upstream are.
type voters struct {
	table *Table
	first *upstream
}

// newVoters returns a gateway for which two others have just put the first of four
// upstreams last. It is one of those that try it, or not.
func newVoters(holds bool) voters {
	table := tableWith(4)
	table.holds = func(time.Time, uint64, int) bool { return holds }
	v := voters{table: table, first: table.pools["p"].members[0]}
	v.hear(t0, 2, 0)
	return v
}

// hear takes the votes of others.
func (v voters) hear(now time.Time, failing, served int) {
	v.table.OthersHave(now, pictureOf(occupancy.Loads{v.first.incarnation: {Failing: failing, Served: served}}))
}

// try sends some of the least urgent requests, which are answered by other upstreams, until
// one goes to the first.
func (v voters) try(now time.Time) (Choice, bool) {
	for i := range 40 {
		r := plainRequest(i * 7919)
		r.Least = true
		c, _ := v.table.Pick(now, r)
		if c.ID == v.first.ID {
			return c, true
		}
		v.table.Ended(now, c, Abandoned, Answer{})
	}
	return Choice{}, false
}

// A gateway that lied kept an upstream out that others had once put last: its vote alone
// counted as a failed trial, the moment that the trials began, for four seconds each time.
// "against":2,"for":0,"last_for":4000 stood in the logs of all gateways. Only a trial that
// failed here, or the votes of two, put an upstream last again.
func TestOneVoteEndsNoTrial(t *testing.T) {
	is := is.New(t)
	v := newVoters(true)
	for ms := 100; ms <= 1100; ms += 100 {
		v.hear(at(ms), 1, 0)
	}
	c, ok := v.try(at(1100))
	is.True(ok)
	v.table.Began(at(1110), c)
	v.table.Ended(at(1120), c, Completed, Answer{})
	v.hear(at(1200), 1, 0)
	_, ok = v.try(at(1200))
	is.True(ok) // it was answered here
}

// One who does not try waits for the word of those who do, for as long as a vote stands
// against the upstream; one answer to anybody ends it.
func TestOthersWaitForTrials(t *testing.T) {
	is := is.New(t)
	v := newVoters(false)
	for ms := 100; ms <= 8000; ms += 100 {
		v.hear(at(ms), 1, 0)
		_, ok := v.try(at(ms))
		is.True(!ok)
	}
	v.hear(at(8100), 1, 1)
	_, ok := v.try(at(8100))
	is.True(ok)
}

// A vote that never ends keeps nobody waiting for ever, also where those who try have no
// requests.
func TestWaitForTrialsEnds(t *testing.T) {
	is := is.New(t)
	v := newVoters(false)
	for ms := 100; ms <= 21_000; ms += 100 {
		v.hear(at(ms), 1, 0)
	}
	_, ok := v.try(at(21_000))
	is.True(ok)
}

// A trial that fails puts the upstream last for twice as long.
func TestFailedTrial(t *testing.T) {
	is := is.New(t)
	v := newVoters(true)
	v.hear(at(1000), 0, 0)
	c, ok := v.try(at(1100))
	is.True(ok)
	v.table.Ended(at(1110), c, Faulty, Answer{})
	v.hear(at(1200), 1, 0)
	v.hear(at(3100), 0, 0)
	_, ok = v.try(at(3100))
	is.True(!ok)
	v.hear(at(3300), 0, 0)
	_, ok = v.try(at(3300))
	is.True(ok)
}

// Where none of the least urgent requests come, another one is the trial after a time.
func TestTrialWithoutLeastUrgent(t *testing.T) {
	is := is.New(t)
	v := newVoters(true)
	urgent := func(now time.Time) bool {
		for i := range 40 {
			c, _ := v.table.Pick(now, plainRequest(i*7919))
			if c.ID == v.first.ID {
				return true
			}
			v.table.Ended(now, c, Abandoned, Answer{})
		}
		return false
	}
	for ms := 100; ms < 6000; ms += 100 {
		v.hear(at(ms), 1, 0)
		is.True(!urgent(at(ms)))
	}
	v.hear(at(6100), 1, 0)
	is.True(urgent(at(6100)))
}
