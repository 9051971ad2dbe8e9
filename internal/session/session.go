package session

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/member"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// Timing and load parameters of a session.
const (
	agentTickInterval = 100 * time.Millisecond
	entryTickInterval = 250 * time.Millisecond
	// disconnectDelay is the time until both sides of a broken connection notice it.
	disconnectDelay = 2 * time.Second
	// hostListDelay is the time until a change appears in the platform's host list.
	hostListDelay = 2 * time.Second
	// completionTimeout is the maximum time that a session continues after the end
	// of its load, until every request is answered.
	completionTimeout = 30 * time.Minute
	// lengthSigma is the standard deviation of the logarithm of a response's length.
	lengthSigma = 0.9
	// prefixCount is the number of distinct prompt prefixes.
	prefixCount = 40
)

// request is a caller's request, with the times and the result that its session recorded.
type request struct {
	id           int
	class        *config.Class
	pool         *config.Pool
	service      bool
	organisation *config.Organisation
	tokens       int
	prefix       int
	arrived      time.Time
	firstToken   time.Time
	started      time.Time
	ended        time.Time
	result       string
	reason       string
}

// Session is one run of a script under a policy.
type Session struct {
	script         *Script
	site           Site
	policy         Policy
	clock          *clock
	entries        []*entryHost
	agents         []*agentHost
	requests       []*request
	records        []record
	partitions     []partition
	duplicateDelay time.Duration
	listVersion    uint64
	leaving        map[string]bool
}

// partition is an entry and an agent whose messages to each other are dropped.
type partition struct{ entry, agent string }

// Run runs a script under a policy, with the configuration of the script's deployment.
func Run(script *Script, cfg *config.Config, p Policy) (*Session, error) {
	site, ok := sites[script.Deployment]
	if !ok {
		return nil, fmt.Errorf("deployment: %q is unknown", script.Deployment)
	}
	site.Config = cfg
	s := &Session{
		script:  script,
		site:    site,
		policy:  p,
		clock:   newClock(script.Seed),
		leaving: make(map[string]bool),
	}
	s.buildHosts()
	if err := s.scheduleLoadAndFaults(); err != nil {
		return nil, err
	}
	s.clock.run(start.Add(seconds(script.Seconds)), func() bool { return false })
	s.clock.run(s.clock.now.Add(completionTimeout), s.idle)
	return s, nil
}

// idle reports whether every request is answered and no engine has a run.
func (s *Session) idle() bool {
	for _, a := range s.agents {
		if len(a.engine.runs) > 0 {
			return false
		}
	}
	for _, e := range s.entries {
		if len(e.calls) > 0 {
			return false
		}
	}
	return true
}

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

// buildHosts creates the agents and the entries and starts their periodic work.
func (s *Session) buildHosts() {
	for _, pool := range slices.Sorted(maps.Keys(s.site.Replicas)) {
		for range s.site.Replicas[pool] {
			n := len(s.agents)
			h := &agentHost{s: s, id: agentName(n + 1), pool: pool, zone: s.site.Zones[n%len(s.site.Zones)]}
			h.engine = &engine{s: s, host: h, speed: 1}
			h.boot()
			s.agents = append(s.agents, h)
		}
	}
	for n := range s.site.Entries {
		h := &entryHost{s: s, id: fmt.Sprintf("entry-%d", n+1), zone: s.site.Zones[n%len(s.site.Zones)], seed: uint64(n + 1)}
		h.boot()
		s.entries = append(s.entries, h)
	}
	s.publishHosts()
	s.clock.every(engineStep, func() bool {
		for _, a := range s.agents {
			a.engine.step()
		}
		return true
	})
}

// publishHosts sends the current host lists to all entries.
func (s *Session) publishHosts() {
	s.listVersion++
	lists := make(map[string]*gladegaugev1.HostList)
	for _, zone := range s.site.Zones {
		lists[zone] = &gladegaugev1.HostList{Zone: zone, Version: s.listVersion}
	}
	for _, a := range s.agents {
		lists[a.zone].Hosts = append(lists[a.zone].Hosts, &gladegaugev1.Host{
			Id: a.id, Role: gladegaugev1.Role_ROLE_AGENT, Address: a.id, Pool: a.pool, Leaving: s.leaving[a.id],
		})
	}
	for _, e := range s.entries {
		lists[e.zone].Hosts = append(lists[e.zone].Hosts, &gladegaugev1.Host{
			Id: e.id, Role: gladegaugev1.Role_ROLE_ENTRY, Address: e.id,
		})
	}
	set := member.NewSet()
	for _, zone := range s.site.Zones {
		set, _ = set.With(lists[zone])
	}
	for _, e := range s.entries {
		e.core.SetMembers(set)
	}
}

// scheduleLoadAndFaults adds the load and the faults of the script to the event queue.
func (s *Session) scheduleLoadAndFaults() error {
	for i, l := range s.script.Load {
		class, ok := s.site.Config.Class(l.Class)
		if !ok {
			return fmt.Errorf("load[%d].class: no class %q", i, l.Class)
		}
		g := loadGenerator{s: s, load: l, class: class, pool: s.poolOf(class.Name)}
		g.rng = rand.New(rand.NewPCG(s.script.Seed, uint64(i+1))) //nolint:gosec // A fixed seed is the point.
		g.organisations = allowedOrganisations(s.site.Config, class)
		s.clock.after(seconds(l.From), g.next)
	}
	for _, f := range s.script.Faults {
		s.clock.after(seconds(f.At), func() { s.injectFault(f) })
	}
	return nil
}

func (s *Session) poolOf(class string) *config.Pool {
	for _, p := range s.site.Config.Pools() {
		if s.site.Config.Serves(p.Name, class) {
			return p
		}
	}
	return nil
}

// loadGenerator generates the requests of one load as a Poisson process.
type loadGenerator struct {
	s             *Session
	load          Load
	class         *config.Class
	pool          *config.Pool
	organisations []*config.Organisation
	rng           *rand.Rand
}

func allowedOrganisations(cfg *config.Config, class *config.Class) []*config.Organisation {
	var all []*config.Organisation
	for _, o := range cfg.Organisations() {
		if class.Allows(o.Name) {
			all = append(all, o)
		}
	}
	return all
}

// rate returns the requests per second.
func (g *loadGenerator) rate() float64 {
	slots := float64(g.s.site.Replicas[g.pool.Name] * g.pool.Slots)
	return g.load.Share * slots / g.s.meanSlotTime(g.class, g.pool).Seconds()
}

// meanSlotTime returns the mean time for which a request of the class occupies a slot.
func (s *Session) meanSlotTime(c *config.Class, p *config.Pool) time.Duration {
	if p.Kind == config.KindService {
		return serviceTime
	}
	return prefillTime + time.Duration(float64(c.ExpectedTokens)/tokenRate*float64(time.Second))
}

func (g *loadGenerator) next() {
	if g.s.clock.elapsed() >= seconds(g.load.To) {
		return
	}
	gap := g.rng.ExpFloat64() / g.rate()
	g.s.clock.after(seconds(gap), g.next)
	r := &request{
		id:           len(g.s.requests) + 1,
		class:        g.class,
		pool:         g.pool,
		service:      g.pool.Kind == config.KindService,
		organisation: g.organisation(),
		tokens:       g.tokens(),
		prefix:       1 + g.rng.IntN(prefixCount),
		arrived:      g.s.clock.now,
	}
	g.s.requests = append(g.s.requests, r)
	g.s.addRecord(record{Kind: arrived, Request: r.id, Class: r.class.Name, Detail: r.organisation.Name})
	e := g.s.entries[g.rng.IntN(len(g.s.entries))]
	for e.dead {
		e = g.s.entries[g.rng.IntN(len(g.s.entries))]
	}
	e.deliver(func() { e.serve(r) })
}

// organisation picks a random organisation by weight. The greedy one counts ten times.
func (g *loadGenerator) organisation() *config.Organisation {
	weight := func(o *config.Organisation) float64 {
		if o.Name == g.load.Greedy {
			return 10 * o.Weight
		}
		return o.Weight
	}
	var sum float64
	for _, o := range g.organisations {
		sum += weight(o)
	}
	at := g.rng.Float64() * sum
	for _, o := range g.organisations {
		if at -= weight(o); at < 0 {
			return o
		}
	}
	return g.organisations[0]
}

// tokens draws a response length from a log-normal distribution, for its heavy tail.
func (g *loadGenerator) tokens() int {
	if g.pool.Kind == config.KindService {
		return 1
	}
	mean := float64(g.class.ExpectedTokens)
	n := mean * math.Exp(g.rng.NormFloat64()*lengthSigma-lengthSigma*lengthSigma/2)
	return int(min(max(n, 3), 20*mean))
}

func agentName(n int) string { return fmt.Sprintf("agent-%d", n) }
