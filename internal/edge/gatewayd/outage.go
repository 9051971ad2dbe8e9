package gatewayd

import (
	"math"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/reader"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// storeFailed records that the store did not answer this gateway. The gateway then avoids
// the store for a while, and its followers learn of that at once. It runs in the control
// loop.
func (s *Server) storeFailed(now time.Time) {
	s.fleet.StoreFailed(now)
	s.ownStoreFailedAt = now
	s.storeFailedAt = now
	s.wakeFollowers()
}

// storeAnswered records that the store answered this gateway. If a call of this or of
// another gateway has failed since the state was last proved, entries may have expired in
// the meantime. It runs in the control loop.
func (s *Server) storeAnswered(now time.Time) {
	s.fleet.StoreAnswered()
	view := s.view.Load()
	if view.Table != nil && s.storeFailedAt.After(view.NewestAt) && view.Age(now) > reader.OutageThreshold {
		s.roster.Recovered(s.storeFailedAt)
	}
}

// recordPeerStoreState records what another gateway reports of its calls to the store. It
// runs in the control loop.
func (s *Server) recordPeerStoreState(now time.Time, address string, resp *gladegaugev1.FollowResponse) {
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

// unprovedAge is the reported age of a configuration that nothing proves.
const unprovedAge = math.MaxInt32

// proofAge returns the age of the proof of the configuration in force; nil if there is no
// configuration.
func (s *Server) proofAge(now time.Time) *uint32 {
	view := s.view.Load()
	if view.Table == nil {
		return nil
	}
	if view.NewestAt.IsZero() {
		age := uint32(unprovedAge)
		return &age
	}
	return millisecondsSince(now, view.NewestAt)
}
