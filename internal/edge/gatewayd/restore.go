package gatewayd

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/feed"
	"github.com/gladegauge/gladegauge/internal/core/roster"
	"github.com/gladegauge/gladegauge/platform"
)

// restoreWindowLength is how long after a restore from a backup the state of the store may
// not be the newest yet. Lost writes are repeated within about two seconds.
const restoreWindowLength = 2200 * time.Millisecond

// restoreWindow is the time after a restore of the store from a backup in which the absence
// of changes does not prove that the configuration in force is the newest.
type restoreWindow struct {
	// from is the latest time at which the store was not yet restored.
	from, until time.Time
}

// proves reports whether the state of the store at that time proves what is the newest.
func (w restoreWindow) proves(at time.Time) bool { return !at.After(w.from) || !at.Before(w.until) }

// applySnapshot applies the full state at the position, from the store or from another
// gateway. It runs in the control loop.
func (s *Server) applySnapshot(now time.Time, p feed.Position, c platform.Changes) {
	before := s.feed.Position()
	s.addToFeed(p, c.Entries, true)
	if before.Known() && before.Epoch < p.Epoch {
		s.restoreRoster(now, before, p, c)
		return
	}
	s.replaceRoster(now, c)
}

// restoreRoster applies the list of a store that was restored from a backup. It runs in the
// control loop.
func (s *Server) restoreRoster(now time.Time, before, p feed.Position, c platform.Changes) {
	after := s.storeFailedAt
	if proved := s.view.Load().NewestAt; proved.After(after) {
		after = proved
	}
	s.restoreWindow = restoreWindow{from: after, until: after.Add(restoreWindowLength)}
	if c.TableRevision == 0 {
		s.storedConfig = storedConfig{} // It may have been rewritten since it was last read here.
	}
	evacuated := s.roster.Evacuated()
	s.roster.Drop(c.Invalid)
	s.roster.Restore(now, roster.StoreRestore{After: after, EntryTTL: s.o.Settings.StoreEntryTTL()}, c.Changed, c.Evacuated)
	s.logEvacuated(evacuated)
	s.applyRoster(now)
	s.log.Warn().Int64("epoch", p.Epoch).Int64("revision", p.Revision).Int64("epoch_before", before.Epoch).Int64("revision_before", before.Revision).
		Dur("away_since", now.Sub(after)).Int("lapsed", s.roster.Expired()).Int("doubted", s.roster.Unconfirmed()).Msg("store: restored from a copy")
}

// storedConfig is the version of a configuration and the revision at which the store holds
// it.
type storedConfig struct{ version, revision int64 }

// recordWatchedConfig records a configuration that was written while the store was
// watched. It is the operators' newest one even if the store was restored from a backup
// before. It runs in the control loop.
func (s *Server) recordWatchedConfig(c platform.Changes) {
	if c.Table == nil {
		return
	}
	s.restoreWindow = restoreWindow{}
	s.storedConfig = storedConfig{c.Table.Version, c.TableRevision}
}

// recordListedConfig records the configuration of a listing. If it is at another revision
// than before, it was written after the restore. It runs in the control loop.
func (s *Server) recordListedConfig(c platform.Changes) {
	if c.Table == nil {
		return
	}
	now := storedConfig{c.Table.Version, c.TableRevision}
	if now.version == s.storedConfig.version && now.revision != s.storedConfig.revision {
		s.restoreWindow = restoreWindow{}
	}
	s.storedConfig = now
}
