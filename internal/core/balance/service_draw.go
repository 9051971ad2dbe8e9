package balance

import (
	"math"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// While a plain service is busy, gateways that compare its few replicas by reports of the
// same age all choose the same one until the next reports: of two replicas one had 24 calls
// in its queue while the other had idle slots. The replica is then drawn at random instead,
// such that the calls that the fleet sends until new reports arrive level the replicas'
// loads.

const (
	// minDrawAge is the least age of the loads that is assumed: a call takes about as long.
	minDrawAge = 50 * time.Millisecond
	// drawAges is the number of ages of the reports over which loads are levelled. Within a
	// single age, the replicas' loads oscillate, as the effect is not seen before.
	drawAges = 2.0
	// goldenRatio is the step between two draws: draws at this distance are spread evenly,
	// so that a gateway alternates between replicas of the same load.
	goldenRatio = 0.6180339887498949
)

// nextDraw returns the next number of an evenly spread sequence between 0 and 1 that
// begins at a random place.
func (s *service) nextDraw(hash uint64) float64 {
	if s.draw == 0 {
		s.draw = rendezvous.Fraction(rendezvous.Mix(hash, 0))
	}
	s.draw = math.Mod(s.draw+goldenRatio, 1)
	return s.draw
}

// drawn returns the replica of a busy plain service that gets the request; false if the
// replicas are to be compared by cost.
func (t *Table) drawn(now time.Time, p *pool, list []*upstream, r Request) (*upstream, bool) {
	if p.engine != nil || p.service.slotTime <= 0 || t.gateways < 2 || r.Isolate || len(list) < 2 {
		return nil, false
	}
	slots, taken, age := 0.0, 0.0, time.Duration(0)
	for _, u := range list {
		if u.Slots <= 0 || u.limit.Announced || p.isCold(now, u) || u.health.OnTrial(now) {
			return nil, false
		}
		slots += float64(u.Slots)
		taken += u.latestInFlight(now)
		age = max(age, u.reportAge(now))
	}
	if taken < busySlotShare*slots {
		return nil, false
	}
	expected := drawAges * min(1, taken/slots) * slots * milliseconds(max(minDrawAge, age)) / p.service.slotTime
	level := levelFor(now, list, expected)
	at := p.service.nextDraw(r.Hash) * expected
	for _, u := range list {
		if at -= gapTo(now, u, level); at < 0 {
			return u, true
		}
	}
	return nil, false
}

// gapTo is the number of requests that fill the upstream up to the level, which is a number
// of requests for each slot.
func gapTo(now time.Time, u *upstream, level float64) float64 {
	return max(0, level*float64(u.Slots)-u.latestInFlight(now))
}

// levelFor is the level to which so many more requests fill the upstreams.
func levelFor(now time.Time, list []*upstream, more float64) float64 {
	excluded := make(map[*upstream]bool)
	for {
		slots, sum := 0.0, more
		for _, u := range list {
			if !excluded[u] {
				slots += float64(u.Slots)
				sum += u.latestInFlight(now)
			}
		}
		level, changed := sum/slots, false
		for _, u := range list {
			if !excluded[u] && u.latestInFlight(now) > level*float64(u.Slots) {
				excluded[u], changed = true, true
			}
		}
		if !changed {
			return level
		}
	}
}
