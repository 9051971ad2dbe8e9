package gatewayd

import (
	"math/bits"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/roster"
)

// maxLoggedUnused bounds the IDs in a log line about upstreams that are not used.
const maxLoggedUnused = 8

// namesPoolOf reports whether the configuration names the pool of the upstream, or did so when
// the upstream was listed: the state of one that was in use is kept. It runs in the control
// loop.
func (s *Server) namesPoolOf(in balance.Instance) bool {
	if s.table.Has(in) {
		return true
	}
	t := s.view.Load().Table
	if t == nil {
		return false
	}
	_, ok := t.Pool(in.Pool)
	return ok
}

// recordUnused counts the listed upstreams that get no requests, unless there is no configuration
// yet. It logs them when their number has about doubled or halved, as another writer may create
// thousands of entries one by one. It runs in the control loop.
func (s *Server) recordUnused(unused roster.Unused) {
	if s.view.Load().Table == nil {
		return
	}
	before := s.unused
	s.unused = unused
	for _, reason := range roster.Reasons {
		ids := unused[reason]
		s.metrics.unused.WithLabelValues(string(reason)).Set(float64(len(ids)))
		if bits.Len(uint(len(ids))) == bits.Len(uint(len(before[reason]))) {
			continue
		}
		s.log.Warn().Str("reason", string(reason)).Int("unused", len(ids)).Int("before", len(before[reason])).
			Strs("some", ids[:min(len(ids), maxLoggedUnused)]).Msg("upstreams: listed ones are not used")
	}
}
