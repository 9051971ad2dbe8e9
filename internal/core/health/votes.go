package health

import "time"

const (
	// voteBase is how long a failure or refusal counts as a gateway's vote against the
	// upstream. It doubles with each consecutive failure, up to maxVotes of them. A
	// response counts for as long as a first failure.
	voteBase = time.Second
	maxVotes = 4
	// demotionQuorum is the minimum number of votes that demote an upstream. A single
	// gateway may be wrong, faulty or malicious.
	demotionQuorum = 2
	// againstRatio is the number of votes against an upstream that outweigh one vote for
	// it. An upstream that fails half of its requests is left to each gateway's own failure
	// count.
	againstRatio = 2
	// demotionBase is how long votes demote an upstream. It doubles each time the trials
	// after a demotion fail, up to maxDemotionDoublings times.
	demotionBase         = time.Second
	maxDemotionDoublings = 2
	// maxTrialWait is the longest time that gateways without trials wait for the result,
	// whatever the votes: four times as long as the wait for one of the least urgent
	// requests.
	maxTrialWait = 4 * trialFor
)

// Vote is the latest outcome that a gateway observed at an upstream, as reported to the
// others.
type Vote int

// Votes of a gateway.
const (
	// None means that there is no recent observation.
	None Vote = iota
	// For means that a response started.
	For
	// Against means that a request failed, was refused or hangs.
	Against
)

// Votes counts the gateways that vote against an upstream, and for it.
type Votes struct {
	Failing, Served int
}

// With returns the votes with one added.
func (v Votes) With(vote Vote) Votes {
	switch vote {
	case Against:
		v.Failing++
	case For:
		v.Served++
	case None:
	}
	return v
}

// against reports whether most votes are against the upstream.
func (v Votes) against() bool { return v.Failing > againstRatio*v.Served }

// Verdict is a decision by votes to demote an upstream.
type Verdict struct {
	Votes
	// DemotedFor is the duration of the demotion.
	DemotedFor time.Duration
}

// demotion is the outcome of the votes of all gateways.
type demotion struct {
	// count is the number of consecutive demotions.
	count int
	// demotedUntil is the end of the demotion. Gateways without trials wait until
	// trialUntil.
	demotedUntil, trialUntil time.Time
}

// Vote is the current vote of this gateway.
func (s State) Vote(now time.Time) Vote {
	switch {
	case s.startedAt.After(s.failedAt):
		if now.Sub(s.startedAt) < voteBase {
			return For
		}
	case s.failures > 0 && now.Sub(s.failedAt) < voteBase<<(min(s.failures, maxVotes)-1):
		return Against
	}
	return None
}

// WithVotes returns the state after the votes of all other gateways arrived, and the
// verdict if they demote the upstream from now on. Each gateway has one vote, so that one
// with bad links or false votes is outvoted where others get responses.
func (s State) WithVotes(now time.Time, others Votes) (State, Verdict, bool) {
	all := others.With(s.Vote(now))
	switch {
	case s.Demoted(now):
	case all.against() && others.Failing > 0 && (all.Failing >= demotionQuorum || s.trialFailed(now)):
		v := Verdict{Votes: all, DemotedFor: demotionBase << min(s.demotion.count, maxDemotionDoublings)}
		s.demotion = s.demotion.with(now, v.DemotedFor)
		return s, v, true
	case all.against() && s.InLimitedTrial(now):
		s.demotion = s.demotion.withVote(now)
	case all.Served > 0, !s.InLimitedTrial(now):
		s.demotion = demotion{}
	}
	return s, Verdict{}, false
}

// with returns the state after one more demotion, which lasts d.
func (dm demotion) with(now time.Time, d time.Duration) demotion {
	until := now.Add(d)
	return demotion{count: dm.count + 1, demotedUntil: until, trialUntil: until.Add(trialFor)}
}

// withVote extends the trial after one vote against the upstream. A single vote does not
// demote it again, but it may come from one of the gateways that run the trial, so the
// others keep waiting.
func (dm demotion) withVote(now time.Time) demotion {
	dm.trialUntil = now.Add(trialFor)
	if latest := dm.demotedUntil.Add(maxTrialWait); dm.trialUntil.After(latest) {
		dm.trialUntil = latest
	}
	return dm
}

// trialFailed reports whether this gateway's own trial request failed.
func (s State) trialFailed(now time.Time) bool {
	return s.InLimitedTrial(now) && s.Vote(now) == Against && s.failedAt.After(s.demotion.demotedUntil)
}

// Outvoted reports whether votes have demoted the upstream and nothing has reset that
// since.
func (s State) Outvoted() bool { return s.demotion.count > 0 }

// Demoted reports whether the upstream is demoted by votes now.
func (s State) Demoted(now time.Time) bool {
	return s.demotion.count > 0 && now.Before(s.demotion.demotedUntil)
}

// InLimitedTrial reports whether a demotion has ended and the upstream has yet to respond
// to a trial request of the few gateways that run the trial.
func (s State) InLimitedTrial(now time.Time) bool {
	return s.demotion.count > 0 && !s.Demoted(now) && now.Before(s.demotion.trialUntil)
}

// TrialOverdue reports whether no low-urgency request arrived in time for such a trial.
// Without this check all gateways would send requests at once when the wait ends.
func (s State) TrialOverdue(now time.Time) bool {
	return s.InLimitedTrial(now) && now.Sub(s.demotion.demotedUntil) >= trialFor
}
