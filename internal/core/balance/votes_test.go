package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/occupancy"
)

// voters is the table of one gateway and the upstream on which other gateways vote.
type voters struct {
	table *Table
	first *upstream
}

// newVoters returns a gateway at which the votes of two others have just demoted the first
// of four upstreams. holds is whether the gateway takes part in the trial.
func newVoters(holds bool) voters {
	table := tableWith(4)
	table.holds = func(time.Time, uint64, int) bool { return holds }
	v := voters{table: table, first: table.pools["p"].members[0]}
	v.applyVotes(t0, 2, 0)
	return v
}

// applyVotes applies votes of other gateways.
func (v voters) applyVotes(now time.Time, failing, served int) {
	v.table.SetPeerLoads(now, peerLoadsOf(occupancy.Loads{v.first.incarnation: {Failing: failing, Served: served}}))
}

// tryFirst sends requests of the lowest urgency until one goes to the first upstream.
// Requests at other upstreams are abandoned.
func (v voters) tryFirst(now time.Time) (Choice, bool) {
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

// After a demotion, the vote of a single faulty gateway must not count as a failed trial:
// it demoted the upstream again at all gateways as soon as the trial began, for four
// seconds each time. Only a trial that failed at this gateway, or the votes of two
// gateways, may demote the upstream again.
func TestOneVoteEndsNoTrial(t *testing.T) {
	is := is.New(t)
	v := newVoters(true)
	for ms := 100; ms <= 1100; ms += 100 {
		v.applyVotes(at(ms), 1, 0)
	}
	c, ok := v.tryFirst(at(1100))
	is.True(ok)
	v.table.ResponseStarted(at(1110), c)
	v.table.Ended(at(1120), c, Completed, Answer{})
	v.applyVotes(at(1200), 1, 0)
	_, ok = v.tryFirst(at(1200))
	is.True(ok) // this gateway got an answer
}

// A gateway that takes no part in the trial waits as long as a vote against the upstream
// stands; one answer to any gateway ends the wait.
func TestOthersWaitForTrials(t *testing.T) {
	is := is.New(t)
	v := newVoters(false)
	for ms := 100; ms <= 8000; ms += 100 {
		v.applyVotes(at(ms), 1, 0)
		_, ok := v.tryFirst(at(ms))
		is.True(!ok)
	}
	v.applyVotes(at(8100), 1, 1)
	_, ok := v.tryFirst(at(8100))
	is.True(ok)
}

// The wait ends even if a vote against the upstream never does, also if the gateways in
// the trial have no requests.
func TestWaitForTrialsEnds(t *testing.T) {
	is := is.New(t)
	v := newVoters(false)
	for ms := 100; ms <= 21_000; ms += 100 {
		v.applyVotes(at(ms), 1, 0)
	}
	_, ok := v.tryFirst(at(21_000))
	is.True(ok)
}

// A failed trial demotes the upstream again, for twice as long.
func TestFailedTrial(t *testing.T) {
	is := is.New(t)
	v := newVoters(true)
	v.applyVotes(at(1000), 0, 0)
	c, ok := v.tryFirst(at(1100))
	is.True(ok)
	v.table.Ended(at(1110), c, Faulty, Answer{})
	v.applyVotes(at(1200), 1, 0)
	v.applyVotes(at(3100), 0, 0)
	_, ok = v.tryFirst(at(3100))
	is.True(!ok)
	v.applyVotes(at(3300), 0, 0)
	_, ok = v.tryFirst(at(3300))
	is.True(ok)
}

// Without requests of the lowest urgency, a more urgent one is used for the trial after a
// time.
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
		v.applyVotes(at(ms), 1, 0)
		is.True(!urgent(at(ms)))
	}
	v.applyVotes(at(6100), 1, 0)
	is.True(urgent(at(6100)))
}
