package balance

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/admission"
)

// While more calls of a plain service arrive than its replicas can run, calls wait at the
// gateway instead of in the replicas' queues (package admission). The room of a pool is
// what that decision is based on.

const (
	// slotTimeWeight is the minimum weight of the latest answer in the mean time in a slot.
	slotTimeWeight = 0.05
	// maxSlotTimeSample bounds a sample as a multiple of the reference, since one call in a
	// hundred takes many times as long as the others.
	maxSlotTimeSample = 4.0
	// referenceInterval is the minimum time between two updates of the reference.
	referenceInterval = time.Second
)

// service is what a gateway knows of a pool without a model engine.
type service struct {
	// slotTime is the mean time that a call takes in a slot, in milliseconds, over the
	// given number of answers; 0 before the first.
	slotTime float64
	answers  int
	// reference is slotTime as of referenceAt, by which samples are bounded. A host that was
	// suspended gets many late answers at once, and by a bound that moves with each of them
	// 24 answers of two seconds raised a mean of 60 ms to 1,046 ms.
	reference   float64
	referenceAt time.Time
	// rejectedAt is when an upstream last rejected a call for lack of capacity.
	rejectedAt time.Time
	// draw is the latest random number by which an upstream was drawn.
	draw float64
}

// observeSlotTime adds the duration of a call that was answered with the load. A call at an
// upstream with queued calls has spent a part of its duration in the queue.
func (s *service) observeSlotTime(now time.Time, d time.Duration, l Load) {
	if d <= 0 || l.Slots <= 0 || l.Running < 0 || l.Waiting < 0 {
		return
	}
	sample := milliseconds(d) / max(1, float64(l.Running+l.Waiting)/float64(l.Slots))
	if s.answers > 0 {
		sample = min(sample, maxSlotTimeSample*s.reference)
	}
	s.answers++
	s.slotTime += max(slotTimeWeight, 1/float64(s.answers)) * (sample - s.slotTime)
	if s.referenceAt.IsZero() || now.Sub(s.referenceAt) >= referenceInterval {
		s.reference, s.referenceAt = s.slotTime, now
	}
}

// ServiceAnswered records the load that came with the answer to a call of a plain service.
func (t *Table) ServiceAnswered(now time.Time, c Choice, l Load) {
	u, ok := t.upstreams[c.ID]
	if !ok || c.prompt.Tokens > 0 {
		return
	}
	if p := t.pool(u.Pool); p.engine == nil {
		p.service.observeSlotTime(now, now.Sub(c.pickedAt), l)
	}
}

// Room returns the room of a pool, without the share and the fairness of this gateway. It
// returns false for pools to which admission does not apply: those with model engines,
// those whose upstreams state no slots or have not reported a load with an answer, and
// those with rate limits, whose requests are paced by turns.
func (t *Table) Room(now time.Time, pool string) (admission.Room, bool) {
	p, ok := t.pools[pool]
	if !ok || p.engine != nil || p.service.answers == 0 {
		return admission.Room{}, false
	}
	room := admission.Room{
		Work:       duration(p.service.slotTime),
		ReportAge:  -1,
		RejectedAt: p.service.rejectedAt,
	}
	for _, u := range t.usable(now, p, Request{Pool: pool}) {
		if u.Slots <= 0 || u.limit.Announced {
			return admission.Room{}, false
		}
		room.Slots += u.Slots
		room.Own += len(u.running)
		room.InFlight += u.latestInFlight(now)
		room.ReportAge = max(room.ReportAge, u.reportAge(now))
	}
	return room, true
}

// latestInFlight estimates the number of requests at the upstream like inFlight, by what is
// newer: the reports of other gateways, or the load that came with an answer. Answers of a
// plain service come several times as often as reports.
func (u *upstream) latestInFlight(now time.Time) float64 {
	if !u.answerIsNewer(now) {
		return u.inFlight(now)
	}
	return float64(len(u.running) + max(0, u.load.Running+u.load.Waiting-u.load.ownRunning))
}

// answerIsNewer reports whether the load that came with the latest answer is newer than the
// reports of other gateways.
func (u *upstream) answerIsNewer(now time.Time) bool {
	return u.load.known && u.hasPeerLoad(now) && u.load.at.After(u.peerLoadAt)
}

// reportAge is the age of what latestInFlight is based on; negative if there is nothing.
func (u *upstream) reportAge(now time.Time) time.Duration {
	switch {
	case u.hasPeerLoad(now) && !u.answerIsNewer(now):
		return now.Sub(u.peerLoadAt)
	case u.load.known && now.Sub(u.load.at) < loadTTL:
		return now.Sub(u.load.at)
	default:
		return -1
	}
}
