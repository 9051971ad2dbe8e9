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

// model is one entry and a few agents whose messages are reordered, doubled,
// lost and delayed over pauses and restarts, as the test draws them.
//
// The invariants: a request that may not be repeated is started at most once
// over all agents and all their lives; a request that was answered as not run
// was never started and never will be; each request has at most one outcome.
type model struct {
	t        *rapid.T
	now      time.Time
	cfg      *config.Config
	agents   []*modelAgent
	requests []*modelRequest
	messages []func()
}

type modelAgent struct {
	core  *agent.Agent
	index int
	life  int
	runs  []string
}

type modelRequest struct {
	id         string
	repeatable bool
	core       *Request
	starts     int
	outcomes   []Result
	lost       bool
}

func (m *model) boot(a *modelAgent) {
	a.life++
	a.runs = nil
	a.core = agent.New(agent.Options{Incarnation: fmt.Sprintf("%d-%d", a.index, a.life), Slots: 2}, m.cfg)
}

// send puts a message on the network.
func (m *model) send(do func()) { m.messages = append(m.messages, do) }

func (m *model) request(n int) {
	repeatable := rapid.Bool().Draw(m.t, "repeatable")
	name := map[bool]string{true: "ruling", false: "registration"}[repeatable]
	class, _ := m.cfg.Class(name)
	r := &modelRequest{id: fmt.Sprint("r", n), repeatable: repeatable}
	seams := Seams{
		Pick: func(_ time.Time, q route.Request, n int) []member.Host {
			return picker(len(m.agents))(m.now, q, n)
		},
		Spend: func() bool { return true },
	}
	r.core = New(Spec{Class: class, Arrived: m.now}, Options{}, seams)
	m.requests = append(m.requests, r)
	m.carryOut(r, r.core.Start(m.now))
}

// carryOut turns the entry's effects into messages.
func (m *model) carryOut(r *modelRequest, effects []Effect) {
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

// apply turns an agent's effects into messages and starts.
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
				return r.core.Broken(m.now, n, false)
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

// reply puts an agent's message to the entry on the network.
func (m *model) reply(attempt string, do func(r *modelRequest, n int) []Effect) {
	r, n := m.find(attempt)
	m.send(func() {
		if !r.lost {
			m.carryOut(r, do(r, n))
		}
	})
}

// disturb lets one thing happen, as the test draws it.
func (m *model) disturb() {
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

// deliver delivers one message, whichever; a doubled one stays on the network.
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

// finishOne lets an upstream complete, break off or never take a run.
func (m *model) finishOne() {
	a := rapid.SampledFrom(m.agents).Draw(m.t, "ends at")
	if len(a.runs) == 0 {
		return
	}
	id := a.runs[0]
	a.runs = a.runs[1:]
	end := rapid.SampledFrom([]agent.End{agent.Completed, agent.Cut}).Draw(m.t, "end")
	m.apply(a, a.core.Ended(m.now, id, end, 5))
	m.reply(id, func(r *modelRequest, n int) []Effect {
		if end == agent.Completed {
			return r.core.Ended(n)
		}
		return r.core.Broken(m.now, n, false)
	})
}

// restart ends an agent; the entry notices that its streams broke.
func (m *model) restart(a *modelAgent) {
	m.boot(a)
	for _, r := range m.requests {
		for n := range r.core.attempts {
			if m.agentOf(r, n) == a {
				m.reply(attemptID(r, n), func(r *modelRequest, n int) []Effect { return r.core.Broken(m.now, n, false) })
			}
		}
	}
}

// entryEvent lets time pass at the entry, a caller leave, or the entry die.
func (m *model) entryEvent() {
	r := rapid.SampledFrom(m.requests).Draw(m.t, "request")
	if r.lost {
		return
	}
	switch rapid.IntRange(0, 4).Draw(m.t, "entry") {
	case 0:
		m.carryOut(r, r.core.HungUp())
	case 1:
		r.lost = true
	default:
		m.carryOut(r, r.core.Tick(m.now))
	}
}

func (m *model) check() {
	for _, r := range m.requests {
		if !r.repeatable && r.starts > 1 {
			m.t.Fatalf("%s may not be repeated and was started %d times", r.id, r.starts)
		}
		if len(r.outcomes) > 1 {
			m.t.Fatalf("%s has outcomes %v", r.id, r.outcomes)
		}
		if len(r.outcomes) == 1 && r.outcomes[0] == NotRun && r.starts > 0 {
			m.t.Fatalf("%s was answered as not run and was started", r.id)
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
			m.disturb()
			m.check()
		}
		for range 400 {
			m.deliver(false)
			m.check()
		}
	})
}
