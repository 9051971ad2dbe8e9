package session

import (
	"cmp"
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
)

// boundStep is the length of one interval of the bound.
const boundStep = time.Second

// batch is the work of one class that arrived in one interval.
type batch struct {
	class string
	// rate is tokens for each second of a slot.
	rate   float64
	slots  float64
	expire time.Duration
}

// bound returns the most tokens on time that any scheduler could have made, by
// class and over all. Work flows like a fluid: each second the pool's working
// slots serve what waits, the classes with the most tokens for a second of a
// slot first, and what has waited beyond its class's target is gone. A real
// scheduler knows neither the arrivals to come nor the lengths.
func (s *Session) bound() map[string]float64 {
	best := map[string]float64{}
	for _, pool := range s.site.Config.Pools() {
		s.boundPool(pool, best)
	}
	return best
}

func (s *Session) boundPool(pool *config.Pool, best map[string]float64) {
	steps := int(s.world.elapsed()/boundStep) + 1
	arriving := s.batches(pool, steps)
	var waiting []*batch
	for i := range steps {
		now := time.Duration(i) * boundStep
		waiting = append(waiting, arriving[i]...)
		waiting = slices.DeleteFunc(waiting, func(b *batch) bool { return b.slots <= 0 || b.expire < now })
		slices.SortStableFunc(waiting, func(a, b *batch) int {
			return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.expire, b.expire))
		})
		free := s.workingSlots(pool, now)
		for _, b := range waiting {
			used := min(free, b.slots)
			free -= used
			b.slots -= used
			best[b.class] += used * b.rate
			best[All] += used * b.rate
		}
	}
}

// batches groups the requests of a pool by class and second of arrival.
func (s *Session) batches(pool *config.Pool, steps int) [][]*batch {
	out := make([][]*batch, steps)
	index := make(map[string]*batch)
	for _, r := range s.requests {
		if r.pool.Name != pool.Name {
			continue
		}
		i := int(r.arrived.Sub(start) / boundStep)
		key := r.class.Name + string(rune(i))
		b, ok := index[key]
		if !ok {
			b = &batch{class: r.class.Name, expire: time.Duration(i+1)*boundStep + r.class.StartTarget()}
			index[key] = b
			out[i] = append(out[i], b)
		}
		took := s.slotTime(r).Seconds()
		b.rate = (b.rate*b.slots + float64(r.tokens)) / (b.slots + took)
		b.slots += took
	}
	return out
}

// slotTime is the least time that the request holds a slot.
func (s *Session) slotTime(r *request) time.Duration {
	if r.service {
		return serviceTime
	}
	return cachedPromptTime + time.Duration(float64(r.tokens)/tokenRate*float64(time.Second))
}

// workingSlots is the pool's slot-seconds in the interval that begins at a
// time, less what the script's faults take away.
func (s *Session) workingSlots(pool *config.Pool, at time.Duration) float64 {
	var sum float64
	for _, a := range s.agents {
		if a.pool == pool.Name {
			sum += float64(pool.Slots) * s.speedAt(a.id, at) * boundStep.Seconds()
		}
	}
	return sum
}

func (s *Session) speedAt(agent string, at time.Duration) float64 {
	speed := 1.0
	for _, f := range s.script.Faults {
		from, to := seconds(f.At), seconds(f.At+f.For)
		if at < from || at >= to || !slices.Contains(f.Hosts, agent) {
			continue
		}
		switch f.Kind {
		case Slow:
			speed *= f.Factor
		case Crash, Restart, Pause:
			speed = 0
		case Cut, Leave, RestartEntry, Repeat:
		}
	}
	return speed
}
