package balance

import "time"

// The load that this answers: an upstream lets most requests hang. Their callers leave, so
// that none of them fails; then nothing is left there, the upstream looks idle, and the
// next requests go there: one engine of seventeen that hung got 93 of the 204 requests
// that did, in waves as far apart as callers wait.
//
// A prompt that hangs counts as a request that failed, for votes and trials: with it the
// engines of the replay got 0.14 of what would meet them by chance, 0.44 before. Ejection
// stays a matter of answers, as a long wait may be the request's own. How long the work of
// a plain service takes is not known beforehand.

// hangsFrom is for how long a prompt must be overdue to be taken to hang, in milliseconds.
// It is as long as an upstream may be silent without a doubt.
const hangsFrom = float64(silenceAfter / time.Millisecond)

// noteHanging counts the prompts of this gateway at the upstream that hang.
func (u *upstream) noteHanging(now time.Time) {
	for _, r := range u.running {
		u.noteIfHanging(now, r)
	}
}

// noteIfHanging counts the prompt once if it hangs.
func (u *upstream) noteIfHanging(now time.Time, r *run) {
	if r.tokens == 0 || r.begun || r.overdue(now) < hangsFrom {
		return
	}
	if r.hangs {
		u.health.staysBad(now)
		return
	}
	r.hangs = true
	// What was sent before the last one was counted says nothing new.
	if !r.sentAt.Before(u.health.badAt) {
		u.health.wentBad(now)
	}
}
