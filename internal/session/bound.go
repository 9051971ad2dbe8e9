package session

import (
	"cmp"
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
)

// boundStep is the length of one interval of the bound.
const boundStep = time.Second

// batch is the work of one request.
type batch struct {
	class string
	// rate is tokens for each second of a slot.
	rate   float64
	slots  float64
	expire time.Duration
}

// left is the time that the rest of the request needs in one slot.
func (b *batch) left() time.Duration { return time.Duration(b.slots * float64(time.Second)) }

// bound returns the most tokens on time that any scheduler could have made, by
// class and over all. Work flows like a fluid: each second the pool's working
// slots serve what waits, the least slack first, each request in one slot at
// most, and what cannot be on time any more is gone. It knows all lengths,
// stops and resumes at no cost, needs the least time for every prompt and
// counts parts of answers, all of which no real scheduler does. The figures by
// class are how it happens to share the slots out, not a bound for each class.
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
		waiting = slices.DeleteFunc(waiting, func(b *batch) bool { return b.slots <= 0 || now+b.left() > b.expire })
		slices.SortStableFunc(waiting, func(a, b *batch) int {
			return cmp.Compare(a.expire-a.left(), b.expire-b.left())
		})
		free := s.workingSlots(pool, now)
		for _, b := range waiting {
			used := min(free, b.slots, boundStep.Seconds())
			free -= used
			b.slots -= used
			best[b.class] += used * b.rate
			best[All] += used * b.rate
		}
	}
}

// batches groups the requests of a pool by second of arrival.
func (s *Session) batches(pool *config.Pool, steps int) [][]*batch {
	out := make([][]*batch, steps)
	for _, r := range s.requests {
		if r.pool.Name != pool.Name {
			continue
		}
		took := s.slotTime(r)
		if r.class.Completion > 0 && took > r.class.Completion {
			continue
		}
		b := &batch{
			class:  r.class.Name,
			rate:   float64(r.tokens) / took.Seconds(),
			slots:  took.Seconds(),
			expire: r.arrived.Sub(start) + r.class.StartTarget() + boundStep,
		}
		if r.class.FirstToken > 0 {
			b.expire += took
		}
		i := int(r.arrived.Sub(start) / boundStep)
		out[i] = append(out[i], b)
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
