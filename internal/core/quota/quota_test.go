package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/fleet"
	"github.com/gladegauge/gladegauge/internal/core/quota"
)

var t0 = time.Unix(1000, 0)

// policy is that of the limits that upstreams name, cautious that of cold ones.
var (
	policy   = quota.Policy{Used: 0.9, Views: 1.2, Holders: 1 << 20}
	cautious = quota.Policy{Used: 0.75, Views: 2, Holders: 3}
)

// limitOf is the bound of an upstream that names a limit.
func limitOf(perSecond float64) quota.Bound {
	return quota.Bound{Rate: max(perSecond, 0.25), Most: 6*perSecond + 5, Window: 4 * time.Second}
}

// The figures that follow from a bound: its holders, and the part of the rate that is used.
func TestDivide(t *testing.T) {
	tests := []struct {
		policy  quota.Policy
		bound   quota.Bound
		holders int
		used    float64
	}{
		{policy, limitOf(0), 3, 0.9},
		{policy, limitOf(0.2), 4, 0.9},
		{policy, limitOf(1), 5, 0.9},
		{policy, limitOf(1.3), 5, 0.9},
		{policy, limitOf(10), 18, 0.9},
		{policy, limitOf(50), 74, 0.9},
		{policy, limitOf(1e12), 1 << 20, 0.9},
		{cautious, quota.Bound{Rate: 13, Most: 13*1.5 + 5, Window: time.Second}, 2, 0.75},
		{cautious, quota.Bound{Rate: 1, Most: 2, Window: time.Second}, 1, 0.75},
		{cautious, quota.Bound{Rate: 0.5, Most: 1.5, Window: time.Second}, 1, 0.75},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.bound), func(t *testing.T) {
			is := is.New(t)
			s := tt.policy.Divide(tt.bound)
			is.Equal(s.Holders, tt.holders)
			is.True(s.Rate <= tt.used*tt.bound.Rate+1e-9)
			is.True(s.Rate >= 0.99*min(tt.used*tt.bound.Rate, tt.bound.Most-1))
			is.True(s.Saved+s.Rate*tt.bound.Window.Seconds() <= tt.bound.Most+1e-6)
		})
	}
	is := is.New(t)
	is.Equal(cautious.Divide(quota.Bound{Rate: 0.5, Most: 0.9, Window: time.Second}), quota.Split{}) // not one at a time
	is.True(!quota.Bucket{}.Has(t0, quota.Split{}.Share(1)))
}

// A bucket gives its turns at the pace of its share, saves up a few and no more, however
// long it stands still, and an empty one gives the first after that time.
func TestBucket(t *testing.T) {
	is := is.New(t)
	s := quota.Share{Every: time.Second, Saved: 2}
	b := quota.NewBucket(t0, s, 0)
	is.True(quota.NewBucket(t0, s, 1).Has(t0, s))
	is.True(!b.Has(t0.Add(999*time.Millisecond), s))
	is.True(b.Has(t0.Add(time.Second), s))
	later := t0.Add(time.Hour)
	for range 2 {
		is.True(b.Has(later, s))
		b = b.Spent(later, s)
	}
	is.True(!b.Has(later, s))
	is.Equal(b.Next(s), later.Add(time.Second))
	fast := quota.Share{Every: 10 * time.Millisecond, Saved: 2}
	is.True(b.Under(later, s, fast).Has(later.Add(10*time.Millisecond), fast)) // a rise is felt at once
	slow := quota.Share{Every: 10 * time.Second, Saved: 2}
	is.True(!b.Under(later, s, slow).Has(later.Add(9*time.Second), slow)) // and so is a fall
	is.True(b.Under(later, s, slow).Under(later, slow, s).Has(later.Add(time.Second), s))
}

// drawnFleet is gateways in virtual time that join, die, start again, are cut off and
// suspended, and hear of each other late.
type drawnFleet struct {
	rng      *rand.Rand
	gateways []*drawnGateway
	// next is the address of the next one that joins.
	next int
}

// drawnGateway is one of them.
type drawnGateway struct {
	fleet *fleet.Fleet
	// limitAt is when it learns of the limit.
	limitAt time.Time
	bucket  quota.Bucket
	share   quota.Share
	started bool
	// excused is until when what it sends is not counted: it was started, suspended or cut
	// off.
	excused time.Time
	// stopped is until when it stands still, away until when it is cut off.
	stopped, away time.Time
	// swappedAt is when it last told another one whom it knows, heldAt when it last
	// looked whether it is a holder.
	swappedAt, heldAt time.Time
	holds             bool
}

// isHolder reports whether the gateway is a holder; it looks that up twice a second.
func (g *drawnGateway) isHolder(now time.Time, key uint64, n int) bool {
	if now.Sub(g.heldAt) >= 500*time.Millisecond {
		g.holds, g.heldAt = g.fleet.Holds(now, key, n), now
	}
	return g.holds
}

// excusedFor is how long after a start, a suspension or a cut a gateway does not count: two
// swaps with seeds, and a while to hear of those that came meanwhile.
const excusedFor = 4 * time.Second

// add lets a gateway join.
func (f *drawnFleet) add(now time.Time, settled bool) {
	g := &drawnGateway{
		fleet:   fleet.New(fleet.Member{Address: fmt.Sprintf("10.0.%d.%d:1", f.next/250, f.next%250), Zone: "z", Start: 1}),
		limitAt: now.Add(time.Duration(f.rng.IntN(2000)) * time.Millisecond),
	}
	f.next++
	g.fleet.Started(now, []string{"10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1"}, false, 0)
	if !settled {
		g.excused = now.Add(excusedFor)
	}
	f.gateways = append(f.gateways, g)
}

// settle lets all know all.
func (f *drawnFleet) settle(now time.Time) {
	members := make([]fleet.Member, len(f.gateways))
	for i, g := range f.gateways {
		members[i] = g.fleet.Sample(now, 1, 0)[0]
	}
	for _, g := range f.gateways {
		g.fleet.Merge(now, members)
	}
}

// swap lets a gateway and a drawn one tell each other whom they know.
func (f *drawnFleet) swap(now time.Time, g *drawnGateway) {
	other := f.gateways[f.rng.IntN(len(f.gateways))]
	if other == g || now.Before(g.away) != now.Before(other.away) || now.Before(other.stopped) || now.Before(g.stopped) {
		return
	}
	g.fleet.Beat()
	other.fleet.Merge(now, g.fleet.Sample(now, other.fleet.Known(now), f.rng.Uint64()))
	g.fleet.Merge(now, other.fleet.Sample(now, g.fleet.Known(now), f.rng.Uint64()))
	g.swappedAt = now
}

// disturbance is what may befall a fleet.
type disturbance int

const (
	nothing disturbance = iota
	// dies is the end of a gateway, or of some of a large fleet; joins a new one.
	dies
	joins
	// suspended means that a gateway stands still, cut that half of the fleet is cut off
	// from the other half.
	suspended
	cut
	restarts
	disturbances
)

// disturb lets something befall the fleet.
func (f *drawnFleet) disturb(now time.Time) {
	what := nothing + 1 + disturbance(f.rng.IntN(int(disturbances)-1))
	f.befall(now, what, f.rng.IntN(len(f.gateways)), time.Duration(f.rng.IntN(6000))*time.Millisecond)
}

// befall lets it befall the gateway with that number, for the time.
func (f *drawnFleet) befall(now time.Time, what disturbance, i int, d time.Duration) {
	i %= len(f.gateways)
	g := f.gateways[i]
	switch what {
	case dies:
		if n := 1 + len(f.gateways)/50; len(f.gateways) > 2*n {
			first := min(i, len(f.gateways)-n)
			f.gateways = slices.Delete(f.gateways, first, first+n)
		}
	case joins:
		f.add(now, false)
	case suspended:
		g.stopped = now.Add(d)
		g.excused = g.stopped.Add(excusedFor)
	case cut:
		for _, g := range f.gateways[:len(f.gateways)/2] {
			g.away = now.Add(d)
			g.excused = g.away.Add(excusedFor)
		}
	case restarts:
		g.bucket, g.started = quota.Bucket{}, false
		g.excused = now.Add(excusedFor)
	case nothing, disturbances:
	}
}

// disturbOne is the mean number of steps between two disturbances.
const disturbOne = 100

// disturbed lets something befall the fleet now and then.
func (f *drawnFleet) disturbed(now time.Time) {
	if f.rng.IntN(disturbOne) == 0 {
		f.disturb(now)
	}
}

// calm lets nothing befall it.
func calm(time.Time) {}

// play lets every gateway send whenever it may, and returns what came of those that count.
// Before each step something may befall the fleet.
func (f *drawnFleet) play(split quota.Split, key uint64, from time.Time, length time.Duration, before func(now time.Time)) []time.Time {
	const step = 25 * time.Millisecond
	var came []time.Time
	for now := from; now.Before(from.Add(length)); now = now.Add(step) {
		before(now)
		for _, g := range f.gateways {
			if now.Sub(g.swappedAt) > fleet.ExchangeInterval && f.rng.IntN(10+len(f.gateways)/2) == 0 {
				f.swap(now, g)
			}
			if now.Before(g.stopped) || now.Before(g.limitAt) || !g.isHolder(now, key, split.Holders) {
				continue
			}
			share := split.Share(g.fleet.Remembered())
			if !g.started {
				g.bucket, g.share, g.started = quota.NewBucket(now, share, 1), share, true
			}
			if share != g.share {
				g.bucket, g.share = g.bucket.Under(now, g.share, share), share
			}
			for g.bucket.Has(now, share) {
				g.bucket = g.bucket.Spent(now, share)
				if !now.Before(g.excused) {
					came = append(came, now)
				}
			}
		}
	}
	return came
}

// busiest is the most of the arrivals in any window.
func busiest(arrivals []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// However large the fleet is, and whatever befalls it, an upstream that names a limit gets
// no more in any window than it bears, of gateways that nothing has just befallen. In calm
// nine tenths of the limit are used.
func TestSumOfAllGateways(t *testing.T) {
	const length = 30 * time.Second
	fleets := []struct {
		gateways, plays int
		limits          []float64
	}{
		{1, 4, []float64{1, 50}},
		{2, 20, []float64{0.2, 1, 10, 50}},
		{4, 20, []float64{0.2, 1, 10, 50}},
		{30, 5, []float64{0.2, 1, 10, 50}},
		{100, 1, []float64{1, 50}},
		{800, 1, []float64{1}},
	}
	for _, tt := range fleets {
		for _, perSecond := range tt.limits {
			for _, isCalm := range []bool{true, false} {
				t.Run(fmt.Sprintf("%d gateways, %v a second, calm %t", tt.gateways, perSecond, isCalm), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					bound := limitOf(perSecond)
					split := policy.Divide(bound)
					most, late := 0, 0
					from := t0.Add(10 * time.Second)
					for seed := range uint64(tt.plays) {
						f := &drawnFleet{rng: rand.New(rand.NewPCG(seed, uint64(tt.gateways)))}
						for range tt.gateways {
							f.add(t0, true)
						}
						f.settle(t0)
						befalls := f.disturbed
						if isCalm {
							befalls = calm
						}
						came := f.play(split, f.rng.Uint64(), from, length, befalls)
						most = max(most, busiest(came, bound.Window))
						for _, at := range came {
							if at.Sub(from) >= length/2 {
								late++
							}
						}
					}
					used := float64(late) / float64(tt.plays) / (length / 2).Seconds() / bound.Rate
					t.Logf("at most %d in %v, %.1f are borne, used %.2f", most, bound.Window, bound.Most, used)
					is.True(float64(most) <= bound.Most)
					if isCalm && tt.gateways > 1 {
						// Up to one turn of each holder comes after the end.
						cut := float64(split.Holders) / (length / 2).Seconds() / bound.Rate
						is.True(used >= policy.Used-cut)
					}
				})
			}
		}
	}
}

// Small fleets, with everything that may befall them: two disturbances in any order, of any
// gateway, at any of three distances, with the second one while the first one lasts, or after.
func TestSumOfSmallFleets(t *testing.T) {
	is := is.New(t)
	const length, lasts = 16 * time.Second, 3 * time.Second
	bound := limitOf(1)
	split := policy.Divide(bound)
	from := t0.Add(10 * time.Second)
	most, plays := 0, 0
	for n := 2; n <= 4; n++ {
		for first := range n * int(disturbances) {
			for second := range n * int(disturbances) {
				for _, apart := range []time.Duration{0, time.Second, 5 * time.Second} {
					f := &drawnFleet{rng: rand.New(rand.NewPCG(1, uint64(n)))}
					for range n {
						f.add(t0, true)
					}
					f.settle(t0)
					befalls := func(now time.Time) {
						if now.Equal(from.Add(5 * time.Second)) {
							f.befall(now, disturbance(first/n), first%n, lasts)
						}
						if now.Equal(from.Add(5*time.Second + apart)) {
							f.befall(now, disturbance(second/n), second%n, lasts)
						}
					}
					came := f.play(split, 7, from, length, befalls)
					most = max(most, busiest(came, bound.Window))
					plays++
				}
			}
		}
	}
	t.Logf("%d plays, at most %d in %v, %.1f are borne", plays, most, bound.Window, bound.Most)
	is.True(float64(most) <= bound.Most)
}
