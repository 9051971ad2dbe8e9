package occupancy

import (
	"maps"
	"time"
)

// A relay answers each report of its zone with the sum of all others. Adding them all up
// for each answer would take members times upstreams operations, 150 times per second. So
// the sum is maintained incrementally: a report that arrives or expires changes only the
// upstreams that it contains.

// rebuildInterval is how often the sum is recomputed, because incremental sums of
// floating-point values accumulate rounding errors.
const rebuildInterval = time.Second

// reportSet holds the latest reports of several gateways, cells or zones, and their sum.
// The zero value is not usable.
type reportSet struct {
	by        map[string]report
	sum       Loads
	rebuiltAt time.Time
}

// newReportSet returns an empty set.
func newReportSet() *reportSet { return &reportSet{by: make(map[string]report), sum: make(Loads)} }

// record replaces the report of one sender.
func (s *reportSet) record(now time.Time, from string, l Loads) {
	s.sum.subtract(s.by[from].loads)
	s.by[from] = report{loads: l, at: now}
	s.sum.add(l)
}

// expire drops the reports that are older than ttl.
func (s *reportSet) expire(now time.Time, ttl time.Duration) {
	for from, r := range s.by {
		if now.Sub(r.at) > ttl {
			s.sum.subtract(r.loads)
			delete(s.by, from)
		}
	}
	if now.Sub(s.rebuiltAt) < rebuildInterval {
		return
	}
	s.rebuiltAt = now
	clear(s.sum)
	for _, r := range s.by {
		s.sum.add(r.loads)
	}
}

// sumExcept returns a copy of the sum without the report of one sender.
func (s *reportSet) sumExcept(from string) Loads {
	sum := maps.Clone(s.sum)
	sum.subtract(s.by[from].loads)
	return sum
}
