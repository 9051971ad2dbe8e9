package health

import "time"

const (
	// voteFor is how long a failure or refusal counts as a gateway's vote against the
	// upstream; it doubles with each that follows without an answer, up to maxVotes of
	// them. An answer counts for as long as a first failure.
	voteFor  = time.Second
	maxVotes = 4
	// witnesses is the least number of votes that put an upstream last. One gateway may be
	// wrong, confused, or lie.
	witnesses = 2
	// failingFactor is how many votes against an upstream outweigh one for it: one that
	// fails half of its requests is left to each gateway's own count.
	failingFactor = 2
	// lastFor is how long an upstream is put last by votes; it doubles each time that
	// its trials failed, up to maxLast times.
	lastFor = time.Second
	maxLast = 2
	// trialMost is how long those wait who do not try it, whoever votes: four times as long
	// as one of the least urgent requests is waited for.
	trialMost = 4 * trialFor
)

// Vote is what a gateway tells the others of an upstream: the latest that it saw there.
type Vote int

// Votes of a gateway.
const (
	// None means that it has seen nothing of late.
	None Vote = iota
	// For means that an answer began.
	For
	// Against means that a request failed, was refused or hangs.
	Against
)

// Votes are how many gateways vote against an upstream, and for it.
type Votes struct {
	Failing, Served int
}

// With returns the votes with one more.
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
func (v Votes) against() bool { return v.Failing > failingFactor*v.Served }

// Verdict is that votes put an upstream last.
type Verdict struct {
	Votes
	// For is how long.
	For time.Duration
}

// standing is what the votes of all gateways made of an upstream.
type standing struct {
	// times is how often they put it last, one time after the other.
	times int
	// lastUntil is until when it is put last, trialUntil until when those wait who do not
	// try it then.
	lastUntil, trialUntil time.Time
}

// Vote is the vote of this gateway.
func (s State) Vote(now time.Time) Vote {
	switch {
	case s.begunAt.After(s.failedAt):
		if now.Sub(s.begunAt) < voteFor {
			return For
		}
	case s.failures > 0 && now.Sub(s.failedAt) < voteFor<<(min(s.failures, maxVotes)-1):
		return Against
	}
	return None
}

// WithVotes returns the state after the votes of all other gateways came, and the verdict if
// they put the upstream last from now on. One gateway is one vote, so that one whose links
// are bad, or that lies, is outvoted where others are answered.
func (s State) WithVotes(now time.Time, told Votes) (State, Verdict, bool) {
	all := told.With(s.Vote(now))
	switch {
	case s.PutLast(now):
	case all.against() && told.Failing > 0 && (all.Failing >= witnesses || s.trialFailed(now)):
		v := Verdict{Votes: all, For: lastFor << min(s.standing.times, maxLast)}
		s.standing = s.standing.with(now, v.For)
		return s, v, true
	case all.against() && s.TrialOfFew(now):
		s.standing = s.standing.withVote(now)
	case all.Served > 0, !s.TrialOfFew(now):
		s.standing = standing{}
	}
	return s, Verdict{}, false
}

// with returns the standing after the upstream was put last for the time.
func (st standing) with(now time.Time, d time.Duration) standing {
	until := now.Add(d)
	return standing{times: st.times + 1, lastUntil: until, trialUntil: until.Add(trialFor)}
}

// withVote returns the standing after one vote against the upstream during a trial: it is
// none, but those who try may have that word, and others wait on.
func (st standing) withVote(now time.Time) standing {
	st.trialUntil = now.Add(trialFor)
	if most := st.lastUntil.Add(trialMost); st.trialUntil.After(most) {
		st.trialUntil = most
	}
	return st
}

// trialFailed reports whether this gateway's own trial of the upstream failed.
func (s State) trialFailed(now time.Time) bool {
	return s.TrialOfFew(now) && s.Vote(now) == Against && s.failedAt.After(s.standing.lastUntil)
}

// Outvoted reports whether votes put the upstream last a while ago, and nothing has ended
// that since.
func (s State) Outvoted() bool { return s.standing.times > 0 }

// PutLast reports whether votes put the upstream last now.
func (s State) PutLast(now time.Time) bool {
	return s.standing.times > 0 && now.Before(s.standing.lastUntil)
}

// TrialOfFew reports whether the upstream was put last by votes, and has yet to answer a
// trial of the few gateways that try it.
func (s State) TrialOfFew(now time.Time) bool {
	return s.standing.times > 0 && !s.PutLast(now) && now.Before(s.standing.trialUntil)
}

// Untried reports whether none of the least urgent requests came for such a trial in time.
// Without it all gateways would try at once then.
func (s State) Untried(now time.Time) bool {
	return s.TrialOfFew(now) && now.Sub(s.standing.lastUntil) >= trialFor
}
