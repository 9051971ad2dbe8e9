package gatewayd

import (
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/edge/suspects"
)

const (
	// lostRetention is the time after a request's connection broke in which the end of its
	// upstream is attributed to the request. A new connection to the upstream has been
	// tried by then.
	lostRetention = 3 * time.Second
	// maxLost bounds the number of requests whose connection broke recently.
	maxLost = 1024
	// sameCrash is the time within which the connections of requests at an upstream break when
	// it crashes.
	sameCrash = 100 * time.Millisecond
)

// addLost keeps a request whose connection ended, until its upstream is found to have ended or
// for lostRetention. It runs in the control loop.
func (s *Server) addLost(f suspects.Failure) {
	s.lost = append(s.lost, f)
	s.lost = s.lost[max(0, len(s.lost)-maxLost):]
}

// recordUpstreamEnd records that an instance of an upstream has ended, and which requests
// of this gateway it was running. It runs in the control loop.
func (s *Server) recordUpstreamEnd(now time.Time, in balance.Instance, o balance.Outcome) {
	if !s.table.IsGone(now, in) {
		s.metrics.ends.Inc()
		s.log.Warn().Str("upstream", in.ID).Str("address", in.Address).Str("zone", in.Zone).Str("pool", in.Pool).
			Stringer("outcome", o).Msg("upstream has ended")
	}
	s.attributeEnd(now, in.IncarnationKey())
}

// attributeEnd attributes the end of an incarnation to the requests that it was running. It runs
// in the control loop.
func (s *Server) attributeEnd(now time.Time, key uint64) {
	crashedAt := s.crashTime(now, key)
	s.lost = slices.DeleteFunc(s.lost, func(f suspects.Failure) bool {
		if f.IncarnationKey != key || now.Sub(f.At) > lostRetention {
			return false
		}
		if !f.Answered || crashedAt.Sub(f.At) <= sameCrash {
			s.suspects.ReportCrash(f)
		} else {
			s.suspects.ReportSuccess(f.At, f.Suspect, f.Ran, f.Request)
		}
		return true
	})
}

// answeredAtOpen returns the upstreams, by ID, that are not expected to end and at which an answer
// ended with its connection a short time ago, and their incarnations. It runs in the control
// loop.
func (s *Server) answeredAtOpen() map[string]uint64 {
	var open map[string]uint64
	for _, f := range s.lost {
		if !f.Answered || s.table.EndExpected(f.Upstream) {
			continue
		}
		if open == nil {
			open = make(map[string]uint64)
		}
		open[f.Upstream] = f.IncarnationKey
	}
	return open
}

// attributeUnlisted attributes the end of upstreams that left the list unannounced to the answers
// that ended last there: nobody may have found their connections refused. It runs in the control
// loop.
func (s *Server) attributeUnlisted(now time.Time, answered map[string]uint64, changes balance.Changes) {
	for _, id := range slices.Concat(changes.Removed, changes.Restarted) {
		if key, ok := answered[id]; ok {
			s.attributeEnd(now, key)
		}
	}
}

// crashTime is when the incarnation crashed, as far as the requests that ran there show: when
// the first connection broke, or else when the last answer ended with its connection.
func (s *Server) crashTime(now time.Time, key uint64) time.Time {
	var broken, ended time.Time
	for _, f := range s.lost {
		switch {
		case f.IncarnationKey != key || now.Sub(f.At) > lostRetention:
		case f.Answered:
			ended = f.At
		case broken.IsZero():
			broken = f.At
		}
	}
	if broken.IsZero() {
		return ended
	}
	return broken
}

// expireLost drops the requests whose upstream was not found to have ended. Answers that ended
// with their connection are proved whole by an upstream that lives on. It runs in the control
// loop.
func (s *Server) expireLost(now time.Time) {
	var live map[uint64]bool
	s.lost = slices.DeleteFunc(s.lost, func(f suspects.Failure) bool {
		if now.Sub(f.At) <= lostRetention {
			return false
		}
		if f.Answered {
			if live == nil {
				live = s.table.LiveIncarnations(now)
			}
			if live[f.IncarnationKey] {
				s.suspects.ReportSuccess(f.At, f.Suspect, f.Ran, f.Request)
			}
		}
		return true
	})
}
