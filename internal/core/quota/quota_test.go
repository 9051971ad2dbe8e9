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

// policy is used for limits that upstreams announce, cautious for the rates of cold
// upstreams.
var (
	policy   = quota.Policy{Utilisation: 0.9, Views: 1.2, Holders: 1 << 20}
	cautious = quota.Policy{Utilisation: 0.75, Views: 2, Holders: 3}
)

// limitOf returns the bound of an upstream that announces a limit.
func limitOf(perSecond float64) quota.Bound {
	return quota.Bound{Rate: max(perSecond, 0.25), MaxRequests: 6*perSecond + 5, Window: 4 * time.Second}
}

// Checks the number of holders and the used fraction of the rate for several bounds.
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
		{cautious, quota.Bound{Rate: 13, MaxRequests: 13*1.5 + 5, Window: time.Second}, 2, 0.75},
		{cautious, quota.Bound{Rate: 1, MaxRequests: 2, Window: time.Second}, 1, 0.75},
		{cautious, quota.Bound{Rate: 0.5, MaxRequests: 1.5, Window: time.Second}, 1, 0.75},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.bound), func(t *testing.T) {
			is := is.New(t)
			s := tt.policy.Divide(tt.bound)
			is.Equal(s.Holders, tt.holders)
			is.True(s.Rate <= tt.used*tt.bound.Rate+1e-9)
			is.True(s.Rate >= 0.99*min(tt.used*tt.bound.Rate, tt.bound.MaxRequests-1))
			is.True(s.Burst+s.Rate*tt.bound.Window.Seconds() <= tt.bound.MaxRequests+1e-6)
		})
	}
	is := is.New(t)
	is.Equal(cautious.Divide(quota.Bound{Rate: 0.5, MaxRequests: 0.9, Window: time.Second}), quota.Split{}) // not even one request at a time
	is.True(!quota.Bucket{}.Has(t0, quota.Split{}.Share(1)))
}

// A bucket yields tokens at the rate of its share, accumulates a few and no more, however
// long it is idle, and an empty one yields the first token after one interval.
func TestBucket(t *testing.T) {
	is := is.New(t)
	s := quota.Share{Interval: time.Second, Burst: 2}
	b := quota.NewBucket(t0, s, 0)
	is.True(quota.NewBucket(t0, s, 1).Has(t0, s))
	is.True(!b.Has(t0.Add(999*time.Millisecond), s))
	is.True(b.Has(t0.Add(time.Second), s))
	later := t0.Add(time.Hour)
	for range 2 {
		is.True(b.Has(later, s))
		b = b.Take(later, s)
	}
	is.True(!b.Has(later, s))
	is.Equal(b.Next(s), later.Add(time.Second))
	fast := quota.Share{Interval: 10 * time.Millisecond, Burst: 2}
	is.True(b.WithShare(later, s, fast).Has(later.Add(10*time.Millisecond), fast)) // a higher rate applies at once
	slow := quota.Share{Interval: 10 * time.Second, Burst: 2}
	is.True(!b.WithShare(later, s, slow).Has(later.Add(9*time.Second), slow)) // and so does a lower one
	is.True(b.WithShare(later, s, slow).WithShare(later, slow, s).Has(later.Add(time.Second), s))
}

// simFleet simulates gateways in virtual time that join, crash, restart, are partitioned
// and suspended, and learn of each other with a delay.
type simFleet struct {
	rng      *rand.Rand
	gateways []*simGateway
	// next numbers the address of the next gateway that joins.
	next int
}

// simGateway is one gateway of the simulation.
type simGateway struct {
	fleet *fleet.Fleet
	// limitAt is when the gateway learns of the limit.
	limitAt time.Time
	bucket  quota.Bucket
	share   quota.Share
	started bool
	// ignoredUntil is until when the gateway's requests are not counted, after it started
	// or was suspended or partitioned.
	ignoredUntil time.Time
	// suspendedUntil is the end of a suspension, partitionedUntil the end of a partition.
	suspendedUntil, partitionedUntil time.Time
	// exchangedAt is the time of its last membership exchange, checkedAt when it last
	// checked whether it is a holder.
	exchangedAt, checkedAt time.Time
	holder                 bool
}

// isHolder reports whether the gateway is a holder; the answer is cached for half a second.
func (g *simGateway) isHolder(now time.Time, key uint64, n int) bool {
	if now.Sub(g.checkedAt) >= 500*time.Millisecond {
		g.holder, g.checkedAt = g.fleet.Holds(now, key, n), now
	}
	return g.holder
}

// ignoredFor is how long a gateway is not counted after a start, a suspension or a
// partition: two exchanges with seeds, and some time to learn of gateways that joined
// meanwhile.
const ignoredFor = 4 * time.Second

// add adds a gateway to the fleet.
func (f *simFleet) add(now time.Time, settled bool) {
	g := &simGateway{
		fleet:   fleet.New(fleet.Member{Address: fmt.Sprintf("10.0.%d.%d:1", f.next/250, f.next%250), Zone: "z", Start: 1}),
		limitAt: now.Add(time.Duration(f.rng.IntN(2000)) * time.Millisecond),
	}
	f.next++
	g.fleet.Started(now, []string{"10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1"}, false, 0)
	if !settled {
		g.ignoredUntil = now.Add(ignoredFor)
	}
	f.gateways = append(f.gateways, g)
}

// settle gives all gateways complete membership.
func (f *simFleet) settle(now time.Time) {
	members := make([]fleet.Member, len(f.gateways))
	for i, g := range f.gateways {
		members[i] = g.fleet.Sample(now, 1, 0)[0]
	}
	for _, g := range f.gateways {
		g.fleet.Merge(now, members)
	}
}

// exchange runs a membership exchange between the gateway and a random other one.
func (f *simFleet) exchange(now time.Time, g *simGateway) {
	other := f.gateways[f.rng.IntN(len(f.gateways))]
	if other == g || now.Before(g.partitionedUntil) != now.Before(other.partitionedUntil) || now.Before(other.suspendedUntil) || now.Before(g.suspendedUntil) {
		return
	}
	g.fleet.Beat()
	other.fleet.Merge(now, g.fleet.Sample(now, other.fleet.Known(now), f.rng.Uint64()))
	g.fleet.Merge(now, other.fleet.Sample(now, g.fleet.Known(now), f.rng.Uint64()))
	g.exchangedAt = now
}

// disturbance is a kind of fault or membership change.
type disturbance int

const (
	noDisturbance disturbance = iota
	// dies stops one gateway, or several of a large fleet; joins adds one.
	dies
	joins
	// suspended pauses a gateway; partitioned separates half of the fleet from the other
	// half.
	suspended
	partitioned
	restarts
	disturbances
)

// disturbRandomly applies a random disturbance to the fleet.
func (f *simFleet) disturbRandomly(now time.Time) {
	what := noDisturbance + 1 + disturbance(f.rng.IntN(int(disturbances)-1))
	f.apply(now, what, f.rng.IntN(len(f.gateways)), time.Duration(f.rng.IntN(6000))*time.Millisecond)
}

// apply applies the disturbance to the gateway with that number, for the duration d.
func (f *simFleet) apply(now time.Time, what disturbance, i int, d time.Duration) {
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
		g.suspendedUntil = now.Add(d)
		g.ignoredUntil = g.suspendedUntil.Add(ignoredFor)
	case partitioned:
		for _, g := range f.gateways[:len(f.gateways)/2] {
			g.partitionedUntil = now.Add(d)
			g.ignoredUntil = g.partitionedUntil.Add(ignoredFor)
		}
	case restarts:
		g.bucket, g.started = quota.Bucket{}, false
		g.ignoredUntil = now.Add(ignoredFor)
	case noDisturbance, disturbances:
	}
}

// disturbanceInterval is the mean number of steps between two disturbances.
const disturbanceInterval = 100

// maybeDisturb disturbs the fleet at random steps.
func (f *simFleet) maybeDisturb(now time.Time) {
	if f.rng.IntN(disturbanceInterval) == 0 {
		f.disturbRandomly(now)
	}
}

// calm leaves the fleet undisturbed.
func calm(time.Time) {}

// simulate lets every gateway send whenever it may, and returns the times of the counted
// requests. It calls before at the start of each step.
func (f *simFleet) simulate(split quota.Split, key uint64, from time.Time, length time.Duration, before func(now time.Time)) []time.Time {
	const step = 25 * time.Millisecond
	var sent []time.Time
	for now := from; now.Before(from.Add(length)); now = now.Add(step) {
		before(now)
		for _, g := range f.gateways {
			if now.Sub(g.exchangedAt) > fleet.ExchangeInterval && f.rng.IntN(10+len(f.gateways)/2) == 0 {
				f.exchange(now, g)
			}
			if now.Before(g.suspendedUntil) || now.Before(g.limitAt) || !g.isHolder(now, key, split.Holders) {
				continue
			}
			share := split.Share(g.fleet.Retained())
			if !g.started {
				g.bucket, g.share, g.started = quota.NewBucket(now, share, 1), share, true
			}
			if share != g.share {
				g.bucket, g.share = g.bucket.WithShare(now, g.share, share), share
			}
			for g.bucket.Has(now, share) {
				g.bucket = g.bucket.Take(now, share)
				if !now.Before(g.ignoredUntil) {
					sent = append(sent, now)
				}
			}
		}
	}
	return sent
}

// maxInWindow returns the maximum number of arrivals in any window.
func maxInWindow(arrivals []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// The counted gateways together never send an upstream with a limit more in any window than
// its bound, for any size of the fleet and under any disturbance. Undisturbed gateways use
// nine tenths of the limit.
func TestSumOfAllGateways(t *testing.T) {
	const length = 30 * time.Second
	fleets := []struct {
		gateways, runs int
		limits         []float64
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
					for seed := range uint64(tt.runs) {
						f := &simFleet{rng: rand.New(rand.NewPCG(seed, uint64(tt.gateways)))}
						for range tt.gateways {
							f.add(t0, true)
						}
						f.settle(t0)
						disturb := f.maybeDisturb
						if isCalm {
							disturb = calm
						}
						sent := f.simulate(split, f.rng.Uint64(), from, length, disturb)
						most = max(most, maxInWindow(sent, bound.Window))
						for _, at := range sent {
							if at.Sub(from) >= length/2 {
								late++
							}
						}
					}
					used := float64(late) / float64(tt.runs) / (length / 2).Seconds() / bound.Rate
					t.Logf("at most %d in %v of %.1f allowed, used %.2f", most, bound.Window, bound.MaxRequests, used)
					is.True(float64(most) <= bound.MaxRequests)
					if isCalm && tt.gateways > 1 {
						// Up to one token of each holder is used after the end.
						tolerance := float64(split.Holders) / (length / 2).Seconds() / bound.Rate
						is.True(used >= policy.Utilisation-tolerance)
					}
				})
			}
		}
	}
}

// Runs small fleets through all pairs of disturbances of any gateways, at three intervals:
// the second one starts at the same time as the first one, during it, or after it.
func TestSumOfSmallFleets(t *testing.T) {
	is := is.New(t)
	const length, lasts = 16 * time.Second, 3 * time.Second
	bound := limitOf(1)
	split := policy.Divide(bound)
	from := t0.Add(10 * time.Second)
	most, runs := 0, 0
	for n := 2; n <= 4; n++ {
		for first := range n * int(disturbances) {
			for second := range n * int(disturbances) {
				for _, apart := range []time.Duration{0, time.Second, 5 * time.Second} {
					f := &simFleet{rng: rand.New(rand.NewPCG(1, uint64(n)))}
					for range n {
						f.add(t0, true)
					}
					f.settle(t0)
					disturb := func(now time.Time) {
						if now.Equal(from.Add(5 * time.Second)) {
							f.apply(now, disturbance(first/n), first%n, lasts)
						}
						if now.Equal(from.Add(5*time.Second + apart)) {
							f.apply(now, disturbance(second/n), second%n, lasts)
						}
					}
					sent := f.simulate(split, 7, from, length, disturb)
					most = max(most, maxInWindow(sent, bound.Window))
					runs++
				}
			}
		}
	}
	t.Logf("%d runs, at most %d in %v of %.1f allowed", runs, most, bound.Window, bound.MaxRequests)
	is.True(float64(most) <= bound.MaxRequests)
}
