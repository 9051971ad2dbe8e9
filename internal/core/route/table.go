package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gladegauge/gladegauge/internal/core/agent"
	"github.com/gladegauge/gladegauge/internal/core/member"
	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// Defaults and bounds of a table.
const (
	// DefaultSubset is the number of agents of a pool that one entry uses.
	DefaultSubset = 16
	// DefaultSample is the number of agents that one pick compares.
	DefaultSample = 4
	// staleAfter is the age at which a load says nothing any more.
	staleAfter = 2 * time.Second
	// unknownWait is what an agent without a load is taken to have.
	unknownWait = 50 * time.Millisecond
	// zoneCost is the handicap of an agent in another availability zone.
	zoneCost = 2 * time.Millisecond
	// prefixGain is the head start of an agent that may hold the prefix.
	prefixGain = 150 * time.Millisecond
	// pendingCost is the wait that an offer without an answer stands for.
	pendingCost = 20 * time.Millisecond
	// ownZoneShare is the part of the subset for the entry's own zone.
	ownZoneShare = 2.0 / 3
)

// Options are the settings of a table. Zero values take the defaults.
type Options struct {
	Entry  string
	Zone   string
	Subset int
	Sample int
	// Random picks without regard to load; the baseline.
	Random bool
	// NoPrefix ignores prompt prefixes; for comparison.
	NoPrefix bool
	// NoEjection keeps agents that fail; for comparison.
	NoEjection bool
}

// upstream is what the table knows of one agent.
type upstream struct {
	host    member.Host
	hash    uint64
	load    agent.Load
	loadAt  time.Time
	known   bool
	pending int
	health  health
}

// pool is the part of a pool that this entry uses.
type pool struct {
	members []*upstream
}

// Table is an entry's view of the agents. It is not safe for concurrent use.
type Table struct {
	options Options
	rng     *rand.Rand
	hosts   map[string]*upstream
	pools   map[string]*pool
	set     *member.Set
	scratch []*upstream
}

// New returns a table without agents.
func New(o Options, rng *rand.Rand) *Table {
	if o.Subset == 0 {
		o.Subset = DefaultSubset
	}
	if o.Sample == 0 {
		o.Sample = DefaultSample
	}
	return &Table{
		options: o,
		rng:     rng,
		hosts:   make(map[string]*upstream),
		pools:   make(map[string]*pool),
		set:     member.NewSet(),
	}
}

// SetMembers takes a new list of hosts. What is known of agents that stay is
// kept; an agent whose address changed is a new one.
func (t *Table) SetMembers(set *member.Set) {
	t.set = set
	seen := make(map[string]bool)
	names := make(map[string]bool)
	for _, h := range set.All() {
		if h.Role != member.Agent {
			continue
		}
		seen[h.ID] = true
		names[h.Pool] = true
		held, ok := t.hosts[h.ID]
		if !ok || held.host.Address != h.Address {
			t.hosts[h.ID] = &upstream{host: h, hash: xxhash.Sum64String(h.ID)}
			continue
		}
		held.host = h
	}
	for id := range t.hosts {
		if !seen[id] {
			delete(t.hosts, id)
		}
	}
	t.pools = make(map[string]*pool, len(names))
	for name := range names {
		t.pools[name] = &pool{members: t.subset(name)}
	}
}

// subset chooses the agents of a pool that this entry uses: its own
// availability zone first, and some of the others so that a zone's end does
// not leave it without any.
func (t *Table) subset(name string) []*upstream {
	var own, others []string
	for _, h := range t.set.Agents(name) {
		switch {
		case h.Leaving:
		case h.Zone == t.options.Zone:
			own = append(own, h.ID)
		default:
			others = append(others, h.ID)
		}
	}
	key := t.options.Entry + "/" + name
	fromOwn := int(ownZoneShare * float64(t.options.Subset))
	fromOwn = max(fromOwn, t.options.Subset-len(others))
	ids := rendezvous.Top(key, own, fromOwn)
	ids = append(ids, rendezvous.Top(key, others, t.options.Subset-len(ids))...)
	members := make([]*upstream, 0, len(ids))
	for _, id := range ids {
		members = append(members, t.hosts[id])
	}
	slices.SortFunc(members, func(a, b *upstream) int { return cmp.Compare(a.host.ID, b.host.ID) })
	return members
}

// Size returns the number of agents of the pool that the entry uses.
func (t *Table) Size(poolName string) int {
	if p, ok := t.pools[poolName]; ok {
		return len(p.members)
	}
	return 0
}

// Host returns an agent by identity.
func (t *Table) Host(id string) (member.Host, bool) {
	u, ok := t.hosts[id]
	if !ok {
		return member.Host{}, false
	}
	return u.host, true
}
