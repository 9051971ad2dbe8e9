package session

import (
	"fmt"
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/agent"
	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/dispatch"
)

// agentHost is an agent process with its upstream.
type agentHost struct {
	process
	s           *Session
	id          string
	pool        string
	zone        string
	incarnation int
	dead        bool
	engine      *engine
	core        *agent.Agent
	streams     map[string]*stream
	claimed     map[string]*stream
}

// boot starts the process with a new incarnation.
func (h *agentHost) boot() {
	h.incarnation++
	h.dead = false
	o := h.s.policy.Agent
	o.Incarnation = fmt.Sprintf("%s-%d", h.id, h.incarnation)
	p, _ := h.s.site.Config.Pool(h.pool)
	o.Slots = p.Slots
	if p.Kind == config.KindService {
		o.InitialSpeed = 1 / serviceTime.Seconds()
		o.InitialTokens = 1
	}
	h.core = agent.New(o, h.s.site.Config)
	h.streams = make(map[string]*stream)
	h.claimed = make(map[string]*stream)
	incarnation := h.incarnation
	h.s.clock.every(agentTickInterval, func() bool {
		if h.incarnation == incarnation && !h.dead && !h.paused {
			h.execute(h.core.Tick(h.s.clock.now))
			h.execute(h.core.SetDown(h.s.clock.now, h.engine.down))
		}
		return h.incarnation == incarnation && !h.dead
	})
	h.s.clock.every(heartbeatInterval, func() bool {
		if h.incarnation == incarnation && !h.dead && !h.paused {
			h.heartbeat()
		}
		return h.incarnation == incarnation && !h.dead
	})
}

// heartbeatInterval is the time between two heartbeats of a claimed attempt.
const heartbeatInterval = time.Second

// heartbeat sends an empty chunk for each claimed attempt, which tells its entry that the
// attempt is not lost.
func (h *agentHost) heartbeat() {
	for _, id := range sortedKeys(h.claimed) {
		x := h.claimed[id]
		if x.call.ended || x.closed {
			delete(h.claimed, id)
			continue
		}
		x.send(&x.entry.process, func() { x.entry.chunk(x, 0) })
	}
}

// kill terminates the process. Its entries notice after the network delay.
func (h *agentHost) kill() {
	h.dead = true
	for _, r := range slices.Clone(h.engine.runs) {
		h.engine.stop(r.id)
	}
	for _, id := range sortedKeys(h.streams) {
		x := h.streams[id]
		h.s.clock.after(h.s.delay(x.entry.zone, h.zone), func() { x.entry.deliver(func() { x.entry.disconnected(x) }) })
	}
}

func (h *agentHost) offer(x *stream, o agent.Offer) {
	if h.dead || x.incarnation != h.incarnation {
		x.send(&x.entry.process, func() { x.entry.disconnected(x) })
		return
	}
	if _, known := h.streams[x.id]; known {
		return
	}
	h.streams[x.id] = x
	effects := h.core.Offer(h.s.clock.now, o)
	load := h.core.Load()
	h.s.addRecord(record{Kind: accepted, Request: x.call.req.id, Attempt: x.id, Agent: h.id, Class: x.call.req.class.Name})
	x.send(&x.entry.process, func() { x.entry.recordLoad(x, load) })
	h.execute(effects)
}

func (h *agentHost) claim(x *stream, c dispatch.Claim) {
	if h.dead || x.incarnation != h.incarnation {
		return
	}
	x.call.offset = c.Offset
	h.claimed[x.id] = x
	h.execute(h.core.Claim(h.s.clock.now, x.id, c.Incarnation))
}

func (h *agentHost) withdraw(x *stream) {
	if h.dead || x.incarnation != h.incarnation {
		return
	}
	h.execute(h.core.Withdraw(h.s.clock.now, x.id))
}

func (h *agentHost) progress(id string, produced int) {
	h.deliver(func() {
		h.core.Progress(h.s.clock.now, id, produced)
		if x, ok := h.streams[id]; ok {
			x.send(&x.entry.process, func() { x.entry.chunk(x, produced) })
		}
	})
}

func (h *agentHost) ended(id string, produced int) {
	incarnation := h.incarnation
	h.deliver(func() {
		if h.dead || h.incarnation != incarnation {
			return
		}
		effects := h.core.Ended(h.s.clock.now, id, agent.Completed, produced)
		x, ok := h.streams[id]
		if !ok {
			return
		}
		load := h.core.Load()
		x.send(&x.entry.process, func() {
			x.entry.chunk(x, produced)
			x.entry.ended(x, load)
		})
		h.execute(effects)
	})
}

func (h *agentHost) interrupted(id string, produced int) {
	h.deliver(func() {
		effects := h.core.Ended(h.s.clock.now, id, agent.Interrupted, produced)
		x, ok := h.streams[id]
		if !ok {
			return
		}
		x.send(&x.entry.process, func() { x.entry.disconnected(x) })
		h.execute(effects)
	})
}

// execute executes the agent's effects.
func (h *agentHost) execute(effects []agent.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case agent.Grant:
			x := h.streams[e.ID]
			h.s.addRecord(record{Kind: granted, Request: x.call.req.id, Attempt: e.ID, Agent: h.id})
			x.send(&x.entry.process, func() { x.entry.granted(x, e.Incarnation) })
		case agent.Refuse:
			h.refuse(e)
		case agent.Start:
			x := h.streams[e.ID]
			if h.engine.down {
				h.s.clock.after(0, func() { h.interrupted(e.ID, e.Produced) })
				continue
			}
			h.engine.start(e.ID, x.call.req, max(e.Produced, x.call.offset))
		case agent.Stop:
			h.stop(e)
		case agent.Fail:
			x := h.streams[e.ID]
			x.send(&x.entry.process, func() { x.entry.failed(x, e.AlreadyRun) })
		}
	}
}

func (h *agentHost) refuse(e agent.Refuse) {
	x, ok := h.streams[e.ID]
	if !ok {
		return
	}
	class := x.call.req.class
	load := h.core.Load()
	h.s.addRecord(record{
		Kind: refused, Request: x.call.req.id, Attempt: e.ID, Agent: h.id, Class: class.Name,
		Detail: e.Reason.String(), PreemptibleRuns: h.preemptibleRuns(class.Tier),
	})
	refusal := dispatch.Refusal{Reason: e.Reason, RetryAfter: e.RetryAfter, Incarnation: h.core.Incarnation()}
	x.send(&x.entry.process, func() { x.entry.refused(x, refusal, load) })
}

// preemptibleRuns counts the runs of lower tiers that may be preempted. It inspects the
// engine and not the agent's state, so that the check does not depend on the code that it
// checks.
func (h *agentHost) preemptibleRuns(tier int) int {
	n := 0
	for _, r := range h.engine.runs {
		if r.req.class.Tier > tier && r.req.class.Repeatable && !r.req.class.Protected {
			n++
		}
	}
	return n
}

func (h *agentHost) stop(e agent.Stop) {
	x := h.streams[e.ID]
	produced := h.engine.stop(e.ID)
	if e.Preempted {
		h.s.addRecord(record{Kind: preempted, Request: x.call.req.id, Attempt: e.ID, Agent: h.id, Class: x.call.req.class.Name})
	}
	incarnation := h.incarnation
	h.s.clock.after(5*time.Millisecond, func() {
		h.deliver(func() {
			if h.incarnation == incarnation && !h.dead {
				h.execute(h.core.Stopped(h.s.clock.now, e.ID, produced))
			}
		})
	})
}

func (s *Session) agent(id string) *agentHost {
	for _, a := range s.agents {
		if a.id == id {
			return a
		}
	}
	panic("session: no agent " + id)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
