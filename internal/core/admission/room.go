package admission

import (
	"math"
	"time"
)

const (
	// replicaQueueShare is the part of a call's target that it may spend in a replica's
	// queue. A queue of that length keeps the slots busy while reports are old, and a call
	// that enters it is still in time after a call of one and a half times the usual
	// length.
	replicaQueueShare = 0.25
	// workFactor is the multiple of the mean time in a slot that is assumed for a call:
	// some 85 of 100 calls take less if times are log-normal with a sigma of 0.5.
	workFactor = 1.5
	// contentionHold is how long a pool counts as contended after the limit was reached or
	// a replica rejected a call for lack of capacity: about the age of a report.
	contentionHold = 500 * time.Millisecond
	// minCorrectionTime is the shortest time over which a difference between the requests
	// in flight and the limit is corrected: two reports of a small fleet.
	minCorrectionTime = 200 * time.Millisecond
	// correctionAges is the same time as a multiple of the age of reports. Correcting
	// within a single age would overshoot, as the effect is not seen before.
	correctionAges = 2.0
	// minRateShare and maxRateShare bound the corrected rate as a multiple of the pool's
	// rate, so that no report stops or floods a pool.
	minRateShare = 0.5
	maxRateShare = 1.5
	// burstCalls is the number of calls that a gateway may send at once. With a single one, many gateways that get few calls each use only two
	// thirds of their shares, as calls arrive at random.
	burstCalls = 3
)

// Room is what a gateway knows of the capacity of a pool at a time.
type Room struct {
	// Slots is the number of calls that the available upstreams run concurrently.
	Slots int
	// InFlight is the estimated number of calls of all gateways at these upstreams, and Own
	// that of this gateway.
	InFlight float64
	Own      int
	// ReportAge is the age of the oldest report on the calls of other gateways; negative if
	// there are none, in which case the rate is not corrected.
	ReportAge time.Duration
	// Work is the mean time that a call takes in a slot.
	Work time.Duration
	// Share is this gateway's share of the fleet's demand, from 0 to 1.
	Share float64
	// AboveShare reports whether an organisation is above its fair share of the pool; nil
	// if that is unknown.
	AboveShare func(organisation uint64) bool
	// RejectedAt is when an upstream last rejected a call for lack of capacity; zero if
	// none did.
	RejectedAt time.Time
}

// valid reports whether calls can be paced by the room. Calls of a pool without valid room
// are not held up.
func (r Room) valid() bool {
	return r.Slots > 0 && r.Work > 0 && r.Share > 0 && r.Share <= 1
}

// inFlight is the number of calls in flight, at least those of this gateway.
func (r Room) inFlight() float64 {
	own := float64(max(0, r.Own))
	if math.IsNaN(r.InFlight) || math.IsInf(r.InFlight, 0) {
		return own
	}
	return max(own, r.InFlight)
}

// rate is the number of calls per second that the pool runs.
func (r Room) rate() float64 { return float64(r.Slots) / r.Work.Seconds() }

// limit is the number of calls in flight up to which calls are sent without delay.
func (r Room) limit(target time.Duration) float64 {
	return float64(r.Slots) + replicaQueueShare*target.Seconds()*r.rate()
}

// pace is the number of calls per second that this gateway sends while the pool is
// contended.
func (r Room) pace(target time.Duration) float64 {
	if r.ReportAge < 0 {
		return r.Share * r.rate()
	}
	correction := max(minCorrectionTime, time.Duration(correctionAges*float64(r.ReportAge)))
	rate := r.rate() + (r.limit(target)-r.inFlight())/correction.Seconds()
	return r.Share * min(max(rate, minRateShare*r.rate()), maxRateShare*r.rate())
}

// burst is the number of calls that this gateway may send at once while the pool is
// contended: its share of the room, and one more.
func (r Room) burst(target time.Duration) float64 {
	return burstCalls + r.Share*max(0, r.limit(target)-r.inFlight())
}

// rest is the expected time from sending a call to its answer.
func (r Room) rest() time.Duration {
	wait := max(0, r.inFlight()-float64(r.Slots)) / r.rate()
	return time.Duration(wait*float64(time.Second) + workFactor*float64(r.Work))
}

// above reports whether the organisation is above its fair share.
func (r Room) above(organisation uint64) bool {
	return r.AboveShare != nil && r.AboveShare(organisation)
}
