package gatewayd

import (
	"math"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/reader"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// storeFailed notes that the store did not answer this gateway: it leaves the store to
// others, and those who follow it learn so at once. It runs in the control goroutine.
func (s *Server) storeFailed(now time.Time) {
	s.fleet.StoreFailed(now)
	s.storeLostAt = now
	s.storeFailedAt = now
	s.wakeFollowers()
}

// storeAnswered notes that the store answered this gateway. If a call has failed since
// what is known was proved, of this gateway or of another one, entries may have lapsed in
// between. It runs in the control goroutine.
func (s *Server) storeAnswered(now time.Time) {
	s.fleet.StoreAnswered()
	view := s.view.Load()
	if view.Table != nil && s.storeFailedAt.After(view.NewestAt) && view.Age(now) > reader.OutageThreshold {
		s.roster.Recovered(s.storeFailedAt)
	}
}

// hearOfStore takes what another gateway says of its calls to the store. It runs in the
// control goroutine.
func (s *Server) hearOfStore(now time.Time, address string, resp *gladegaugev1.FollowResponse) {
	if ms := resp.GetBackoffMs(); ms > 0 {
		s.fleet.SetPeerBackoff(now, address, time.Duration(ms)*time.Millisecond)
	}
	if resp.FailedAgeMs == nil {
		return
	}
	if at := now.Add(-time.Duration(resp.GetFailedAgeMs()) * time.Millisecond); at.After(s.storeFailedAt) {
		s.storeFailedAt = at
	}
}

// unproved is the age that is told of a configuration that nothing proves.
const unproved = math.MaxInt32

// ageToTell is the age of the proof of the configuration in force; nil if there is none in
// force.
func (s *Server) ageToTell(now time.Time) *uint32 {
	view := s.view.Load()
	if view.Table == nil {
		return nil
	}
	if view.NewestAt.IsZero() {
		age := uint32(unproved)
		return &age
	}
	return millisecondsSince(now, view.NewestAt)
}
