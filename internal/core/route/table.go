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
	// staleAfter is the age at which a load report expires.
	staleAfter = 2 * time.Second
	// defaultWait is the assumed wait of an agent without a load report.
	defaultWait = 50 * time.Millisecond
	// zoneCost is the penalty of an agent in another availability zone.
	zoneCost = 2 * time.Millisecond
	// prefixBonus is the advantage of the agent that may hold the prefix.
	prefixBonus = 150 * time.Millisecond
	// pendingCost is the expected wait per unanswered offer.
	pendingCost = 20 * time.Millisecond
	// ownZoneShare is the part of the subset in the entry's own zone.
	ownZoneShare = 2.0 / 3
)

// Options are the settings of a table. Zero values take the defaults.
type Options struct {
	Entry  string
	Zone   string
	Subset int
	Sample int
	// Random ignores the load, as a baseline for comparison.
	Random bool
	// NoPrefix ignores prompt prefixes, for comparison.
	NoPrefix bool
	// NoEjection keeps failing agents, for comparison.
	NoEjection bool
}

// upstream is the table's state of one agent.
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

// SetMembers replaces the list of hosts. The state of agents that stay is kept; an agent
// whose address changed counts as a new one.
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
		existing, ok := t.hosts[h.ID]
		if !ok || existing.host.Address != h.Address {
			t.hosts[h.ID] = &upstream{host: h, hash: xxhash.Sum64String(h.ID)}
			continue
		}
		existing.host = h
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

// subset selects the agents of a pool that this entry uses: those of its own availability
// zone first, and some of the others, so that an outage of one zone does not leave the
// entry without agents.
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
	ownCount := int(ownZoneShare * float64(t.options.Subset))
	ownCount = max(ownCount, t.options.Subset-len(others))
	ids := rendezvous.Top(key, own, ownCount)
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

// Host returns an agent by ID.
func (t *Table) Host(id string) (member.Host, bool) {
	u, ok := t.hosts[id]
	if !ok {
		return member.Host{}, false
	}
	return u.host, true
}
