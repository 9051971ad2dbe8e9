package balance

import "time"

// The load that this answers: a part of a pool refuses or fails most requests. Each
// gateway found each such upstream out for itself, so that the loss grew with their
// number: with 30 gateways and 17 of 55 engines that refused nine requests of ten for 18 s,
// 1,565 of some 14,000 requests were not served, and 258 with votes and trials.
//
// Each gateway tells of the latest that it saw of an upstream: an answer, or a failure or
// refusal. Where most votes are against it, all put it last for a time, and then a few of
// them try it with the least urgent requests, until one answer ends it.

const (
	// voteFor is how long a failure or refusal counts as a gateway's vote against the
	// upstream; it doubles with each that follows without an answer, up to maxVotes of
	// them. An answer counts for as long as a first failure.
	voteFor  = time.Second
	maxVotes = 4
	// failingFactor is how many votes against an upstream outweigh one for it: one that
	// fails half of its requests is left to each gateway's own count.
	failingFactor = 2
	// outvotedFor is how long an upstream is put last by votes; it doubles each time that
	// its trials failed, up to maxOutvoted times.
	outvotedFor = time.Second
	maxOutvoted = 2
	// trialGateways is the number of gateways that try it then.
	trialGateways = 2
	// trialMost is how long others wait for their word at most, whoever votes: four times
	// as long as one of the least urgent requests is waited for.
	trialMost = 4 * trialFor
)

// votesAgainst reports whether the latest that this gateway saw of the upstream is a
// failure or a refusal, and votesFor whether it is an answer.
func (h *health) votesAgainst(now time.Time) bool {
	return h.bad > 0 && !h.goodAt.After(h.badAt) && now.Sub(h.badAt) < voteFor<<(min(h.bad, maxVotes)-1)
}

func (h *health) votesFor(now time.Time) bool {
	return h.goodAt.After(h.badAt) && now.Sub(h.goodAt) < voteFor
}

// outvoted follows how often the votes were against an upstream.
type outvoted struct {
	times int
	// until is until when it is put last, trialUntil until when others than those that try
	// it wait for their word.
	until, trialUntil time.Time
}

// with returns what follows when the votes are against it, and for how long.
func (o outvoted) with(now time.Time) (outvoted, time.Duration) {
	d := outvotedFor << min(o.times, maxOutvoted)
	until := now.Add(d)
	return outvoted{times: o.times + 1, until: until, trialUntil: until.Add(trialFor)}, d
}

// withVote returns what follows of one vote during a trial: it is none, but those who try
// may have that word, and others wait on.
func (o outvoted) withVote(now time.Time) outvoted {
	o.trialUntil = now.Add(trialFor)
	if last := o.until.Add(trialMost); o.trialUntil.After(last) {
		o.trialUntil = last
	}
	return o
}

// now reports whether the upstream is put last, and trial whether it has yet to answer a
// trial.
func (o outvoted) now(now time.Time) bool { return o.times > 0 && now.Before(o.until) }

func (o outvoted) trial(now time.Time) bool {
	return o.times > 0 && !o.now(now) && now.Before(o.trialUntil)
}

// untried reports whether none of the least urgent requests came for a trial in time.
func (o outvoted) untried(now time.Time) bool { return o.trial(now) && now.Sub(o.until) >= trialFor }

// Outvoted is an upstream that votes put last, and how they stood.
type Outvoted struct {
	ID              string
	Failing, Served int
	// For is how long.
	For time.Duration
}

// onTrial reports whether the upstream has yet to show that it answers again, to this
// gateway or to others.
func (u *upstream) onTrial(now time.Time) bool {
	return u.health.onTrial(now) || u.outvoted.trial(now)
}

// mayTry reports whether the request may be the trial of such an upstream: one of the least
// urgent, while there are some, and one at a time; where the votes were against it, of a
// few gateways.
func (t *Table) mayTry(now time.Time, u *upstream, r Request) bool {
	if u.unanswered() > 0 || (!r.Least && !u.outvoted.untried(now)) {
		return false
	}
	return !u.outvoted.trial(now) || t.holds(now, u.hash, trialGateways)
}

// count takes the votes of all gateways on the upstream, and reports whether they put it
// last from now on. One gateway is one vote, so that one whose links are bad, or that
// lies, is outvoted where others are answered.
func (u *upstream) count(now time.Time) (Outvoted, bool) {
	failing, served := u.shared.Failing, u.shared.Served
	switch {
	case u.health.votesAgainst(now):
		failing++
	case u.health.votesFor(now):
		served++
	}
	against := failing > failingFactor*served
	switch {
	case u.outvoted.now(now):
	case against && u.shared.Failing > 0 && (failing >= goneWitnesses || u.trialFailed(now)):
		var d time.Duration
		u.outvoted, d = u.outvoted.with(now)
		return Outvoted{ID: u.ID, Failing: failing, Served: served, For: d}, true
	case against && u.outvoted.trial(now):
		u.outvoted = u.outvoted.withVote(now)
	case served > 0, !u.outvoted.trial(now):
		u.outvoted = outvoted{}
	}
	return Outvoted{}, false
}

// trialFailed reports whether this gateway's own trial of the upstream failed.
func (u *upstream) trialFailed(now time.Time) bool {
	return u.outvoted.trial(now) && u.health.votesAgainst(now) && u.health.badAt.After(u.outvoted.until)
}
