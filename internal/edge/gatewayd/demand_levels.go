package gatewayd

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/demand"
	"github.com/gladegauge/gladegauge/internal/core/fairness"
)

// levelLogInterval is the minimum time between two log lines about the same organisation
// and pool.
const levelLogInterval = time.Second

// levelKey identifies an organisation at a pool.
type levelKey struct {
	pool         string
	organisation uint64
}

// levelState is whether the latest log line reported the organisation as above the level.
type levelState struct {
	above    bool
	loggedAt time.Time
}

// levelLog limits the log lines about organisations that go above or below the level.
type levelLog map[levelKey]levelState

// changed reports whether a log line is due, and records it.
func (l levelLog) changed(now time.Time, key levelKey, above bool) bool {
	last := l[key]
	if last.above == above || now.Sub(last.loggedAt) < levelLogInterval {
		return false
	}
	l[key] = levelState{above: above, loggedAt: now}
	return true
}

// ended forgets who was above the level of a pool that is no longer contended.
func (l levelLog) ended(now time.Time, pool string) {
	for key, last := range l {
		if key.pool != pool {
			continue
		}
		last.above = false
		l[key] = last
		if now.Sub(last.loggedAt) >= levelLogInterval {
			delete(l, key)
		}
	}
}

// reportLevels counts the organisations above the level of each pool, and logs those that
// went above or below. It runs in the control loop.
func (s *Server) reportLevels(now time.Time) {
	for _, pool := range s.demand.directory.Pools() {
		shares := s.table.Shares(pool)
		if shares == nil {
			continue
		}
		above := 0
		if shares.Contended(now) || s.demand.tracker.ContendedElsewhere(now, pool) {
			above = s.logLevels(now, pool, shares)
		} else {
			s.demand.levels.ended(now, pool)
		}
		s.metrics.aboveLevel.WithLabelValues(pool).Set(float64(above))
	}
}

// logLevels logs the organisations that went above or below the level of a contended pool,
// and returns the number of those above. It runs in the control loop.
func (s *Server) logLevels(now time.Time, pool string, shares *fairness.Shares) int {
	n := 0
	for _, u := range shares.Users(now) {
		above := shares.AboveLevel(now, u.Organisation)
		if above {
			n++
		}
		if s.demand.levels.changed(now, levelKey{pool, u.Organisation}, above) {
			s.logLevel(now, pool, u, shares.Level(now), above)
		}
	}
	return n
}

// logLevel logs that an organisation went above or below the level.
func (s *Server) logLevel(now time.Time, pool string, u demand.User, level float64, above bool) {
	line := s.log.Info().Str("pool", pool).Str("organisation", s.demand.directory.Name(u.Organisation)).
		Bool("above", above).Float64("requested", u.Requested).Float64("admitted", u.Admitted).Float64("level", level)
	if age := s.demand.tracker.Age(now); age >= 0 {
		line = line.Dur("told_age", age)
	}
	line.Msg("organisation crossed the level of its pool")
}
