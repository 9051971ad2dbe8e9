package suspect

import (
	"encoding/binary"
	"time"
)

// Bounds of what is remembered of sound requests.
const (
	// soundFor is how long at least an answer speaks for a request: what is asked for
	// again and again is answered in between. A request that was answered and then
	// begins to end upstreams is blocked up to twice as long after its last answer.
	soundFor = 30 * time.Second
	// soundKept bounds the requests that are remembered in that time, at some 20 bytes
	// each.
	soundKept = 4096
)

// sound is the requests that were answered a while ago. Requests that are asked for by
// many are at the ends of upstreams by chance, and would be refused (TestReplays).
type sound struct {
	latest, before map[uint64]struct{}
	// turnedAt is when the latest ones began.
	turnedAt time.Time
}

// turn forgets what is old.
func (s *sound) turn(now time.Time) {
	age := now.Sub(s.turnedAt)
	if s.latest != nil && age < soundFor {
		return
	}
	s.before = s.latest
	if age >= 2*soundFor {
		s.before = nil
	}
	s.latest = make(map[uint64]struct{})
	s.turnedAt = now
}

func (s *sound) add(now time.Time, p Print) {
	s.turn(now)
	if len(s.latest) < soundKept {
		s.latest[short(p)] = struct{}{}
	}
}

func (s *sound) has(now time.Time, p Print) bool {
	s.turn(now)
	_, latest := s.latest[short(p)]
	_, before := s.before[short(p)]
	return latest || before
}

// short is the beginning of a print.
func short(p Print) uint64 { return binary.BigEndian.Uint64(p[:]) }
