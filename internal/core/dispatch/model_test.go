package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gladegauge/gladegauge/internal/core/agent"
	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/member"
	"github.com/gladegauge/gladegauge/internal/core/route"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// model simulates one entry and several agents. Randomly drawn events reorder,
// duplicate, drop and delay their messages, and pause and restart the agents.
//
// Invariants: a non-repeatable request is started at most once across all agents
// and their incarnations; a request reported as not run was never started and is
// never started later; each request has at most one outcome.
type model struct {
	t        *rapid.T
	now      time.Time
	cfg      *config.Config
	agents   []*modelAgent
	requests []*modelRequest
	messages []func()
}

type modelAgent struct {
	core       *agent.Agent
	index      int
	generation int
	runs       []string
}

type modelRequest struct {
	id         string
	repeatable bool
	core       *Request
	starts     int
	outcomes   []Result
	entryDown  bool
}

func (m *model) boot(a *modelAgent) {
	a.generation++
	a.runs = nil
	a.core = agent.New(agent.Options{Incarnation: fmt.Sprintf("%d-%d", a.index, a.generation), Slots: 2}, m.cfg)
}

// send adds a message to the simulated network.
func (m *model) send(do func()) { m.messages = append(m.messages, do) }

func (m *model) request(n int) {
	repeatable := rapid.Bool().Draw(m.t, "repeatable")
	name := map[bool]string{true: "ruling", false: "registration"}[repeatable]
	class, _ := m.cfg.Class(name)
	r := &modelRequest{id: fmt.Sprint("r", n), repeatable: repeatable}
	callbacks := Callbacks{
		Pick: func(_ time.Time, q route.Request, n int) []member.Host {
			return picker(len(m.agents))(m.now, q, n)
		},
		Spend: func() bool { return true },
	}
	r.core = New(Spec{Class: class, Arrived: m.now}, Options{}, callbacks)
	m.requests = append(m.requests, r)
	m.execute(r, r.core.Start(m.now))
}

// execute converts the entry's effects into messages to agents.
func (m *model) execute(r *modelRequest, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Offer:
			a := m.agents[int(e.Agent.ID[1]-'1')]
			o := agent.Offer{ID: attemptID(r, e.Attempt), Class: r.core.spec.Class.Name, Organisation: "hall", Weight: 1, Arrived: r.core.spec.Arrived, Copies: e.Copies}
			m.send(func() { m.apply(a, a.core.Offer(m.now, o)) })
		case Claim:
			a := m.agentOf(r, e.Attempt)
			m.send(func() { m.apply(a, a.core.Claim(m.now, attemptID(r, e.Attempt), e.Incarnation)) })
		case Withdraw:
			a := m.agentOf(r, e.Attempt)
			m.send(func() { m.apply(a, a.core.Withdraw(m.now, attemptID(r, e.Attempt))) })
		case Finish:
			r.outcomes = append(r.outcomes, e.Outcome.Result)
		}
	}
}

func attemptID(r *modelRequest, n int) string { return fmt.Sprintf("%s/%d", r.id, n) }

func (m *model) agentOf(r *modelRequest, n int) *modelAgent {
	return m.agents[int(r.core.Agent(n).ID[1]-'1')]
}

// apply converts an agent's effects into messages to the entry and counts starts.
func (m *model) apply(a *modelAgent, effects []agent.Effect) {
	incarnation := a.core.Incarnation()
	for _, effect := range effects {
		switch e := effect.(type) {
		case agent.Grant:
			m.reply(e.ID, func(r *modelRequest, n int) []Effect { return r.core.Granted(m.now, n, e.Incarnation) })
		case agent.Refuse:
			m.reply(e.ID, func(r *modelRequest, n int) []Effect {
				return r.core.Refused(m.now, n, Refusal{Reason: e.Reason, Incarnation: incarnation})
			})
		case agent.Fail:
			m.reply(e.ID, func(r *modelRequest, n int) []Effect {
				if e.AlreadyRun {
					return r.core.AlreadyRun(n)
				}
				return r.core.AttemptLost(m.now, n, false)
			})
		case agent.Start:
			r, _ := m.find(e.ID)
			r.starts++
			a.runs = append(a.runs, e.ID)
		case agent.Stop:
			m.apply(a, a.core.Stopped(m.now, e.ID, 1))
		}
	}
}

func (m *model) find(attempt string) (*modelRequest, int) {
	var n, k int
	_, _ = fmt.Sscanf(attempt, "r%d/%d", &n, &k)
	return m.requests[n], k
}

// reply sends an agent's message to the entry over the simulated network.
func (m *model) reply(attempt string, do func(r *modelRequest, n int) []Effect) {
	r, n := m.find(attempt)
	m.send(func() {
		if !r.entryDown {
			m.execute(r, do(r, n))
		}
	})
}

// randomEvent applies one randomly drawn event.
func (m *model) randomEvent() {
	switch rapid.IntRange(0, 11).Draw(m.t, "what") {
	case 0, 1, 2, 3, 4:
		m.deliver(false)
	case 5:
		m.deliver(true)
	case 6:
		if len(m.messages) > 0 {
			i := rapid.IntRange(0, len(m.messages)-1).Draw(m.t, "lost")
			m.messages = append(m.messages[:i], m.messages[i+1:]...)
		}
	case 7:
		m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 50, 600, 4000, 9000}).Draw(m.t, "ms")) * time.Millisecond)
	case 8:
		a := rapid.SampledFrom(m.agents).Draw(m.t, "ticks")
		m.apply(a, a.core.Tick(m.now))
	case 9:
		m.finishOne()
	case 10:
		m.restart(rapid.SampledFrom(m.agents).Draw(m.t, "restarts"))
	case 11:
		m.entryEvent()
	}
}

// deliver delivers a randomly drawn message. With twice, the message also stays
// on the network, to be delivered again.
func (m *model) deliver(twice bool) {
	if len(m.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.messages)-1).Draw(m.t, "message")
	do := m.messages[i]
	if !twice {
		m.messages = append(m.messages[:i], m.messages[i+1:]...)
	}
	do()
}

// finishOne lets an upstream complete a run or fail during it.
func (m *model) finishOne() {
	a := rapid.SampledFrom(m.agents).Draw(m.t, "ends at")
	if len(a.runs) == 0 {
		return
	}
	id := a.runs[0]
	a.runs = a.runs[1:]
	end := rapid.SampledFrom([]agent.End{agent.Completed, agent.Interrupted}).Draw(m.t, "end")
	m.apply(a, a.core.Ended(m.now, id, end, 5))
	m.reply(id, func(r *modelRequest, n int) []Effect {
		if end == agent.Completed {
			return r.core.Ended(n)
		}
		return r.core.AttemptLost(m.now, n, false)
	})
}

// restart replaces an agent by a new incarnation. The entry observes that the
// agent's streams failed.
func (m *model) restart(a *modelAgent) {
	m.boot(a)
	for _, r := range m.requests {
		for n := range r.core.attempts {
			if m.agentOf(r, n) == a {
				m.reply(attemptID(r, n), func(r *modelRequest, n int) []Effect { return r.core.AttemptLost(m.now, n, false) })
			}
		}
	}
}

// entryEvent draws a tick at the entry, a caller disconnect or an entry crash.
func (m *model) entryEvent() {
	r := rapid.SampledFrom(m.requests).Draw(m.t, "request")
	if r.entryDown {
		return
	}
	switch rapid.IntRange(0, 4).Draw(m.t, "entry") {
	case 0:
		m.execute(r, r.core.CallerDisconnected())
	case 1:
		r.entryDown = true
	default:
		m.execute(r, r.core.Tick(m.now))
	}
}

func (m *model) check() {
	for _, r := range m.requests {
		if !r.repeatable && r.starts > 1 {
			m.t.Fatalf("non-repeatable request %s was started %d times", r.id, r.starts)
		}
		if len(r.outcomes) > 1 {
			m.t.Fatalf("request %s has more than one outcome: %v", r.id, r.outcomes)
		}
		if len(r.outcomes) == 1 && r.outcomes[0] == NotRun && r.starts > 0 {
			m.t.Fatalf("request %s was reported as not run but was started", r.id)
		}
	}
}

func modelConfig(t *testing.T) *config.Config {
	t.Helper()
	cfg, faults := config.New(&gladegaugev1.Configuration{
		Revision: 1,
		Classes: []*gladegaugev1.Class{
			{Name: "ruling", Tier: 1, Protected: true, Repeatable: true, FirstTokenMs: 1500},
			{Name: "registration", Tier: 1, Protected: true, CompletionMs: 2000, ExpectedTokens: 1},
		},
		Pools: []*gladegaugev1.Pool{{
			Name: "p", Kind: gladegaugev1.PoolKind_POOL_KIND_MODEL, Model: "m", Slots: 2, Classes: []string{"ruling", "registration"},
		}},
		Organisations: []*gladegaugev1.Organisation{{Name: "hall"}},
	})
	if cfg == nil {
		t.Fatal(faults)
	}
	return cfg
}

func TestAtMostOnceModel(t *testing.T) {
	cfg := modelConfig(t)
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{t: rt, now: t0, cfg: cfg}
		for i := range 3 {
			a := &modelAgent{index: i}
			m.boot(a)
			m.agents = append(m.agents, a)
		}
		for i := range rapid.IntRange(1, 4).Draw(rt, "requests") {
			m.request(i)
		}
		for range rapid.IntRange(10, 150).Draw(rt, "events") {
			m.randomEvent()
			m.check()
		}
		for range 400 {
			m.deliver(false)
			m.check()
		}
	})
}
