package stream_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/fleet"
	"github.com/gladegauge/gladegauge/internal/core/rollout"
	"github.com/gladegauge/gladegauge/internal/core/stream"
)

// Times of a replay.
const (
	replayStep     = 20 * time.Millisecond
	replayDuration = 40 * time.Second
	// touchTime is how long a gateway must have been without a fault to count as in touch.
	touchTime = 3 * time.Second
	// maxListDelay is the maximum time until a gateway learns of a change of the list.
	maxListDelay = 60 * time.Millisecond
	maxReturn    = 500 * time.Millisecond
	maxCut       = 6 * time.Second
	// killInterval and cutInterval are the mean times between two kills, or cuts, of the same
	// gateway.
	killInterval = 8 * time.Second
	cutInterval  = 30 * time.Second
	// updateInterval is the mean interval at which a gateway learns of the others.
	updateInterval = time.Second
	// stepsPerUpdate is the number of steps after which a gateway learns of changes of the list.
	stepsPerUpdate = 5
	copies         = 2
	pool           = "p"
)

// gateway is one gateway of a replay.
type gateway struct {
	address  string
	tracker  *stream.Tracker
	fleet    *fleet.Fleet
	cutUntil time.Time
	// faultAt is when it was last killed, or a cut of it ended.
	faultAt time.Time
	delay   time.Duration
	// listed is the list of versions that it knows, by upstream.
	listed []string
}

// replayedStream is a stream that broke off, and whose caller returns.
type replayedStream struct {
	id       string
	version  string
	returnAt time.Time
	// known is true if its gateway could report it when it began.
	known bool
}

// change is a state of the list of upstreams.
type change struct {
	at   time.Time
	list []string
}

// replay is a fleet before one pool in virtual time. Upstreams are replaced by ones of other
// versions, gateways are killed, and cut off from the others and from the store.
type replay struct {
	rng      *rand.Rand
	now      time.Time
	gateways []*gateway
	// byAddress are the gateways by address, and members what they tell of themselves.
	byAddress map[string]*gateway
	members   []fleet.Member
	changes   []change
	broken    []replayedStream
	next      int

	mixed, unknown          int
	begun, taken, continued int
	reported                int
}

func newReplay(seed uint64, n int, list []string) *replay {
	r := &replay{byAddress: make(map[string]*gateway), rng: rand.New(rand.NewPCG(seed, uint64(n))), now: time.Unix(1000, 0)}
	r.changes = []change{{r.now.Add(-time.Hour), list}}
	for i := range n {
		g := &gateway{address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)}
		r.gateways = append(r.gateways, g)
		r.byAddress[g.address] = g
		r.members = append(r.members, fleet.Member{Address: g.address, Zone: "a", Start: 1})
	}
	for _, g := range r.gateways {
		r.start(g, true)
	}
	return r
}

// start starts a gateway, which learns of the others at once.
func (r *replay) start(g *gateway, first bool) {
	g.tracker, g.listed = stream.NewTracker(first), nil
	g.fleet = fleet.New(fleet.Member{Address: g.address, Zone: "a", Start: uint64(r.now.UnixNano())})
	g.delay = time.Duration(r.rng.Int64N(int64(maxListDelay)))
	g.faultAt = r.now
	if first {
		g.faultAt = time.Time{}
	}
	r.update(g)
}

func (g *gateway) isCut(now time.Time) bool { return now.Before(g.cutUntil) }

// update gives a gateway the list and the members that it can know.
func (r *replay) update(g *gateway) {
	if g.isCut(r.now) {
		return
	}
	for _, c := range r.changes {
		if !c.at.After(r.now.Add(-g.delay)) {
			g.listed = c.list
		}
	}
	serving := make([]rollout.Serving, len(g.listed))
	for i, v := range g.listed {
		serving[i] = rollout.Serving{Pool: pool, Version: rollout.VersionOf(pool, v)}
	}
	g.tracker.Observe(r.now, serving)
	g.tracker.ListedAt(r.now.Add(-g.delay))
	if r.chance(updateInterval, 1) || g.fleet.Known(r.now) == 1 {
		g.fleet.Merge(r.now, r.members)
	}
}

// chance returns true once per interval on average for each of n.
func (r *replay) chance(interval time.Duration, n int) bool {
	return r.rng.Float64() < float64(n)*float64(replayStep)/float64(interval)
}

// at returns the gateway at the address if it can be reached from g.
func (r *replay) at(g *gateway, address string) *gateway {
	if other := r.byAddress[address]; !g.isCut(r.now) && !other.isCut(r.now) {
		return other
	}
	return nil
}

// record records a stream at its gateway, and reports it if others have to know it.
func (r *replay) record(g *gateway, id, version string) {
	v := rollout.VersionOf(pool, version)
	if !g.tracker.Begin(r.now, pool, stream.AttemptOf(id), v, maxReturn) {
		return
	}
	for _, address := range g.fleet.Recorders(r.now, copies) {
		if other := r.at(g, address); other != nil {
			other.tracker.Record(r.now, v, maxReturn, stream.AttemptOf(id))
			r.reported++
		}
	}
}

// begin begins a stream, which breaks off.
func (r *replay) begin() {
	g := r.gateways[r.rng.IntN(len(r.gateways))]
	if len(g.listed) == 0 {
		return // It has started while it was cut off.
	}
	if !g.tracker.KnowsSettled(r.now, pool) {
		for _, address := range g.fleet.AllRecorders(r.now) {
			if other := r.at(g, address); other != nil {
				g.tracker.Settle(pool, other.tracker.Answer(r.now, pool, stream.AttemptOf("")))
			}
		}
	}
	unsettled := g.tracker.Unsettled(r.now, pool)
	candidates := slices.DeleteFunc(slices.Clone(g.listed), func(v string) bool {
		return slices.Contains(unsettled, rollout.VersionOf(pool, v))
	})
	version := candidates[r.rng.IntN(len(candidates))]
	id := fmt.Sprint("s-", r.next)
	r.next++
	r.begun++
	r.record(g, id, version)
	r.broken = append(r.broken, replayedStream{id, version, r.now.Add(time.Duration(r.rng.Int64N(int64(maxReturn)))), !g.isCut(r.now)})
	if r.chance(killInterval, len(r.gateways)) {
		r.start(g, false) // It is killed right after the first event.
	}
}

// resume resumes a stream at a random gateway, at which it breaks off again half of the time.
func (r *replay) resume(s replayedStream) {
	g := r.gateways[r.rng.IntN(len(r.gateways))]
	attempt := stream.AttemptOf(s.id)
	k := g.tracker.Find(r.now, pool, attempt)
	if k.Source == stream.Unknown {
		for _, address := range g.fleet.AllRecorders(r.now) {
			if other := r.at(g, address); other != nil {
				k = k.With(other.tracker.Answer(r.now, pool, attempt))
			}
		}
	}
	serving := 0
	for _, v := range g.listed {
		if v == s.version {
			serving++
		}
	}
	if inTouch := !g.isCut(r.now) && r.now.Sub(g.faultAt) > touchTime; inTouch && s.known && serving > 1 {
		r.taken++
		if k.Source != stream.Unknown {
			r.continued++
		}
	}
	switch {
	case k.Source == stream.Unknown:
		r.unknown++
		return
	case k.Version != rollout.VersionOf(pool, s.version):
		r.mixed++
		return
	}
	r.record(g, s.id, s.version)
	if r.rng.IntN(2) == 0 {
		s.returnAt = r.now.Add(time.Duration(r.rng.Int64N(int64(maxReturn))))
		r.broken = append(r.broken, s)
	}
}

// cut cuts a random gateway off.
func (r *replay) cut() {
	g := r.gateways[r.rng.IntN(len(r.gateways))]
	g.cutUntil = r.now.Add(time.Duration(r.rng.Int64N(int64(maxCut))))
	g.faultAt = g.cutUntil
}

// run plays the fleet. Rollout returns the next list of upstreams, or nil for no change.
func (r *replay) run(rollOut func(at time.Duration, list []string) []string) {
	start := r.now
	for step := 0; r.now.Before(start.Add(replayDuration)); step++ {
		r.now = r.now.Add(replayStep)
		if list := rollOut(r.now.Sub(start), r.changes[len(r.changes)-1].list); list != nil {
			r.changes = append(r.changes, change{r.now, list})
		}
		for i := range r.members {
			r.members[i].Beat = uint64(r.now.UnixNano())
		}
		for i, g := range r.gateways {
			if (step+i)%stepsPerUpdate == 0 {
				r.update(g)
			}
		}
		r.begin()
		if r.chance(cutInterval, len(r.gateways)) {
			r.cut()
		}
		due := r.broken
		r.broken = nil
		for _, s := range due {
			if s.returnAt.After(r.now) {
				r.broken = append(r.broken, s)
				continue
			}
			r.resume(s)
		}
	}
}

// repeated returns n upstreams of each of the versions.
func repeated(n int, versions ...string) []string {
	var list []string
	for _, v := range versions {
		for range n {
			list = append(list, v)
		}
	}
	return list
}

// Streams that are resumed anywhere go on at the version that began them, however many versions
// serve and whatever becomes of the gateways: each is killed every eight seconds, always right
// after the first event of a stream, and cut off every thirty. Of the streams resumed at gateways
// in touch nine in ten go on, while all new ones begin.
func TestReplaysOfRollouts(t *testing.T) {
	const minShare = 0.9
	tests := []struct {
		name     string
		versions []string
		rollOut  func(at time.Duration, list []string) []string
		// exchanges is true if gateways have to report streams.
		exchanges bool
		// large are further numbers of gateways.
		large []int
	}{
		{"one version", []string{"v1"}, func(time.Duration, []string) []string { return nil }, false, nil},
		{"two versions", []string{"v1", "v2"}, func(time.Duration, []string) []string { return nil }, true, nil},
		{"three versions", []string{"v1", "v2", "v3"}, func(time.Duration, []string) []string { return nil }, true, nil},
		{"rolled out upstream by upstream", []string{"v1"}, func(at time.Duration, list []string) []string {
			if i := int(at / (2 * time.Second)); at%(2*time.Second) == 0 && i >= 5 && i < 11 {
				return append(append([]string{}, list[1:]...), "v2")
			}
			return nil
		}, true, []int{300}},
		{"rolled out and back at once", []string{"v1"}, func(at time.Duration, _ []string) []string {
			if at == 15*time.Second {
				return repeated(3, "v1", "v2")
			}
			if at == 19*time.Second {
				return repeated(6, "v1")
			}
			return nil
		}, true, nil},
	}
	for _, tt := range tests {
		for _, n := range append([]int{4, 12, 30}, tt.large...) {
			t.Run(fmt.Sprintf("%s, %d gateways", tt.name, n), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				seeds := uint64(3)
				if n > 12 {
					seeds = 1
				}
				for seed := range seeds {
					r := newReplay(seed, n, repeated(6/len(tt.versions), tt.versions...))
					r.run(tt.rollOut)
					t.Logf("seed %d: %d began, %d of %d resumed at gateways in touch went on, %d refused, %d reports", seed, r.begun, r.continued, r.taken, r.unknown, r.reported)
					is.Equal(r.mixed, 0)
					is.True(r.taken >= 12)
					is.True(float64(r.continued) >= minShare*float64(r.taken))
					if tt.exchanges {
						is.True(r.reported > 0)
					}
				}
			})
		}
	}
}

// After all gateways were killed at once, streams that had begun before went on at another version
// once the gateways had watched the pool for as long as twice the longest timeout of a route.
func TestStreamsJoinedAfterAllGatewaysWereKilled(t *testing.T) {
	const streams, minShare = 50, 0.9
	tests := []struct {
		name string
		// begun serves when the streams begin, before when the gateways are killed, and after when
		// they start.
		begun, before, after []string
	}{
		{"both versions serve on", repeated(3, "v1", "v2"), repeated(3, "v1", "v2"), repeated(3, "v1", "v2")},
		{"the old version has just left", repeated(3, "v1", "v2"), repeated(3, "v2"), repeated(3, "v2")},
		{"the new version has just left", repeated(3, "v1", "v2"), repeated(3, "v1"), repeated(3, "v1")},
		{"the old version left meanwhile", repeated(3, "v1", "v2"), repeated(3, "v1", "v2"), repeated(3, "v2")},
		{"the old version was replaced meanwhile", repeated(3, "v1"), repeated(3, "v1"), repeated(3, "v2")},
		{"one version", repeated(3, "v1"), repeated(3, "v1"), repeated(3, "v1")},
	}
	for _, tt := range tests {
		for _, late := range []time.Duration{time.Second, 11 * time.Second, 22 * time.Second, time.Minute, 10 * time.Minute} {
			t.Run(fmt.Sprintf("%s, resumed after %v", tt.name, late), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				r := newReplay(1, 3, tt.begun)
				r.calm(2 * stream.MaxListAge)
				r.beginMany(streams)
				earlier := r.broken
				r.changes = append(r.changes, change{r.now, tt.before})
				r.calm(time.Second)
				for _, g := range r.gateways {
					r.start(g, false)
				}
				r.changes = append(r.changes, change{r.now, tt.after})
				r.calm(touchTime + maxListDelay)
				r.broken, r.begun = nil, 0
				r.beginMany(streams)
				later := r.broken
				r.calm(late)
				for _, s := range earlier {
					r.resume(s)
				}
				is.Equal(r.mixed, 0)
				r.unknown = 0
				for _, s := range later {
					r.resume(s)
				}
				is.Equal(r.mixed, 0)
				if late <= (stream.Windows{}).WithTimeout(0).Record {
					is.True(float64(streams-r.unknown) >= minShare*streams) // what began after the start goes on
				}
			})
		}
	}
}

// beginMany begins so many streams.
func (r *replay) beginMany(n int) {
	for range n {
		r.begin()
	}
}

// calm lets time pass without a fault.
func (r *replay) calm(d time.Duration) {
	const step = time.Second / 2
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(min(step, end.Sub(r.now)))
		for i := range r.members {
			r.members[i].Beat = uint64(r.now.UnixNano())
		}
		for _, g := range r.gateways {
			r.update(g)
		}
	}
}
