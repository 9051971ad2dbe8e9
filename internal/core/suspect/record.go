package suspect

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of the evidence.
const (
	// quarantineAt and blockAt are the ends under a request that make it a suspect,
	// and that block it.
	quarantineAt = 2
	blockAt      = 3
	// certainAt is the ends that block a request even if another one was at all of
	// them as well. A suspect runs where it meets few others, so that two that are
	// still together then come in pairs.
	certainAt = 4
	// wordSlack is how much the times of two gateways' words may differ by: what a word
	// takes on its way, with some waiting.
	wordSlack = 20 * time.Millisecond
	// endsOfOne is how many ends count by the word of one other gateway: it may be
	// confused, or its links may be bad.
	endsOfOne = 2
	// endsKept bounds the ends that are remembered of a request.
	endsKept = 8
)

// end is a start of an upstream that ended under a request.
type end struct {
	start   uint64
	witness uint64
	at      time.Time
	// ran is how long before it the request had been sent there.
	ran time.Duration
}

// follows reports whether the request was sent there after the other end. If not, one
// cause may have ended both (a rack, a fault of the network), or copies of the request:
// they count once.
func (e end) follows(other time.Time) bool {
	return !e.at.Add(wordSlack - e.ran).Before(other)
}

// record is what is known of one request.
type record struct {
	// round rises each time the request is cleared: what was seen in an earlier one
	// no longer counts.
	round uint32
	// ends are in the order of their times.
	ends []end
	// changedAt is when the latest end was, or when it was cleared.
	changedAt time.Time
	// running is the number of its runs of this gateway that are under way.
	running int
}

// begin starts a round.
func (r *record) begin(now time.Time, round uint32) {
	r.round = round
	r.ends = nil
	r.changedAt = now
}

// add notes an end. It reports false if the end is known already.
func (r *record) add(e end, self uint64) bool {
	for i := range r.ends {
		if r.ends[i].start != e.start {
			continue
		}
		if e.witness == self {
			r.ends[i].witness = self
		}
		return false
	}
	r.ends = append(r.ends, e)
	slices.SortStableFunc(r.ends, func(a, b end) int { return a.at.Compare(b.at) })
	r.ends = r.ends[max(0, len(r.ends)-endsKept):]
	r.changedAt = later(r.changedAt, e.at)
	return true
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// count is the number of ends that count.
func (r *record) count(self uint64) int {
	n := 0
	var last time.Time
	told := make(map[uint64]int, len(r.ends))
	for _, e := range r.ends {
		if e.witness != self && told[e.witness] == endsOfOne {
			continue
		}
		if n > 0 && !e.follows(last) {
			continue
		}
		told[e.witness]++
		n++
		last = e.at
	}
	return n
}

// covers reports whether the request was at all ends of the other one.
func (r *record) covers(other *record) bool {
	for _, e := range other.ends {
		if !slices.ContainsFunc(r.ends, func(own end) bool { return own.start == e.start }) {
			return false
		}
	}
	return true
}

// lessWorth orders records by what is forgotten first: those with the fewest ends,
// and the oldest of them.
func lessWorth(a, b *record) int {
	if c := cmp.Compare(len(a.ends), len(b.ends)); c != 0 {
		return c
	}
	return a.changedAt.Compare(b.changedAt)
}
