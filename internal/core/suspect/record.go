package suspect

import (
	"cmp"
	"slices"
	"time"
)

// Thresholds and bounds of the evidence.
const (
	// quarantineAt and blockAt are the numbers of crashes that quarantine and block a
	// fingerprint.
	quarantineAt = 2
	blockAt      = 3
	// blockAmongMany is the number of crashes that block a part of prompts that was present at
	// only a few of the crashes of its time, as by chance; fewShare is the share of the
	// crashes below which they are few.
	blockAmongMany = 5
	fewShare       = 0.35
	// blockCommon is the number of crashes that block a part that most requests have: it is at
	// every crash, whatever the cause. commonShare is the share of the requests from which on
	// that is so, and minArrivals the number of requests from which on it is known.
	blockCommon = 8
	commonShare = 0.5
	minArrivals = 10
	// unconditionalBlockAt is the number of crashes that block a request even if another
	// one was present at all of them. A quarantined request runs where there are few
	// others, so that two requests still found together after that are sent in pairs.
	unconditionalBlockAt = 4
	// observationSlack is the tolerated difference between the times of two gateways'
	// observations: the delivery time of one, including some queueing.
	observationSlack = 20 * time.Millisecond
	// sameInstant is the time within which crashes that overlap may have one cause, such as
	// the failure of a rack.
	sameInstant = 50 * time.Millisecond
	// overlapWeight is the share of a crash that counts if the run there overlapped with the
	// one before, but did not end with it.
	overlapWeight = 0.5
	// maxCrashesPerWitness is the number of crashes that count on the report of one other
	// gateway alone, which may be faulty or have bad links.
	maxCrashesPerWitness = 2
	// maxCrashes bounds the crashes kept for a fingerprint.
	maxCrashes = 10
)

// crash is an upstream incarnation that crashed while running a request.
type crash struct {
	incarnation uint64
	witness     uint64
	at          time.Time
	// ran is the time from sending the request there to the crash.
	ran time.Duration
	// verified is true once this gateway found that the incarnation has ended.
	verified bool
}

// follows reports whether the request was sent there after the other crash. If not, both
// crashes may have one cause (a rack, a network fault) or belong to copies of the request,
// and they count once.
func (c crash) follows(other time.Time) bool {
	return !c.at.Add(observationSlack - c.ran).Before(other)
}

// record is the evidence about one fingerprint.
type record struct {
	// round is incremented each time the fingerprint is cleared; observations of earlier
	// rounds no longer count.
	round uint32
	// crashes are ordered by time.
	crashes []crash
	// changedAt is the time of the latest crash, or of the last clearing.
	changedAt time.Time
	// running is the number of quarantined runs in progress at this gateway.
	running int
	// crashesAround is the number of crashes of all causes in the window before the latest
	// crash. It is set once there are enough for a block.
	crashesAround int
	// arrivals is the number of requests with it that arrived here, and before the number of
	// all requests with prompts that had arrived before the record was created.
	arrivals, before int
	// common is true if most requests had it by the latest crash.
	common bool
	// trial is true while this gateway runs it once more after a block, triedAgain from then
	// on.
	trial, triedAgain bool
}

// partBlockAt is the number of crashes that block a part of prompts. Many requests share it, so
// that it is at more crashes by chance than a single request.
func (r *record) partBlockAt() int {
	switch {
	case r.common:
		return blockCommon
	case float64(len(r.crashes)) < fewShare*float64(r.crashesAround):
		return blockAmongMany
	default:
		return blockAt
	}
}

// updateCommon determines whether most requests have the part, by those with prompts that
// arrived at this gateway since the first crash, of so many in all. Once a part is blocked, no
// crash follows and the result stays: what arrives then depends on who goes on to send it.
func (r *record) updateCommon(arrivals int) {
	since := arrivals - r.before
	r.common = since >= minArrivals && float64(r.arrivals) > commonShare*float64(since)
}

// last returns the latest crash.
func (r *record) last() crash { return r.crashes[len(r.crashes)-1] }

func (r *record) startRound(now time.Time, round uint32) {
	r.round = round
	r.crashes = nil
	r.trial, r.triedAgain = false, false
	r.changedAt = now
}

// add adds a crash. It returns false if the crash is known already.
func (r *record) add(c crash, self uint64) bool {
	for i := range r.crashes {
		if r.crashes[i].incarnation != c.incarnation {
			continue
		}
		if c.witness == self {
			r.crashes[i].witness = self
		}
		return false
	}
	r.crashes = append(r.crashes, c)
	slices.SortStableFunc(r.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	r.crashes = r.crashes[max(0, len(r.crashes)-maxCrashes):]
	r.changedAt = later(r.changedAt, c.at)
	return true
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// count is the number of crashes that count as evidence. Those that only one other gateway
// reported count in full if this gateway verified that the upstreams have ended and trusts such
// reports; otherwise they count up to maxCrashesPerWitness, overlaps among them.
func (r *record) count(self uint64, trusted bool) int {
	n := 0.0
	var last time.Time
	counted := make(map[uint64]float64, len(r.crashes))
	for _, c := range r.crashes {
		weight := 1.0
		if n > 0 && !c.follows(last) {
			if c.at.Sub(last) <= sameInstant {
				continue
			}
			weight = overlapWeight
		}
		full := c.witness == self || (c.verified && trusted)
		if !full && counted[c.witness]+weight > maxCrashesPerWitness {
			continue
		}
		counted[c.witness] += weight
		n += weight
		if weight == 1 {
			last = c.at
		}
	}
	return int(n)
}

// has reports whether the fingerprint was present at the crash of the incarnation.
func (r *record) has(incarnation uint64) bool {
	return slices.ContainsFunc(r.crashes, func(c crash) bool { return c.incarnation == incarnation })
}

// covers reports whether the fingerprint was present at all crashes of the other one.
func (r *record) covers(other *record) bool {
	return !slices.ContainsFunc(other.crashes, func(c crash) bool { return !r.has(c.incarnation) })
}

// compareForEviction orders records for eviction: those with the fewest crashes first, and
// the oldest first among them.
func compareForEviction(a, b *record) int {
	if c := cmp.Compare(len(a.crashes), len(b.crashes)); c != 0 {
		return c
	}
	return a.changedAt.Compare(b.changedAt)
}
