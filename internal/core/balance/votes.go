package balance

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/health"
)

// The load that this answers: a part of a pool refuses or fails most requests. Each
// gateway found each such upstream out for itself, so that the loss grew with their
// number.
//
// Each gateway tells of the latest that it saw of an upstream: an answer, or a failure or
// refusal. Where most votes are against it, all put it last for a time, and then a few of
// them try it with the least urgent requests, until one answer ends it.

// trialGateways is the number of gateways that try an upstream that votes put last.
const trialGateways = 2

// Outvoted is an upstream that votes put last, and how they stood.
type Outvoted struct {
	ID string
	health.Verdict
}

// mayTry reports whether the request may be the trial of such an upstream: one of the least
// urgent, while there are some, and one at a time; where the votes were against it, of a
// few gateways.
func (t *Table) mayProbe(now time.Time, u *upstream, r Request) bool {
	if u.unanswered() > 0 || (!r.Least && !u.health.Untried(now)) {
		return false
	}
	return !u.health.TrialOfFew(now) || t.holds(now, u.hash, trialGateways)
}

// countVotes takes the votes of all gateways on the upstream, and reports whether they put it
// last from now on.
func (u *upstream) applyVotes(now time.Time) (Outvoted, bool) {
	if u.peerLoad.Failing == 0 && !u.health.Outvoted() {
		return Outvoted{}, false // As of most: with a walk over pools, 0.63 ms for 3,000 -> 0.19 ms.
	}
	next, v, ok := u.health.WithVotes(now, health.Votes{Failing: u.peerLoad.Failing, Served: u.peerLoad.Served})
	u.health = next
	return Outvoted{ID: u.ID, Verdict: v}, ok
}
