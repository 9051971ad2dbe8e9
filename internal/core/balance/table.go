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
	"github.com/gladegauge/gladegauge/internal/core/pace"
	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
	"github.com/gladegauge/gladegauge/internal/core/rollout"
	"github.com/gladegauge/gladegauge/internal/core/warmup"
)

// Instance is one incarnation of an upstream, as the platform lists it.
type Instance struct {
	// ID is the upstream's identity. The next incarnation at the same address usually has
	// another one; see Born for one that keeps it.
	ID      string
	Address string
	Zone    string
	Pool    string
	// Version is the software version that the upstream states; empty if it states none.
	// What upstreams of two versions write must not be combined in one stream.
	Version string
	// Slots is the number of requests that it runs concurrently.
	Slots   int
	Leaving bool
	// Evacuated upstreams get no new requests: their availability zone is being emptied.
	Evacuated bool
	// ColdUntil is the earliest end of the warm-up that the upstream itself reported.
	ColdUntil time.Time
	// Born is the start time of this incarnation as reported by the upstream, in
	// milliseconds since 1970; 0 if it does not report one. A later incarnation with the
	// same ID has a later time.
	Born int64
	// Created is the platform's revision at which the entry was created. It distinguishes
	// entries that expired and were created again; 0 if the platform does not report it.
	Created int64
}

// upstream is the state that the table keeps for one incarnation.
type upstream struct {
	Instance
	// version identifies its software version.
	version rollout.Version
	// hash is the hash of its ID. Decisions on which gateways agree without communication
	// are derived from it, so that they also agree while only some of them know of a new
	// incarnation. incarnation is the key by which gateways exchange load reports.
	hash        uint64
	incarnation uint64
	// position is its relative position in the order of its pool, from 0 up to 1.
	position float64
	// notices is what it reported about itself in its answers; health is derived from the
	// outcomes of requests.
	notices notice.State
	health  health.State
	cache   *cache
	warmup  warmup.State
	// throttled is the organisation whose request it rejected last for too many requests.
	throttled throttle
	// limit is the rate limit in force.
	limit limit
	// limitReportedAt is when a change of the limit was last reported to the caller.
	limitReportedAt time.Time
	load            load
	pace            pace.Upstream
	running         map[uint64]*run
	// peerLoad is the load that other gateways reported for it at peerLoadAt; it is valid
	// until peerLoadUntil.
	peerLoad      occupancy.Load
	peerLoadAt    time.Time
	peerLoadUntil time.Time
	// awaitingSince is when the oldest request was sent since which it has sent nothing;
	// zero if there is none.
	awaitingSince time.Time
	// lastReceivedAt is when it last sent anything for any request.
	lastReceivedAt time.Time
	// goneUntil is the time until which it is considered gone, because another
	// incarnation answered at its address or nothing listened there.
	goneUntil time.Time
	// replacedUntil is the same for the first of these reasons.
	replacedUntil time.Time
	// successor is the upstream with the latest entry at its address, if that is a later one;
	// nil otherwise.
	successor *upstream
}

// pool is the set of upstreams that serve the same requests.
type pool struct {
	members []*upstream
	// present is the number of members that accept new requests. It changes when a
	// requested backoff ends; orderValidUntil is the first such end, zero if no member is
	// backing off.
	present         int
	orderValidUntil time.Time
	cold            coldSplit
	engine          *ingress.Engine
	// maxConnections is the number of connections that one upstream accepts from all
	// gateways together; 0 if the configuration does not state it.
	maxConnections int
	speed          speed
	// paces computes the pool's baseline.
	paces pace.Collector
	// meanTokens is the mean memory of a request, in tokens; 0 before the first request.
	meanTokens  float64
	gapTargets  gapTargets
	outputs     outputs
	sent        sent
	reservation reservation
	// queue decides which requests are shed.
	queue overload.Queue
	// unplaced counts the requests for which no upstream was available.
	unplaced arrivals
	// service is used by pools without a model engine.
	service service
}

// Table is one gateway's view of the upstreams. It is not safe for concurrent use.
type Table struct {
	zone      string
	upstreams map[string]*upstream
	pools     map[string]*pool
	// unlisted holds the notices of incarnations that are not on the list.
	unlisted notice.StateCache
	// ended is when incarnations were removed from the list.
	ended   map[uint64]time.Time
	lastRun uint64
	// peersAt is when loads of other gateways were last received, peersAge how old they
	// were on arrival, and gateways the number of gateways including this one.
	peersAt  time.Time
	peersAge time.Duration
	gateways int
	// coldLimits are set by the operators. holds reports whether this gateway is among
	// the first n gateways in rendezvous order for the key.
	coldLimits ColdLimits
	holds      func(now time.Time, key uint64, n int) bool
	// limitBounds apply to upstreams that name a rate limit; gatewayCount returns the
	// number of gateways from which the limit's holders are drawn.
	limitBounds  LimitBounds
	gatewayCount func() int
	// connected reports whether this gateway has an idle connection to an address; nil if
	// that is unknown.
	connected func(now time.Time, address string) bool
	// newParts are cached parts that have not been announced to other gateways yet.
	newParts []occupancy.Part
	// nextExpireBatch selects the upstreams whose cache model is expired next.
	nextExpireBatch uint64
}

// New returns a table without upstreams for a gateway in the zone.
func New(zone string) *Table {
	return &Table{
		zone:         zone,
		upstreams:    make(map[string]*upstream),
		ended:        make(map[uint64]time.Time),
		pools:        make(map[string]*pool),
		gateways:     1,
		holds:        func(time.Time, uint64, int) bool { return true },
		limitBounds:  defaultLimitBounds,
		gatewayCount: func() int { return 1 },
	}
}

// Changes lists the IDs of upstreams that were added, were removed, began to leave or
// became cold.
type Changes struct {
	Added   []string
	Removed []string
	Leaving []string
	Cold    []string
	// Restarted lists those whose entry describes another incarnation than before.
	Restarted []string
}

// RestartedAs reports whether next is another incarnation. An incarnation with an earlier
// start time also counts as another one: the clock of its host may have been set back.
func (in Instance) RestartedAs(next Instance) bool {
	return (in.Born != 0 && next.Born != 0 && in.Born != next.Born) || in.Version != next.Version
}

// SoftwareVersion identifies the software version of the upstream.
func (in Instance) SoftwareVersion() rollout.Version { return rollout.VersionOf(in.Pool, in.Version) }

// IncarnationKey returns a key that distinguishes this incarnation from all others,
// including later ones with the same ID. If the upstream does not report its start time,
// the key depends on the ID alone.
func (in Instance) IncarnationKey() uint64 {
	id := xxhash.Sum64String(in.ID)
	if in.Born == 0 {
		return id
	}
	return rendezvous.Mix(id, uint64(in.Born))
}

// Any reports whether anything changed.
func (c Changes) Any() bool {
	return len(c.Added)+len(c.Removed)+len(c.Leaving)+len(c.Cold)+len(c.Restarted) > 0
}

// open reports whether the upstream may get new requests.
func (in Instance) open() bool { return !in.Leaving && !in.Evacuated }

// SetInstances replaces the list of upstreams. The state of upstreams that stay is kept.
func (t *Table) SetInstances(now time.Time, list []Instance) Changes {
	var c Changes
	seen := make(map[string]bool, len(list))
	for _, in := range list {
		seen[in.ID] = true
		u, ok := t.upstreams[in.ID]
		switch {
		case !ok:
			u = t.newUpstream(now, in, false)
			c.Added = append(c.Added, in.ID)
		case u.RestartedAs(in):
			t.unlisted.Put(now, u.incarnation, u.notices)
			t.recordEnded(now, u.incarnation)
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
		u.version = in.SoftwareVersion()
		u.incarnation = in.IncarnationKey()
	}
	for id, u := range t.upstreams {
		if !seen[id] {
			t.unlisted.Put(now, u.incarnation, u.notices)
			t.recordEnded(now, u.incarnation)
			delete(t.upstreams, id)
			c.Removed = append(c.Removed, id)
		}
	}
	t.setSuccessors()
	t.rebuildPools(now)
	slices.Sort(c.Removed)
	return c
}

// newUpstream creates the state of a new incarnation, replacing that of an earlier one.
// evacuated is whether its availability zone was evacuated until now. Only notices of
// this very incarnation are carried over, since its entry may have expired and been
// created again.
func (t *Table) newUpstream(now time.Time, in Instance, evacuated bool) *upstream {
	incarnation := in.IncarnationKey()
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

// VersionAt returns the software version of the upstream that was chosen. It is unstated if
// another incarnation is listed by now: either of them may have answered.
func (t *Table) VersionAt(c Choice) rollout.Version {
	if u, ok := t.upstreams[c.ID]; ok && c.RestartedAs(u.Instance) {
		return rollout.Unstated
	}
	return c.SoftwareVersion()
}

// setSuccessors finds the upstreams at whose address a later entry is listed. Only one
// incarnation runs at an address at a time; the entry of the earlier one has not expired yet.
func (t *Table) setSuccessors() {
	latest := make(map[string]*upstream, len(t.upstreams))
	for _, u := range t.upstreams {
		if l, ok := latest[u.Address]; !ok || u.Created > l.Created {
			latest[u.Address] = u
		}
	}
	for _, u := range t.upstreams {
		u.successor = nil
		if l := latest[u.Address]; u.Created > 0 && u.Created < l.Created {
			u.successor = l
		}
	}
}

// rebuildPools assigns the upstreams to their pools and sorts each pool by hash.
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

// updateOrder assigns positions to the upstreams that accept new requests. When an
// availability zone is evacuated, tight streams at the beginning of the order thus move
// together; when an upstream backs off, they move to the next one.
func (p *pool) updateOrder(now time.Time) {
	p.present, p.orderValidUntil = 0, time.Time{}
	for _, u := range p.members {
		if u.present(now) {
			p.present++
		}
		if end := u.notices.BackoffUntil(); end.After(now) && (p.orderValidUntil.IsZero() || end.Before(p.orderValidUntil)) {
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

// pool returns the named pool and creates it if necessary.
func (t *Table) pool(name string) *pool {
	p, ok := t.pools[name]
	if !ok {
		p = &pool{outputs: make(outputs)}
		t.pools[name] = p
	}
	return p
}

// SetPools applies the configuration of the pools.
func (t *Table) SetPools(table *ingress.Table) {
	for name := range t.pools {
		if p, ok := table.Pool(name); ok {
			t.pools[name].engine = p.Engine
			t.pools[name].maxConnections = p.MaxConnections
			t.pools[name].cold = t.coldSplitOf(p.Cold)
			t.pools[name].gapTargets.set(table.GapTargets(name))
		}
	}
	t.setCacheLimits()
}

// setCacheLimits bounds the cache models by the engines' memory.
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

// refreshOrder updates the order if a requested backoff has ended since.
func (p *pool) refreshOrder(now time.Time) {
	if !p.orderValidUntil.IsZero() && !now.Before(p.orderValidUntil) {
		p.updateOrder(now)
	}
}

// Has reports whether the upstream is on the list, in the same pool.
func (t *Table) Has(in Instance) bool {
	u, ok := t.upstreams[in.ID]
	return ok && u.Pool == in.Pool
}

// Size returns the number of upstreams of the pool that accept new requests.
func (t *Table) Size(name string) int {
	if p, ok := t.pools[name]; ok {
		return p.present
	}
	return 0
}
