package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gladegauge/gladegauge/internal/core/health"
	"github.com/gladegauge/gladegauge/internal/core/ingress"
	"github.com/gladegauge/gladegauge/internal/core/notice"
	"github.com/gladegauge/gladegauge/internal/core/occupancy"
	"github.com/gladegauge/gladegauge/internal/core/overload"
	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
	"github.com/gladegauge/gladegauge/internal/core/warmup"
)

// Instance is one start of an upstream, as the platform lists it.
type Instance struct {
	// ID names this start; the next start at the same address has another one.
	ID      string
	Address string
	Zone    string
	Pool    string
	// Slots is the number of requests that run at once.
	Slots   int
	Leaving bool
	// Evacuated upstreams get nothing new: their availability zone is emptied.
	Evacuated bool
	// ColdUntil is until when it is cold at least, by what it said itself.
	ColdUntil time.Time
	// Born is when this start began, in milliseconds since 1970, by its own word; 0 if
	// it does not say. A later start under the same identity has a later one.
	Born int64
	// Created is the platform's revision at which the entry was made. It tells
	// entries apart that lapsed and came back; 0 if the platform does not say.
	Created int64
}

// upstream is what the table knows of one instance.
type upstream struct {
	Instance
	// hash is of its identity: what gateways agree on without a word follows from it,
	// also while some know of a new start and others do not. start is what they tell
	// each other of it by.
	hash        uint64
	incarnation uint64
	// place is where it stands in the order of its pool, from 0 up to 1.
	position float64
	// said is what it has said of itself in its answers, health what these show.
	notices notice.State
	health  health.State
	cache   *cache
	warmup  warmup.State
	// throttled is who was turned away here last for too many requests.
	throttled throttle
	// limited is the limit that it has now.
	limit limit
	// limitToldAt is when a change of it was told last.
	limitReportedAt time.Time
	load            load
	latency         latency
	baseGap         baseGap
	// strain is the mean gap between events of its streams, whatever it reads
	// meanwhile; pausing is the mean of the longest gaps of its tight streams.
	meanGap    recentMean
	longestGap recentMean
	running    map[uint64]*run
	// shared is what other gateways told at sharedAt that they have here; it counts
	// until sharedUntil.
	peerLoad      occupancy.Load
	peerLoadAt    time.Time
	peerLoadUntil time.Time
	// askedAt is when the oldest request was sent that it has not said anything
	// after; zero if there is none.
	awaitingSince time.Time
	// heardAt is when it last said anything to any request.
	lastHeardAt time.Time
	// goneUntil is until when it is taken to be gone: another start answered in
	// its place.
	goneUntil time.Time
	// superseded is true if a later start is listed at its address.
	superseded bool
}

// pool is the upstreams that serve the same requests.
type pool struct {
	members []*upstream
	// present is the number of members that are there for new requests. It changes when
	// a rest ends, at orderUntil first; that is zero if none rests.
	present         int
	orderValidUntil time.Time
	cold            coldSplit
	engine          *ingress.Engine
	speed           speed
	// meanTokens is the mean memory of a request, in tokens; 0 before the first.
	meanTokens  float64
	gapTargets  gapTargets
	outputs     outputs
	sent        sent
	reservation reservation
	// queue decides who is turned away.
	queue overload.Queue
	// refused are the requests that found no upstream.
	unplaced arrivals
}

// Table is one gateway's view of the upstreams. It is not safe for concurrent
// use.
type Table struct {
	zone      string
	upstreams map[string]*upstream
	pools     map[string]*pool
	// unlisted is what starts have said of themselves that are not on the list.
	unlisted notice.Book
	lastRun  uint64
	// toldAt is when other gateways told last what they have, toldAge how old that
	// was by then, and gateways their number with this one.
	peersAt  time.Time
	peersAge time.Duration
	gateways int
	// coldLimits are the operators', and holds tells whether this gateway is one of the
	// first n in the order of all of them for the key.
	coldLimits ColdLimits
	holds      func(now time.Time, key uint64, n int) bool
	// limitBounds are of upstreams that name a limit; sharers is the number of gateways
	// that its holders are drawn from.
	limitBounds  LimitBounds
	gatewayCount func() int
	// news are parts that other gateways may not know of yet.
	newParts []occupancy.Part
	// forgetTurn says whose picture is looked through next for parts to forget.
	nextExpireBatch uint64
}

// New returns a table without upstreams for a gateway in the zone.
func New(zone string) *Table {
	return &Table{
		zone:         zone,
		upstreams:    make(map[string]*upstream),
		pools:        make(map[string]*pool),
		gateways:     1,
		holds:        func(time.Time, uint64, int) bool { return true },
		limitBounds:  defaultLimitBounds,
		gatewayCount: func() int { return 1 },
	}
}

// Changes are the identities of upstreams that came and went, of those that began to
// leave, and of those that became cold.
type Changes struct {
	Came    []string
	Went    []string
	Leaving []string
	Cold    []string
	// Restarted are those whose entry tells of another start than before.
	Restarted []string
}

// RestartedAs reports whether the entry tells of another start than this one. A start that
// seems to be earlier is another one all the same: the clock of its host went back.
func (in Instance) RestartedAs(next Instance) bool {
	return in.Born != 0 && next.Born != 0 && in.Born != next.Born
}

// Start tells this start of an upstream from all others, also from later ones under
// the same identity. Of one that does not say when it began, the identity is all there is.
func (in Instance) Start() uint64 {
	id := xxhash.Sum64String(in.ID)
	if in.Born == 0 {
		return id
	}
	return rendezvous.Mix(id, uint64(in.Born))
}

// Any reports whether anything changed.
func (c Changes) Any() bool {
	return len(c.Came)+len(c.Went)+len(c.Leaving)+len(c.Cold)+len(c.Restarted) > 0
}

// open reports whether the upstream may get anything new.
func (in Instance) open() bool { return !in.Leaving && !in.Evacuated }

// SetInstances takes the list of upstreams. What is known of those that stay
// is kept.
func (t *Table) SetInstances(now time.Time, list []Instance) Changes {
	var c Changes
	seen := make(map[string]bool, len(list))
	for _, in := range list {
		seen[in.ID] = true
		u, ok := t.upstreams[in.ID]
		switch {
		case !ok:
			u = t.newUpstream(now, in, false)
			c.Came = append(c.Came, in.ID)
		case u.RestartedAs(in):
			t.unlisted.Put(now, u.incarnation, u.notices)
			u = t.newUpstream(now, in, u.Evacuated)
			c.Restarted = append(c.Restarted, in.ID)
		}
		if in.Leaving && !u.Leaving {
			c.Leaving = append(c.Leaving, in.ID)
		}
		if t.becomesCold(now, u, in) {
			c.Cold = append(c.Cold, in.ID)
		}
		u.Instance = in
		u.incarnation = in.Start()
	}
	for id, u := range t.upstreams {
		if !seen[id] {
			t.unlisted.Put(now, u.incarnation, u.notices)
			delete(t.upstreams, id)
			c.Went = append(c.Went, id)
		}
	}
	t.markSuperseded()
	t.rebuildPools(now)
	slices.Sort(c.Went)
	return c
}

// begin makes the record of a start, in place of that of an earlier one. Evacuated tells
// whether its availability zone was until now. Of the past only what this very start has
// said of itself counts: its entry may have lapsed and come back.
func (t *Table) newUpstream(now time.Time, in Instance, evacuated bool) *upstream {
	incarnation := in.Start()
	u := &upstream{
		hash:        xxhash.Sum64String(in.ID),
		incarnation: incarnation,
		cache:       newCache(0),
		running:     make(map[uint64]*run),
		notices:     t.unlisted.Get(now, incarnation),
	}
	u.Evacuated = evacuated
	t.upstreams[in.ID] = u
	return u
}

// supersede notes the upstreams at whose address a later one is listed: an address
// has one start at a time, and the entry of the earlier one has yet to lapse.
func (t *Table) markSuperseded() {
	latest := make(map[string]int64, len(t.upstreams))
	for _, u := range t.upstreams {
		latest[u.Address] = max(latest[u.Address], u.Created)
	}
	for _, u := range t.upstreams {
		u.superseded = u.Created > 0 && u.Created < latest[u.Address]
	}
}

// index sorts the upstreams into their pools, in order of rank.
func (t *Table) rebuildPools(now time.Time) {
	for _, p := range t.pools {
		p.members = p.members[:0]
	}
	for _, u := range t.upstreams {
		p := t.pool(u.Pool)
		p.members = append(p.members, u)
	}
	for _, p := range t.pools {
		slices.SortFunc(p.members, func(a, b *upstream) int { return cmp.Compare(a.hash, b.hash) })
		p.updateOrder(now)
	}
	t.setCacheLimits()
}

// order gives each upstream that is there its place: the streams that settle at the
// beginning move out of an evacuated availability zone together, and from one that rests
// to the next.
func (p *pool) updateOrder(now time.Time) {
	p.present, p.orderValidUntil = 0, time.Time{}
	for _, u := range p.members {
		if u.present(now) {
			p.present++
		}
		if end := u.notices.RestUntil(); end.After(now) && (p.orderValidUntil.IsZero() || end.Before(p.orderValidUntil)) {
			p.orderValidUntil = end
		}
	}
	i := 0
	for _, u := range p.members {
		u.position = 1
		if u.present(now) {
			u.position = float64(i) / float64(p.present)
			i++
		}
	}
}

// pool returns the pool, which is made if it is not there.
func (t *Table) pool(name string) *pool {
	p, ok := t.pools[name]
	if !ok {
		p = &pool{outputs: make(outputs)}
		t.pools[name] = p
	}
	return p
}

// SetPools takes what the configuration says of the pools' engines.
func (t *Table) SetPools(table *ingress.Table) {
	for name := range t.pools {
		if p, ok := table.Pool(name); ok {
			t.pools[name].engine = p.Engine
			t.pools[name].cold = t.coldSplitOf(p.Cold)
			t.pools[name].gapTargets.set(table.Pauses(name))
		}
	}
	t.setCacheLimits()
}

// limitCaches bounds the pictures of caches by the engines' memory.
func (t *Table) setCacheLimits() {
	for _, p := range t.pools {
		if p.engine == nil {
			continue
		}
		for _, u := range p.members {
			u.cache.setMemory(p.engine.MemoryTokens)
		}
	}
}

// reorder gives the places anew if a rest has ended since.
func (p *pool) refreshOrder(now time.Time) {
	if !p.orderValidUntil.IsZero() && !now.Before(p.orderValidUntil) {
		p.updateOrder(now)
	}
}

// Size returns the number of upstreams of the pool that are there for new requests.
func (t *Table) Size(name string) int {
	if p, ok := t.pools[name]; ok {
		return p.present
	}
	return 0
}
