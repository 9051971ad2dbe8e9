package gatewayd

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/feed"
	"github.com/gladegauge/gladegauge/internal/core/roster"
	"github.com/gladegauge/gladegauge/platform"
)

// takeWhole takes everything that there is at the position, as the store or another
// gateway told it. It runs in the control goroutine.
func (s *Server) takeWhole(now time.Time, p feed.Position, c platform.Changes) {
	before := s.feed.Position()
	s.feedFrom(p, c.Entries, true)
	if before.Known() && before.Epoch < p.Epoch {
		s.restoreRoster(now, before, p, c)
		return
	}
	s.replaceRoster(now, c)
}

// restoreRoster takes the list of a store that came back from a copy. It runs in the
// control goroutine.
func (s *Server) restoreRoster(now time.Time, before, p feed.Position, c platform.Changes) {
	after := s.storeFailedAt
	if proved := s.view.Load().NewestAt; proved.After(after) {
		after = proved
	}
	evacuated := s.roster.Evacuated()
	s.roster.Drop(c.Unfit)
	s.roster.Restore(now, roster.Return{After: after, Lapse: s.o.Settings.LapseWithin()}, c.Changed, c.Evacuated)
	s.logEvacuated(evacuated)
	s.applyRoster(now)
	s.log.Warn().Int64("epoch", p.Epoch).Int64("revision", p.Revision).Int64("epoch_before", before.Epoch).Int64("revision_before", before.Revision).
		Dur("away_since", now.Sub(after)).Int("lapsed", s.roster.Lapsed()).Int("doubted", s.roster.Doubted()).Msg("store: came back from a copy")
}
