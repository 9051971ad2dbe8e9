package spread

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/edge/suspects"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// Suspects returns the registry of requests that crash upstreams. Except for its method
// Any, it must be used in the control loop only.
func (s *Sync) Suspects() *suspects.Tracker { return s.suspects }

// ReportCrash records that an upstream crashed while running the request, and notifies the
// peers at once. It runs in the control loop.
func (s *Sync) ReportCrash(f suspects.Failure) {
	s.suspects.ReportCrash(f)
	s.notifyPeers()
}

// receiveSuspects processes the observations of another process, and notifies the peers at
// once if they were new. It runs in the control loop.
func (s *Sync) receiveSuspects(now time.Time, from string, msg *gladegaugev1.SuspectWords) {
	if s.suspects.Receive(now, from, msg, 0) {
		s.notifyPeers()
	}
}
