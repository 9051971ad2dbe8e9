// Package overload does admission control for pools that get more prompt tokens than they
// can prefill.
//
// # Problem
//
// For many seconds more prompts arrive than the engines can read. If all are admitted,
// all wait until few are in time and many are abandoned after they were read. Streams
// stall at engines that prefill without a pause, so that more of them run concurrently,
// and each token takes still longer.
//
// So a request that would wait too long for its prefill is rejected at once, with the
// time after which it is expected to fit. Only the least urgent requests of a pool are
// rejected: urgent ones go before them in the engines' queues, and no request is rejected
// to make room for less urgent ones. As the wait decides, some requests are always
// admitted, large or small.
//
// # Threshold
//
// A queue that a burst leaves and that drains again does no harm, and rejecting its
// requests has no benefit. A standing queue delays all requests for as long as it stands.
// They are distinguished by the mean wait of the requests in the last second: while it is
// short, a request may wait for most of its target or all of it; once it is long, for a
// small part only, until the queue has drained. A single limit for both cases was worse
// for either.
//
// # Order of rejection
//
// Engines that prefill without a pause generate tokens slowly. A long answer that cannot
// be complete before its caller gives up is rejected first: its prefill would be wasted,
// and takes the place of two or three that can be complete. Among the others, the
// organisations that got the most are rejected first (package fairness).
//
// # Usage
//
//	if retryAfter := queue.CheckAdmission(now, overload.AdmissionRequest{Target: target, Wait: wait}); retryAfter > 0 {
//		refuse(retryAfter)
//	}
//	queue.ResponseStarted(now, waited)
package overload

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/fairness"
	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

const (
	// burstShare is the part of its target that a request may wait while there is no
	// standing queue: most requests that a lower limit rejects would have been in time.
	burstShare = 0.8
	// lightShare is the same for organisations that got less than others (package fairness).
	lightShare = 1.0
	// standingThreshold is the mean wait, as a part of the target, above which a queue is
	// a standing one.
	standingThreshold = 0.45
	// standingShare is the part of its target that a request may wait while there is a
	// standing queue. It is about two long prompts: enough work for the engines until the
	// next prompts arrive.
	standingShare = 0.15
	// averagingWindow is the time over which waits are averaged: longer than a report of
	// the other gateways takes, and shorter than the bursts that the mean must not smooth
	// away.
	averagingWindow = time.Second
	// maxWeight is the maximum weight of one request in that mean: a gateway that gets
	// few requests must not take the first long wait for a standing queue.
	maxWeight = 0.2
	// growingThreshold is the mean wait, as a part of the target, above which requests
	// are rejected that will not be complete in time: at the current speed their answers
	// would end later than completionShare of the time that their callers still wait.
	growingThreshold = 0.3
	// completionShare is below one as callers' estimates of their answers' lengths are
	// far off.
	completionShare = 0.8
	// lightCompletionShare is the same for organisations that are known to get less than
	// others across the fleet: a third of their rejections under floods of others were of
	// answers that the estimate put just before their end.
	lightCompletionShare = 1.0
	// contendedThreshold is the mean wait, as a part of the target, above which an
	// organisation that is known to be above the level across the fleet may wait for
	// standingShare only. One that floods the pool fills the queue before it counts as a
	// standing one. In replays with 29 gateways, 0.3 instead of 0.1 caused more than twice
	// as many rejections of the others with a flood through one gateway.
	contendedThreshold = 0.1
	// ownWaitShare is the part of standingShare that this gateway must have measured
	// itself: reports of others may be wrong and do not suffice to reject a request.
	ownWaitShare = 0.5
	// ownWaitWeight is the weight of the latest request in the measured waits, and
	// ownWaitRetention how long they are valid.
	ownWaitWeight    = 0.2
	ownWaitRetention = 5 * time.Second
	// minRetryFactor and maxRetryFactor bound the time after which a caller should retry,
	// as a multiple of the excess wait. Prompts keep arriving meanwhile, and callers that
	// retry immediately would wait again.
	minRetryFactor = 1.0
	maxRetryFactor = 2.0
	// minRetryAfter is the minimum of that time: a few engine steps.
	minRetryAfter = 50 * time.Millisecond
)

// AdmissionRequest is a request of the least urgent tier of a pool.
type AdmissionRequest struct {
	// Target is the time limit for its first event.
	Target time.Duration
	// Wait is its expected wait until prefill at the best upstream that was found.
	// Pending returns the longest time that such a request of this gateway has been
	// waiting; it is called only if the decision depends on it.
	Wait    time.Duration
	Pending func() time.Duration
	// Completion is the expected time from now until its answer is complete, and TimeLeft
	// how long its caller still waits; both are 0 if unknown.
	Completion time.Duration
	TimeLeft   time.Duration
	// Organisation is the caller's organisation, Tokens the number of tokens that the
	// engine would have to prefill.
	Organisation uint64
	Tokens       int
	// Hash spreads the retry times of callers.
	Hash uint64
}

// Queue is what one gateway knows of the waits at one pool. The zero value is empty. It
// is not safe for concurrent use.
type Queue struct {
	// meanWait is the mean expected wait of the requests, as a part of their targets.
	meanWait  float64
	updatedAt time.Time
	// ownWait is the mean measured time to the first event.
	ownWait   time.Duration
	ownWaitAt time.Time
	shares    fairness.Shares
}

// ResponseStarted records the time until the first event of a request of the least urgent
// tier.
func (q *Queue) ResponseStarted(now time.Time, waited time.Duration) {
	if q.ownWaitAt.IsZero() || now.Sub(q.ownWaitAt) > ownWaitRetention {
		q.ownWait = waited
	}
	q.ownWait += time.Duration(ownWaitWeight * float64(waited-q.ownWait))
	q.ownWaitAt = now
}

// CheckAdmission returns the time after which the caller should retry, or 0 if the
// request is admitted.
func (q *Queue) CheckAdmission(now time.Time, a AdmissionRequest) time.Duration {
	if a.Target <= 0 {
		return 0
	}
	q.observeWait(now, a)
	q.shares.RecordRequest(now, a.Organisation, a.Tokens)
	if q.meanWait > growingThreshold {
		q.shares.MarkContended(now)
	}
	excess := max(a.Wait-fraction(q.waitShare(now, a), a.Target), q.lateBy(now, a))
	if excess <= 0 || !q.ownWaitsLong(now, a) {
		q.shares.RecordAdmitted(now, a.Organisation, a.Tokens)
		return 0
	}
	q.shares.MarkContended(now)
	spread := minRetryFactor + (maxRetryFactor-minRetryFactor)*rendezvous.Fraction(a.Hash)
	return max(minRetryAfter, fraction(spread, excess))
}

// lateBy is by how much the answer would be complete too late while a queue grows; 0 or
// less if it would be in time.
func (q *Queue) lateBy(now time.Time, a AdmissionRequest) time.Duration {
	if q.meanWait <= growingThreshold || a.TimeLeft <= 0 {
		return 0
	}
	share := completionShare
	if q.shares.KnowsOthers() && !q.shares.AboveLevel(now, a.Organisation) {
		share = lightCompletionShare
	}
	return a.Completion - fraction(share, a.TimeLeft)
}

// Shares returns the use of the pool by organisations. The caller adds what other gateways
// reported.
func (q *Queue) Shares() *fairness.Shares { return &q.shares }

// Standing reports whether there is a standing queue.
func (q *Queue) Standing() bool { return q.meanWait > standingThreshold }

// waitShare is the part of its target that a request may wait.
func (q *Queue) waitShare(now time.Time, a AdmissionRequest) float64 {
	switch {
	case !q.shares.AboveLevel(now, a.Organisation):
		return lightShare
	case q.Standing(), q.shares.KnowsOthers() && q.meanWait > contendedThreshold:
		return standingShare
	default:
		return burstShare
	}
}

// observeWait adds the expected wait of a request to the mean.
func (q *Queue) observeWait(now time.Time, a AdmissionRequest) {
	wait := min(1, float64(a.Wait)/float64(a.Target))
	if q.updatedAt.IsZero() {
		q.updatedAt = now
	}
	weight := min(maxWeight, float64(now.Sub(q.updatedAt))/float64(averagingWindow))
	q.meanWait += weight * (wait - q.meanWait)
	q.updatedAt = now
}

// ownWaitsLong reports whether such requests of this gateway wait long for their first
// event, judged by those that had it recently or those that still wait for it.
func (q *Queue) ownWaitsLong(now time.Time, a AdmissionRequest) bool {
	enough := fraction(ownWaitShare*standingShare, a.Target)
	recent := !q.ownWaitAt.IsZero() && now.Sub(q.ownWaitAt) <= ownWaitRetention
	return (recent && q.ownWait >= enough) || a.Pending() >= enough
}

// fraction returns a part of a duration.
func fraction(share float64, d time.Duration) time.Duration {
	return time.Duration(share * float64(d))
}
