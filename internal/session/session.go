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

// Times of a session.
const (
	agentTick = 100 * time.Millisecond
	entryTick = 250 * time.Millisecond
	// detection is how long a broken connection takes to be noticed.
	detection = 2 * time.Second
	// listLag is how late the platform's list is.
	listLag = 2 * time.Second
	// afterwards is how long a session goes on at most after its load has
	// ended, until every request has its answer.
	afterwards = 30 * time.Minute
	// lengthSpread is the sigma of the logarithm of an answer's length.
	lengthSpread = 0.9
	prefixes     = 40
)

// request is one caller's request as the session knows it.
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
	begun        time.Time
	ended        time.Time
	result       string
	reason       string
}

// Session is one run of a script.
type Session struct {
	script   *Script
	site     Site
	policy   Policy
	world    *world
	entries  []*entryHost
	agents   []*agentHost
	requests []*request
	records  []record
	cuts     []cut
	repeat   time.Duration
	list     uint64
	leaving  map[string]bool
}

// cut is a pair of processes whose messages are dropped.
type cut struct{ entry, agent string }

// Run runs a script under a policy, with the deployment's configuration.
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
		world:   newWorld(script.Seed),
		leaving: make(map[string]bool),
	}
	s.build()
	if err := s.plan(); err != nil {
		return nil, err
	}
	s.world.run(start.Add(seconds(script.Seconds)), func() bool { return false })
	s.world.run(s.world.now.Add(afterwards), s.answered)
	return s, nil
}

// answered reports whether every request has its answer and no engine works.
func (s *Session) answered() bool {
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

// build makes the hosts.
func (s *Session) build() {
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
	s.publish()
	s.world.every(engineStep, func() bool {
		for _, a := range s.agents {
			a.engine.step()
		}
		return true
	})
}

// publish gives all entries the list of hosts.
func (s *Session) publish() {
	s.list++
	lists := make(map[string]*gladegaugev1.HostList)
	for _, zone := range s.site.Zones {
		lists[zone] = &gladegaugev1.HostList{Zone: zone, Version: s.list}
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

// plan puts the load and the faults on the agenda.
func (s *Session) plan() error {
	for i, l := range s.script.Load {
		class, ok := s.site.Config.Class(l.Class)
		if !ok {
			return fmt.Errorf("load[%d].class: no class %q", i, l.Class)
		}
		a := arrivals{s: s, load: l, class: class, pool: s.poolOf(class.Name)}
		a.rng = rand.New(rand.NewPCG(s.script.Seed, uint64(i+1))) //nolint:gosec // A fixed seed is the point.
		a.organisations = organisationNames(s.site.Config, class)
		s.world.after(seconds(l.From), a.next)
	}
	for _, f := range s.script.Faults {
		s.world.after(seconds(f.At), func() { s.begin(f) })
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

// arrivals makes the requests of one load.
type arrivals struct {
	s             *Session
	load          Load
	class         *config.Class
	pool          *config.Pool
	organisations []*config.Organisation
	rng           *rand.Rand
}

func organisationNames(cfg *config.Config, class *config.Class) []*config.Organisation {
	var all []*config.Organisation
	for _, o := range cfg.Organisations() {
		if class.Allows(o.Name) {
			all = append(all, o)
		}
	}
	return all
}

// rate is requests a second.
func (a *arrivals) rate() float64 {
	slots := float64(a.s.site.Replicas[a.pool.Name] * a.pool.Slots)
	return a.load.Share * slots / a.s.meanTime(a.class, a.pool).Seconds()
}

// meanTime is the time that a request of the class holds a slot, on average.
func (s *Session) meanTime(c *config.Class, p *config.Pool) time.Duration {
	if p.Kind == config.KindService {
		return serviceTime
	}
	return promptTime + time.Duration(float64(c.ExpectedTokens)/tokenRate*float64(time.Second))
}

func (a *arrivals) next() {
	if a.s.world.elapsed() >= seconds(a.load.To) {
		return
	}
	gap := a.rng.ExpFloat64() / a.rate()
	a.s.world.after(seconds(gap), a.next)
	r := &request{
		id:           len(a.s.requests) + 1,
		class:        a.class,
		pool:         a.pool,
		service:      a.pool.Kind == config.KindService,
		organisation: a.organisation(),
		tokens:       a.tokens(),
		prefix:       1 + a.rng.IntN(prefixes),
		arrived:      a.s.world.now,
	}
	a.s.requests = append(a.s.requests, r)
	a.s.note(record{Kind: arrived, Request: r.id, Class: r.class.Name, Detail: r.organisation.Name})
	e := a.s.entries[a.rng.IntN(len(a.s.entries))]
	for e.dead {
		e = a.s.entries[a.rng.IntN(len(a.s.entries))]
	}
	e.deliver(func() { e.serve(r) })
}

// organisation draws one, by weight; a greedy one sends ten times as much.
func (a *arrivals) organisation() *config.Organisation {
	weight := func(o *config.Organisation) float64 {
		if o.Name == a.load.Greedy {
			return 10 * o.Weight
		}
		return o.Weight
	}
	var sum float64
	for _, o := range a.organisations {
		sum += weight(o)
	}
	at := a.rng.Float64() * sum
	for _, o := range a.organisations {
		if at -= weight(o); at < 0 {
			return o
		}
	}
	return a.organisations[0]
}

// tokens draws a length with a heavy tail.
func (a *arrivals) tokens() int {
	if a.pool.Kind == config.KindService {
		return 1
	}
	mean := float64(a.class.ExpectedTokens)
	n := mean * math.Exp(a.rng.NormFloat64()*lengthSpread-lengthSpread*lengthSpread/2)
	return int(min(max(n, 3), 20*mean))
}

func agentName(n int) string { return fmt.Sprintf("agent-%d", n) }
