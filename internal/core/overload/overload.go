// Package overload decides who is turned away when a pool has more to read than it
// can.
//
// # The load that this answers
//
// More prompts come than the engines can read, for many seconds. If all are taken, all
// wait until few are in time and many are given up after they were read. Streams pause
// beside engines that never stop reading, so that more of them run at once, and each
// token takes still longer.
//
// So a request that would wait for too long before it is read is turned away at once,
// with the time after which it is expected to fit. Only the least urgent requests of a
// pool are: urgent ones go before them in the engines' queues, and nothing is turned
// away to make room for what stands below it. As the wait is what decides, some are
// always taken, large or small.
//
// # What is too long
//
// A queue that a burst leaves and that goes away again does no harm, and to turn its
// requests away helps nobody. A queue that stands makes everybody late for as long as it
// stands. They are told apart by the wait that requests meet in the mean of the last
// second: while it stays short, a request may wait for most of its target or all of it;
// once it does not, for a small part only, until the queue is gone. One limit for both was
// worse on either side.
//
// # Who goes first
//
// Engines that read without a pause make tokens slowly. A long answer that cannot be
// complete before its caller leaves is turned away before others are: its reading would
// be for nothing, and takes the place of two or three that can be. Among the rest, the
// organisations that got the most are turned away first (shares.go).
//
// # Usage
//
//	if comeBack := queue.TurnAway(now, overload.Ask{Target: target, Wait: wait}); comeBack > 0 {
//		refuse(comeBack)
//	}
//	queue.Began(now, waited)
package overload

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

const (
	// burstShare is the part of its target that a request may wait while no queue
	// stands: most of what is turned away below it would have been in time.
	burstShare = 0.8
	// lightShare is that of organisations that got less than others (shares.go).
	lightShare = 1.0
	// standingFrom is the mean wait, as a part of the target, from which on a queue
	// stands.
	standingFrom = 0.45
	// standingShare is the part of its target that a request may wait while a queue
	// stands. It is about two long prompts: enough that engines have something to read
	// until the next ones come.
	standingShare = 0.15
	// memory is the time over which waits are averaged: longer than a word of the other
	// gateways takes, and shorter than the bursts that are to be told from it.
	memory = time.Second
	// weightMost is the most that one request counts in that mean: a gateway that gets
	// few must not take the first long wait for a queue that stands.
	weightMost = 0.2
	// growingFrom is the mean wait, as a part of the target, from which on those are
	// turned away that will not be complete in time: at the pace of that moment their
	// answers would end later than fitShare of the time that their callers have left.
	growingFrom = 0.3
	// fitShare is below one as callers' guesses of their answers are far off.
	fitShare = 0.8
	// seenShare is the part of standingShare that this gateway must have seen itself:
	// what others tell may be wrong, and turns nobody away alone.
	seenShare = 0.5
	// seenWeight is the weight of the latest request in the waits that were seen, and
	// seenKeep how long they count.
	seenWeight = 0.2
	seenKeep   = 5 * time.Second
	// comeBackLeast and comeBackMost bound the time after which to come back, as a
	// multiple of what is too much of the wait. Prompts come on meanwhile, and callers
	// that come back at once would wait again.
	comeBackLeast = 1.0
	comeBackMost  = 2.0
	// comeBackFirst is the shortest such time: a few steps of an engine.
	comeBackFirst = 50 * time.Millisecond
)

// Ask is a request of the least urgent ones of a pool.
type Ask struct {
	// Target is the time to its first event that is still in time.
	Target time.Duration
	// Wait is how long it is expected to wait before it is read, at the best upstream
	// that was found, and Pending tells the longest time that such a request of this
	// gateway has waited until now. It is asked only where it decides.
	Wait    time.Duration
	Pending func() time.Duration
	// End is how long its whole answer is expected to take from now, and Left how long
	// its caller waits; both 0 if nothing is known of that.
	End  time.Duration
	Left time.Duration
	// Organisation is who asks, Tokens what the engine would have to read.
	Organisation uint64
	Tokens       int
	// Hash spreads the times after which callers come back.
	Hash uint64
}

// Queue is what one gateway knows of the waits at one pool. The zero value is empty.
// It is not safe for concurrent use.
type Queue struct {
	// mean is the mean wait that requests met, as a part of their targets.
	mean float64
	at   time.Time
	// seen is the mean time to the first event.
	seen   time.Duration
	seenAt time.Time
	shares shares
}

// Began notes that the first event of one of the least urgent requests came after the
// time.
func (q *Queue) Began(now time.Time, waited time.Duration) {
	if q.seenAt.IsZero() || now.Sub(q.seenAt) > seenKeep {
		q.seen = waited
	}
	q.seen += time.Duration(seenWeight * float64(waited-q.seen))
	q.seenAt = now
}

// TurnAway returns the time after which the request is to come back; 0 if it may go
// now.
func (q *Queue) TurnAway(now time.Time, a Ask) time.Duration {
	if a.Target <= 0 {
		return 0
	}
	q.meet(now, a)
	q.shares.ask(now, a.Organisation, a.Tokens)
	over := max(a.Wait-part(q.share(now, a), a.Target), q.tooLong(a))
	if over <= 0 || !q.sawWaits(now, a) {
		q.shares.take(now, a.Organisation, a.Tokens)
		return 0
	}
	spread := comeBackLeast + (comeBackMost-comeBackLeast)*rendezvous.Fraction(a.Hash)
	return max(comeBackFirst, part(spread, over))
}

// tooLong is by how much the whole answer would be too late while a queue grows; 0 or
// less if it would not.
func (q *Queue) tooLong(a Ask) time.Duration {
	if q.mean <= growingFrom || a.Left <= 0 {
		return 0
	}
	return a.End - part(fitShare, a.Left)
}

// Standing reports whether a queue stands.
func (q *Queue) Standing() bool { return q.mean > standingFrom }

// share is the part of its target that a request may wait.
func (q *Queue) share(now time.Time, a Ask) float64 {
	switch {
	case !q.shares.heavy(now, a.Organisation):
		return lightShare
	case q.Standing():
		return standingShare
	default:
		return burstShare
	}
}

// meet takes the wait that a request meets into the mean.
func (q *Queue) meet(now time.Time, a Ask) {
	wait := min(1, float64(a.Wait)/float64(a.Target))
	if q.at.IsZero() {
		q.at = now
	}
	weight := min(weightMost, float64(now.Sub(q.at))/float64(memory))
	q.mean += weight * (wait - q.mean)
	q.at = now
}

// sawWaits reports whether such requests of this gateway wait long enough for their
// first event, by those that had it lately or by those that wait for it.
func (q *Queue) sawWaits(now time.Time, a Ask) bool {
	enough := part(seenShare*standingShare, a.Target)
	recent := !q.seenAt.IsZero() && now.Sub(q.seenAt) <= seenKeep
	return (recent && q.seen >= enough) || a.Pending() >= enough
}

// part returns a part of a time.
func part(share float64, d time.Duration) time.Duration {
	return time.Duration(share * float64(d))
}
