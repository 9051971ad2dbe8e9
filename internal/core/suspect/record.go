package suspect

import (
	"cmp"
	"slices"
	"time"
)

// Thresholds and bounds of the evidence.
const (
	// quarantineAt and blockAt are the numbers of crashes that quarantine and block a
	// request.
	quarantineAt = 2
	blockAt      = 3
	// unconditionalBlockAt is the number of crashes that block a request even if another
	// one was present at all of them. A quarantined request runs where there are few
	// others, so that two requests still found together after that are sent in pairs.
	unconditionalBlockAt = 4
	// observationSlack is the tolerated difference between the times of two gateways'
	// observations: the delivery time of one, including some queueing.
	observationSlack = 20 * time.Millisecond
	// maxCrashesPerWitness is the number of crashes that count on the report of one other
	// gateway, which may be faulty or have bad links.
	maxCrashesPerWitness = 2
	// maxCrashes bounds the crashes kept for a request.
	maxCrashes = 8
)

// crash is an upstream incarnation that crashed while running a request.
type crash struct {
	incarnation uint64
	witness     uint64
	at          time.Time
	// ran is the time from sending the request there to the crash.
	ran time.Duration
}

// follows reports whether the request was sent there after the other crash. If not, both
// crashes may have one cause (a rack, a network fault) or belong to copies of the request,
// and they count once.
func (c crash) follows(other time.Time) bool {
	return !c.at.Add(observationSlack - c.ran).Before(other)
}

// record is the evidence about one request.
type record struct {
	// round is incremented each time the request is cleared; observations of earlier rounds
	// no longer count.
	round uint32
	// crashes are ordered by time.
	crashes []crash
	// changedAt is the time of the latest crash, or of the last clearing.
	changedAt time.Time
	// running is the number of runs in progress at this gateway.
	running int
}

func (r *record) startRound(now time.Time, round uint32) {
	r.round = round
	r.crashes = nil
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

// count is the number of crashes that count as evidence.
func (r *record) count(self uint64) int {
	n := 0
	var last time.Time
	counted := make(map[uint64]int, len(r.crashes))
	for _, c := range r.crashes {
		if c.witness != self && counted[c.witness] == maxCrashesPerWitness {
			continue
		}
		if n > 0 && !c.follows(last) {
			continue
		}
		counted[c.witness]++
		n++
		last = c.at
	}
	return n
}

// covers reports whether the request was present at all crashes of the other one.
func (r *record) covers(other *record) bool {
	for _, c := range other.crashes {
		if !slices.ContainsFunc(r.crashes, func(own crash) bool { return own.incarnation == c.incarnation }) {
			return false
		}
	}
	return true
}

// compareForEviction orders records for eviction: those with the fewest crashes first, and
// the oldest first among them.
func compareForEviction(a, b *record) int {
	if c := cmp.Compare(len(a.crashes), len(b.crashes)); c != 0 {
		return c
	}
	return a.changedAt.Compare(b.changedAt)
}
