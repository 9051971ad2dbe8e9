package session

import (
	"cmp"
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
)

// boundInterval is the time step of the bound's computation.
const boundInterval = time.Second

// job is the remaining work of one request.
type job struct {
	class string
	// rate is the number of tokens per slot-second.
	rate      float64
	remaining float64
	deadline  time.Duration
}

// remainingTime returns the time that the remaining work takes in one slot.
func (j *job) remainingTime() time.Duration { return time.Duration(j.remaining * float64(time.Second)) }

// goodputBounds returns an upper bound of the tokens on time that any scheduler could have
// produced, in total and by class.
//
// It is the result of a fluid model. In each interval the available slots of a pool serve
// the waiting jobs in order of their slack, each job in at most one slot, and jobs that
// can no longer be on time are dropped. The model knows the length of each response, stops
// and resumes jobs at no cost, needs the minimum prefill time for each prompt and counts
// partial responses, none of which a real scheduler does. Only the total is a bound: the
// values by class result from how the model happens to divide the slots.
func (s *Session) goodputBounds() map[string]float64 {
	bounds := map[string]float64{}
	for _, pool := range s.site.Config.Pools() {
		s.addPoolBounds(pool, bounds)
	}
	return bounds
}

func (s *Session) addPoolBounds(pool *config.Pool, bounds map[string]float64) {
	steps := int(s.clock.elapsed()/boundInterval) + 1
	arriving := s.jobsByArrival(pool, steps)
	var waiting []*job
	for i := range steps {
		now := time.Duration(i) * boundInterval
		waiting = append(waiting, arriving[i]...)
		waiting = slices.DeleteFunc(waiting, func(b *job) bool { return b.remaining <= 0 || now+b.remainingTime() > b.deadline })
		slices.SortStableFunc(waiting, func(a, b *job) int {
			return cmp.Compare(a.deadline-a.remainingTime(), b.deadline-b.remainingTime())
		})
		free := s.availableSlotSeconds(pool, now)
		for _, b := range waiting {
			used := min(free, b.remaining, boundInterval.Seconds())
			free -= used
			b.remaining -= used
			bounds[b.class] += used * b.rate
			bounds[All] += used * b.rate
		}
	}
}

// jobsByArrival groups the requests of a pool by the interval of their arrival. Requests
// that no scheduler could complete in time are left out.
func (s *Session) jobsByArrival(pool *config.Pool, steps int) [][]*job {
	out := make([][]*job, steps)
	for _, r := range s.requests {
		if r.pool.Name != pool.Name {
			continue
		}
		took := s.slotTime(r)
		if r.class.Completion > 0 && took > r.class.Completion {
			continue
		}
		j := &job{
			class:     r.class.Name,
			rate:      float64(r.tokens) / took.Seconds(),
			remaining: took.Seconds(),
			deadline:  r.arrived.Sub(start) + r.class.StartTarget() + boundInterval,
		}
		if r.class.FirstToken > 0 {
			j.deadline += took
		}
		i := int(r.arrived.Sub(start) / boundInterval)
		out[i] = append(out[i], j)
	}
	return out
}

// slotTime returns the minimum time for which the request occupies a slot.
func (s *Session) slotTime(r *request) time.Duration {
	if r.service {
		return serviceTime
	}
	return cachedPrefillTime + time.Duration(float64(r.tokens)/tokenRate*float64(time.Second))
}

// availableSlotSeconds returns the slot-seconds of the pool in the interval that begins at
// the given time, minus the capacity that the script's faults remove.
func (s *Session) availableSlotSeconds(pool *config.Pool, at time.Duration) float64 {
	var sum float64
	for _, a := range s.agents {
		if a.pool == pool.Name {
			sum += float64(pool.Slots) * s.speedAt(a.id, at) * boundInterval.Seconds()
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
