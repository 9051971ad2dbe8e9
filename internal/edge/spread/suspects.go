package spread

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/edge/suspects"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// Suspects returns what is known of requests under which upstreams end. But for its
// Any, it belongs to the control loop.
func (s *Sync) Suspects() *suspects.Book { return s.suspects }

// EndedUnder notes that an upstream ended under the request, and tells the peers at
// once. It runs in the control loop.
func (s *Sync) EndedUnder(l suspects.Lost) {
	s.suspects.EndedUnder(l)
	s.notice()
}

// hearSuspects takes the words of another process, and passes news on at once. It runs
// in the control loop.
func (s *Sync) hearSuspects(now time.Time, from string, msg *gladegaugev1.SuspectWords) {
	if s.suspects.Hear(now, from, msg, 0) {
		s.notice()
	}
}
