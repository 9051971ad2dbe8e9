package gatewayd

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/feed"
	"github.com/gladegauge/gladegauge/internal/core/roster"
	"github.com/gladegauge/gladegauge/platform"
)

// settleFor is how long after the store came back from a copy what it says may not be the
// newest yet: what was lost is written again within about two seconds.
const settleFor = 2200 * time.Millisecond

// settling is the time after the store came back from a copy in which its silence does not
// prove that the configuration in force is the newest.
type settling struct {
	// from is the latest moment at which the store was not yet back.
	from, until time.Time
}

// proves reports whether the store's word of the moment proves what is the newest.
func (t settling) proves(at time.Time) bool { return !at.After(t.from) || !at.Before(t.until) }

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
	s.settling = settling{from: after, until: after.Add(settleFor)}
	if c.TableRevision == 0 {
		s.written = written{} // It may have been written anew since it was read here.
	}
	evacuated := s.roster.Evacuated()
	s.roster.Drop(c.Invalid)
	s.roster.Restore(now, roster.StoreRestore{After: after, EntryTTL: s.o.Settings.StoreEntryTTL()}, c.Changed, c.Evacuated)
	s.logEvacuated(evacuated)
	s.applyRoster(now)
	s.log.Warn().Int64("epoch", p.Epoch).Int64("revision", p.Revision).Int64("epoch_before", before.Epoch).Int64("revision_before", before.Revision).
		Dur("away_since", now.Sub(after)).Int("lapsed", s.roster.Expired()).Int("doubted", s.roster.Unconfirmed()).Msg("store: came back from a copy")
}

// written is a configuration, and the revision at which the store holds it.
type written struct{ version, revision int64 }

// settleByWatch takes a configuration that was written while the store was watched: if it
// came back from a copy before, this is the operators' newest one. It runs in the control
// goroutine.
func (s *Server) settleByWatch(c platform.Changes) {
	if c.Table == nil {
		return
	}
	s.settling = settling{}
	s.written = written{c.Table.Version, c.TableRevision}
}

// settleByList takes the configuration of a listing. One that stands at another revision
// than it did before was written after the store's return. It runs in the control goroutine.
func (s *Server) settleByList(c platform.Changes) {
	if c.Table == nil {
		return
	}
	now := written{c.Table.Version, c.TableRevision}
	if now.version == s.written.version && now.revision != s.written.revision {
		s.settling = settling{}
	}
	s.written = now
}
