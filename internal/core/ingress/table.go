package ingress

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
)

// Organisation is a sender of requests.
type Organisation struct {
	Name string
	// Tier ranks the organisation among others on routes of the same tier; 0 is the
	// highest.
	Tier int
	Keys []config.Key
}

// Pool is a set of upstreams that serve the same requests.
type Pool struct {
	Name string
	// MaxConnections is the number of connections that one upstream accepts from all
	// callers together; 0 if it is not stated.
	MaxConnections int
	// Engine describes the model engines of the pool; nil for plain services.
	Engine *Engine
	Cold   Cold
}

// Cold configures the warm-up of a pool's upstreams that have just started or lost their
// warm state. The zero value means no warm-up.
type Cold struct {
	// Period is how long an upstream is cold after its start.
	Period time.Duration
	// PerSecond is the number of requests that a cold upstream handles per second; 0 means
	// as many as a warm one.
	PerSecond float64
}

// Engine configures a pool's model engines.
type Engine struct {
	// Slots is the maximum number of requests in one batch.
	Slots int
	// MemoryTokens is the size of the KV cache of one engine in tokens.
	MemoryTokens int
	// EventTokens is the number of tokens in one event.
	EventTokens int
	// TokenBytes is the size of one token in the KV cache.
	TokenBytes int
	// LinkMbps is the bandwidth between two engines in megabits per second.
	LinkMbps float64
	// Moves is set if engines copy KV cache from one another.
	Moves bool
	// Backups is set if an engine keeps a copy of a run's KV cache on another one, from
	// which the run can resume.
	Backups bool
}

// Limits bound the size and duration of a caller's request.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration. It is immutable and safe to share.
type Table struct {
	Version       int64
	Limits        Limits
	routes        map[string][]*Route
	pools         map[string]Pool
	organisations map[config.Key]*Organisation
	keyless       bool
	tiers         tiers
	lowestTiers   lowestTiers
}

// New returns a table, or all faults found in its parts. Version must be positive. Organisations are
// nil if the configuration has no list of them: only then do requests need no key.
func New(version int64, routes []*Route, pools []Pool, organisations []Organisation, limits Limits) (*Table, config.Faults) {
	t := &Table{
		Version:       version,
		Limits:        limits,
		routes:        make(map[string][]*Route),
		pools:         make(map[string]Pool, len(pools)),
		organisations: make(map[config.Key]*Organisation),
		keyless:       organisations == nil,
	}
	var f config.Faults
	if version <= 0 {
		f.Add("version", "must be above 0")
	}
	for _, p := range pools {
		if p.MaxConnections < 0 {
			f.Add("pools."+p.Name+".max_connections", "must be 0 or more")
		}
		t.pools[p.Name] = p
	}
	for _, r := range routes {
		f = append(f, t.addRoute(r)...)
	}
	for i := range organisations {
		f = append(f, t.addOrganisation(&organisations[i])...)
	}
	if len(f) > 0 {
		return nil, f
	}
	for _, rs := range t.routes {
		slices.SortFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	t.tiers = tiersOf(routes, organisations)
	t.lowestTiers = lowestTiersOf(routes, organisations)
	return t, nil
}

func (t *Table) addRoute(r *Route) config.Faults {
	var f config.Faults
	field := "routes." + r.Name
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		f.Add(field+".prefix", "%q must begin and end with a slash", r.Prefix)
	}
	if r.Kind == 0 {
		f.Add(field+".kind", "is not known")
	}
	if len(r.Shares) == 0 {
		f.Add(field+".shares", "must name a pool")
	}
	for _, s := range r.Shares {
		if s.Weight < 0 {
			f.Add(field+".shares", "weight of %q is below 0", s.Pool)
		}
		if _, ok := t.pools[s.Pool]; !ok {
			f.Add(field+".shares", "pool %q is not declared", s.Pool)
		}
	}
	if r.Timeout <= 0 {
		f.Add(field+".timeout", "must be above 0")
	}
	if r.MaxAttempts < 1 {
		f.Add(field+".attempts", "must be 1 or more")
	}
	t.routes[r.Host] = append(t.routes[r.Host], r)
	return f
}

func (t *Table) addOrganisation(o *Organisation) config.Faults {
	var f config.Faults
	if o.Name == "" {
		f.Add("organisations", "one has no name")
	}
	for _, k := range o.Keys {
		if held, ok := t.organisations[k]; ok && held.Name != o.Name {
			f.Add("organisations."+o.Name, "shares a key with %q", held.Name)
		}
		t.organisations[k] = o
	}
	return f
}

// Route returns the route of the host with the longest matching prefix.
func (t *Table) Route(host, path string) (*Route, bool) {
	for _, r := range t.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Routes returns the number of routes.
func (t *Table) Routes() int {
	n := 0
	for _, rs := range t.routes {
		n += len(rs)
	}
	return n
}

// GapTarget is the target of a streaming route for the gap between two events.
type GapTarget struct {
	Target time.Duration
	// Tier is the rank of the route; 0 is the highest.
	Tier int
}

// GapTargets returns the distinct gap targets of the streaming routes that use the pool, the
// shortest first.
func (t *Table) GapTargets(pool string) []GapTarget {
	var targets []GapTarget
	for _, rs := range t.routes {
		for _, r := range rs {
			if r.EventGapTarget > 0 && r.serves(pool) {
				targets = append(targets, GapTarget{Target: r.EventGapTarget, Tier: r.Tier})
			}
		}
	}
	slices.SortFunc(targets, func(a, b GapTarget) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Tier, b.Tier))
	})
	return slices.Compact(targets)
}

// LongestResumable returns the longest timeout of a route with resumable streams; 0 if there is
// none.
func (t *Table) LongestResumable() time.Duration {
	var longest time.Duration
	for r := range t.resumableRoutes {
		longest = max(longest, r.Timeout)
	}
	return longest
}

// ResumablePools returns the pools that serve routes with resumable streams, sorted.
func (t *Table) ResumablePools() []string {
	var pools []string
	for r := range t.resumableRoutes {
		for _, s := range r.Shares {
			pools = append(pools, s.Pool)
		}
	}
	slices.Sort(pools)
	return slices.Compact(pools)
}

// resumableRoutes iterates over the routes with resumable streams.
func (t *Table) resumableRoutes(yield func(*Route) bool) {
	for _, rs := range t.routes {
		for _, r := range rs {
			if r.MayResume() && !yield(r) {
				return
			}
		}
	}
}

// NeedsKey reports whether requests on the route must carry a key.
func (t *Table) NeedsKey(r *Route) bool { return !t.keyless && !r.Public }

// Organisation returns the owner of the key.
func (t *Table) Organisation(key string) (*Organisation, bool) {
	o, ok := t.organisations[config.HashKey(key)]
	return o, ok
}

// Pool returns a pool by name.
func (t *Table) Pool(name string) (Pool, bool) {
	p, ok := t.pools[name]
	return p, ok
}
