package gatewayd

import (
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/ingress"
	"github.com/gladegauge/gladegauge/internal/core/roster"
	"github.com/gladegauge/gladegauge/platform"
)

// maxLoggedFaults bounds the log lines about invalid values in one answer, as another
// writer may create thousands of them.
const maxLoggedFaults = 16

// logFaults logs and counts values that could not be decoded.
func (s *Server) logFaults(faults []platform.Fault) {
	s.metrics.faults.Add(float64(len(faults)))
	for _, f := range faults[:min(len(faults), maxLoggedFaults)] {
		s.log.Error().Str("key", f.Key).Str("faults", f.Faults).Msg("store: value is invalid")
	}
	if more := len(faults) - maxLoggedFaults; more > 0 {
		s.log.Error().Int("more", more).Msg("store: more values are invalid")
	}
}

// applyTable puts a published table into force if it is newer. A nil table means either
// that nothing newer was published or that it could not be decoded; valid is false in the
// second case. The published configuration was the newest at the time asked. While the
// newest one cannot be decoded, nothing proves that the one in force is the newest; nor
// does a store that was just restored from a backup. From names the source of the table. It
// runs in the control loop.
func (s *Server) applyTable(t *ingress.Table, valid bool, asked time.Time, from string) {
	view := *s.view.Load()
	if !s.restoreWindow.proves(asked) {
		asked = view.NewestAt
	}
	s.configUnreadable = t == nil && (s.configUnreadable || !valid)
	if t == nil {
		if !s.configUnreadable && view.Table != nil {
			s.recordProof(view, asked)
		}
		return
	}
	next, taken := view.WithTable(t, asked)
	if !taken {
		if t.Version == view.Table.Version {
			s.recordProof(view, asked)
			return
		}
		s.log.Warn().Int64("version", t.Version).Int64("in_force", view.Table.Version).Msg("configuration: ignored an older version")
		return
	}
	s.view.Store(&next)
	s.applyRoster(s.now())
	s.table.SetPools(t)
	s.demand.setTable(t)
	s.streams.AddTimeout(t.LongestResumable())
	s.metrics.aboveLevel.Reset()
	s.metrics.version.Set(float64(t.Version))
	s.log.Info().Int64("version", t.Version).Int("routes", t.Routes()).Str("from", from).Int64("revision", s.feed.Position().Revision).Msg("configuration: in force")
}

// recordProof records that the configuration in force was the newest at the given time,
// and passes that on to followers at once. It runs in the control loop.
func (s *Server) recordProof(view ingress.View, at time.Time) {
	next := view.WithProof(at)
	s.view.Store(&next)
	if next.NewestAt.After(view.NewestAt) {
		s.wakeFollowers()
	}
}

// replaceRoster applies a full list of upstreams and of evacuated availability zones. It
// runs in the control loop.
func (s *Server) replaceRoster(now time.Time, c platform.Changes) {
	before := s.roster.Evacuated()
	s.roster.Drop(c.Invalid)
	s.roster.Replace(now, c.Changed)
	s.roster.ReplaceEvacuated(c.Evacuated)
	s.logEvacuated(before)
	s.applyRoster(now)
}

// changeRoster applies added, changed and removed upstreams, and evacuations of
// availability zones that began or ended. It runs in the control loop.
func (s *Server) changeRoster(now time.Time, c platform.Changes) {
	before := s.roster.Evacuated()
	s.roster.Drop(c.Invalid)
	s.roster.Change(now, c.Changed, c.Removed)
	for _, zone := range c.Evacuated {
		s.roster.Evacuate(zone)
	}
	for _, zone := range c.EvacuationEnded {
		s.roster.EndEvacuation(zone)
	}
	s.logEvacuated(before)
	s.applyRoster(now)
}

// logEvacuated logs the evacuated availability zones if they have changed.
func (s *Server) logEvacuated(before []string) {
	if zones := s.roster.Evacuated(); !slices.Equal(zones, before) {
		s.log.Info().Strs("zones", zones).Strs("before", before).Msg("upstreams: evacuated zones changed")
	}
}

// applyRoster puts the list of upstreams into force. It runs in the control loop.
func (s *Server) applyRoster(now time.Time) {
	listed := s.roster.Current(now)
	if s.listedAt.IsZero() && len(listed) > 0 {
		s.listedAt = now
	}
	list, unused := roster.SplitUnused(listed, s.namesPoolOf)
	s.recordUnused(unused)
	answered := s.answeredAtOpen()
	changes := s.table.SetInstances(now, list)
	s.attributeUnlisted(now, answered, changes)
	s.observeVersions(now, list)
	s.publishUpstreams(now, list)
	if v := s.view.Load(); v.Table != nil && len(changes.Added) > 0 {
		s.table.SetPools(v.Table)
	}
	s.scheduleExpiry(now)
	s.releaseAll(now)
	if changes.Any() {
		s.log.Info().Strs("came", changes.Added).Strs("went", changes.Removed).Strs("leaving", changes.Leaving).Strs("cold", changes.Cold).Strs("restarted", changes.Restarted).
			Int("upstreams", len(list)).Int("lapsed", s.roster.Expired()).Msg("upstreams: list changed")
	}
}

// publishUpstreams makes the list, and what upstreams reported about themselves, visible
// to requests and metrics. No idle connections to leaving upstreams are kept. It runs in
// the control loop.
func (s *Server) publishUpstreams(now time.Time, list []balance.Instance) {
	addresses := make(map[string]bool, len(list))
	for _, in := range list {
		leaving := in.Leaving || s.table.SaysLeaving(in.ID)
		addresses[in.Address] = !leaving || addresses[in.Address]
	}
	s.addresses.Store(&addresses)
	s.setPoolOf(now, list)
	s.publishClosed(now)
	s.metrics.list(list, s.table.SaysLeaving)
}

// publishClosed makes the reports of upstreams about themselves visible to requests. It
// runs in the control loop.
func (s *Server) publishClosed(now time.Time) {
	closed := s.table.Closed(now)
	s.closed.Store(&closed)
	s.metrics.limited.Set(float64(s.table.LimitedUpstreams()))
}

// scheduleExpiry applies the list again when the first retained entry expires. Such
// entries are removed without a message from the store, and must not stay longer. It runs
// in the control loop.
func (s *Server) scheduleExpiry(now time.Time) {
	if s.expiryTimer != nil {
		s.expiryTimer.Stop()
		s.expiryTimer = nil
	}
	if end, ok := s.roster.NextExpiry(); ok {
		s.expiryTimer = time.AfterFunc(end.Sub(now), func() { s.control.DoWithoutCancel(s.applyRoster) })
	}
}
