package gatewayd

import (
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/ingress"
	"github.com/gladegauge/gladegauge/platform"
)

// reportMost bounds the lines on faulty values of one answer: another writer may make
// thousands.
const reportMost = 16

// report logs values that could not be read.
func (s *Server) report(faults []platform.Fault) {
	s.metrics.faults.Add(float64(len(faults)))
	for _, f := range faults[:min(len(faults), reportMost)] {
		s.log.Error().Str("key", f.Key).Str("faults", f.Faults).Msg("store: value is faulty")
	}
	if more := len(faults) - reportMost; more > 0 {
		s.log.Error().Int("more", more).Msg("store: more values are faulty")
	}
}

// applyTable brings a published table into force, if it is newer. A nil table
// means that nothing newer was published or that it could not be read; sound
// tells them apart. At the moment asked, what was published was the newest.
// While the newest configuration cannot be read, nothing proves that the one in
// force is the newest, and neither does a store that has just come back from a copy. It
// runs in the control goroutine. From names who told it.
func (s *Server) applyTable(t *ingress.Table, sound bool, asked time.Time, from string) {
	view := *s.view.Load()
	if !s.settling.proves(asked) {
		asked = view.NewestAt
	}
	s.configUnread = t == nil && (s.configUnread || !sound)
	if t == nil {
		if !s.configUnread && view.Table != nil {
			s.prove(view, asked)
		}
		return
	}
	next, taken := view.WithTable(t, asked)
	if !taken {
		if t.Version == view.Table.Version {
			s.prove(view, asked)
			return
		}
		s.log.Warn().Int64("version", t.Version).Int64("in_force", view.Table.Version).Msg("configuration: an older version changes nothing")
		return
	}
	s.view.Store(&next)
	s.table.SetPools(t)
	s.metrics.version.Set(float64(t.Version))
	s.log.Info().Int64("version", t.Version).Int("routes", t.Routes()).Str("from", from).Int64("revision", s.feed.Position().Revision).Msg("configuration: in force")
}

// prove takes the moment at which the configuration in force was the newest; followers
// learn of it at once. It runs in the control goroutine.
func (s *Server) prove(view ingress.View, at time.Time) {
	next := view.WithProof(at)
	s.view.Store(&next)
	if next.NewestAt.After(view.NewestAt) {
		s.wakeFollowers()
	}
}

// replaceRoster takes a whole list of upstreams, and all availability zones that are
// evacuated. It runs in the control goroutine.
func (s *Server) replaceRoster(now time.Time, c platform.Changes) {
	before := s.roster.Evacuated()
	s.roster.Drop(c.Invalid)
	s.roster.Replace(now, c.Changed)
	s.roster.ReplaceEvacuated(c.Evacuated)
	s.logEvacuated(before)
	s.applyRoster(now)
}

// changeRoster takes upstreams that came, changed or went, and availability zones whose
// evacuation began or ended. It runs in the control goroutine.
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

// logEvacuated writes which availability zones are evacuated, if others were before.
func (s *Server) logEvacuated(before []string) {
	if zones := s.roster.Evacuated(); !slices.Equal(zones, before) {
		s.log.Info().Strs("zones", zones).Strs("before", before).Msg("upstreams: evacuated zones changed")
	}
}

// applyRoster brings the list of upstreams into force. It runs in the control
// goroutine.
func (s *Server) applyRoster(now time.Time) {
	list := s.roster.Current(now)
	changes := s.table.SetInstances(now, list)
	s.publish(now, list)
	if v := s.view.Load(); v.Table != nil && len(changes.Added) > 0 {
		s.table.SetPools(v.Table)
	}
	s.forgetLapsed(now)
	if changes.Any() {
		s.log.Info().Strs("came", changes.Added).Strs("went", changes.Removed).Strs("leaving", changes.Leaving).Strs("cold", changes.Cold).Strs("restarted", changes.Restarted).
			Int("upstreams", len(list)).Int("lapsed", s.roster.Expired()).Msg("upstreams: list changed")
	}
}

// publish lets requests and metrics see the list, and what upstreams said of themselves:
// to those that leave no connection is kept. It runs in the control goroutine.
func (s *Server) publish(now time.Time, list []balance.Instance) {
	addresses := make(map[string]bool, len(list))
	for _, in := range list {
		leaves := in.Leaving || s.table.SaysLeaving(in.ID)
		addresses[in.Address] = !leaves || addresses[in.Address]
	}
	s.addresses.Store(&addresses)
	s.publishClosed(now)
	s.metrics.list(list, s.table.SaysLeaving)
}

// publishClosed lets requests see what upstreams said of themselves. It runs in the
// control goroutine.
func (s *Server) publishClosed(now time.Time) {
	closed := s.table.Closed(now)
	s.closed.Store(&closed)
	s.metrics.limited.Set(float64(s.table.LimitedUpstreams()))
}

// forgetLapsed applies the list again when the first of the lapsed entries is to
// be forgotten: they go without a word from the store, and not a moment too
// late. It runs in the control goroutine.
func (s *Server) forgetLapsed(now time.Time) {
	if s.lapseTimer != nil {
		s.lapseTimer.Stop()
		s.lapseTimer = nil
	}
	if end, ok := s.roster.NextExpiry(); ok {
		s.lapseTimer = time.AfterFunc(end.Sub(now), func() { s.control.DoWithoutCancel(s.applyRoster) })
	}
}
