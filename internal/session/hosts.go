package session

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/agent"
	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/dispatch"
	"github.com/gladegauge/gladegauge/internal/core/entry"
)

// process is what agents and entries have in common: it can be paused, and
// what reaches it meanwhile is handled when it wakes.
type process struct {
	paused bool
	inbox  []func()
}

func (p *process) deliver(do func()) {
	if p.paused {
		p.inbox = append(p.inbox, do)
		return
	}
	do()
}

func (p *process) wake() {
	p.paused = false
	inbox := p.inbox
	p.inbox = nil
	for _, do := range inbox {
		do()
	}
}

// stream is one attempt's connection between an entry and an agent.
type stream struct {
	id    string
	n     int
	call  *call
	entry *entryHost
	agent *agentHost
	life  int
	// closed by the entry; lost to the entry.
	closed, lost bool
}

// send carries a message over the stream's connection, unless it is cut. A
// lost message breaks the connection on both sides.
func (x *stream) send(to *process, do func()) {
	s := x.entry.s
	if slices.Contains(s.cuts, cut{x.entry.id, x.agent.id}) {
		s.breakStream(x)
		return
	}
	s.world.after(s.delay(x.entry.zone, x.agent.zone), func() { to.deliver(do) })
	if s.repeat > 0 {
		s.world.after(s.repeat, func() { to.deliver(do) })
	}
}

func (s *Session) delay(a, b string) time.Duration {
	if a == b {
		return s.site.Near
	}
	return s.site.Far
}

// breakStream lets both sides notice that the connection is gone.
func (s *Session) breakStream(x *stream) {
	s.world.after(detection, func() {
		x.entry.deliver(func() { x.entry.broken(x) })
		x.agent.deliver(func() { x.agent.withdraw(x) })
	})
}

// agentHost is an agent with its upstream.
type agentHost struct {
	process
	s       *Session
	id      string
	pool    string
	zone    string
	life    int
	dead    bool
	engine  *engine
	core    *agent.Agent
	streams map[string]*stream
	claimed map[string]*stream
}

// boot starts a new incarnation.
func (h *agentHost) boot() {
	h.life++
	h.dead = false
	o := h.s.policy.Agent
	o.Incarnation = fmt.Sprintf("%s-%d", h.id, h.life)
	p, _ := h.s.site.Config.Pool(h.pool)
	o.Slots = p.Slots
	if p.Kind == config.KindService {
		o.Speed = 1 / serviceTime.Seconds()
		o.Tokens = 1
	}
	h.core = agent.New(o, h.s.site.Config)
	h.streams = make(map[string]*stream)
	h.claimed = make(map[string]*stream)
	life := h.life
	h.s.world.every(agentTick, func() bool {
		if h.life == life && !h.dead && !h.paused {
			h.apply(h.core.Tick(h.s.world.now))
			h.apply(h.core.SetDown(h.s.world.now, h.engine.down))
		}
		return h.life == life && !h.dead
	})
	h.s.world.every(heartbeatEvery, func() bool {
		if h.life == life && !h.dead && !h.paused {
			h.heartbeat()
		}
		return h.life == life && !h.dead
	})
}

// heartbeatEvery is the time between signs of life of claimed attempts.
const heartbeatEvery = time.Second

// heartbeat tells the entries of claimed attempts that they are not lost.
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

// kill ends the process; its entries notice soon.
func (h *agentHost) kill() {
	h.dead = true
	for _, r := range slices.Clone(h.engine.runs) {
		h.engine.stop(r.id)
	}
	for _, id := range sortedKeys(h.streams) {
		x := h.streams[id]
		h.s.world.after(h.s.delay(x.entry.zone, h.zone), func() { x.entry.deliver(func() { x.entry.broken(x) }) })
	}
}

func (h *agentHost) offer(x *stream, o agent.Offer) {
	if h.dead || x.life != h.life {
		x.send(&x.entry.process, func() { x.entry.broken(x) })
		return
	}
	if _, known := h.streams[x.id]; known {
		return
	}
	h.streams[x.id] = x
	effects := h.core.Offer(h.s.world.now, o)
	load := h.core.Load()
	h.s.note(record{Kind: accepted, Request: x.call.req.id, Attempt: x.id, Agent: h.id, Class: x.call.req.class.Name})
	x.send(&x.entry.process, func() { x.entry.heard(x, load) })
	h.apply(effects)
}

func (h *agentHost) claim(x *stream, c dispatch.Claim) {
	if h.dead || x.life != h.life {
		return
	}
	x.call.offset = c.Offset
	h.claimed[x.id] = x
	h.apply(h.core.Claim(h.s.world.now, x.id, c.Incarnation))
}

func (h *agentHost) withdraw(x *stream) {
	if h.dead || x.life != h.life {
		return
	}
	h.apply(h.core.Withdraw(h.s.world.now, x.id))
}

func (h *agentHost) progress(id string, produced int) {
	h.deliver(func() {
		h.core.Progress(h.s.world.now, id, produced)
		if x, ok := h.streams[id]; ok {
			x.send(&x.entry.process, func() { x.entry.chunk(x, produced) })
		}
	})
}

func (h *agentHost) ended(id string, produced int) {
	life := h.life
	h.deliver(func() {
		if h.dead || h.life != life {
			return
		}
		effects := h.core.Ended(h.s.world.now, id, agent.Completed, produced)
		x, ok := h.streams[id]
		if !ok {
			return
		}
		load := h.core.Load()
		x.send(&x.entry.process, func() {
			x.entry.chunk(x, produced)
			x.entry.ended(x, load)
		})
		h.apply(effects)
	})
}

func (h *agentHost) broke(id string, produced int) {
	h.deliver(func() {
		effects := h.core.Ended(h.s.world.now, id, agent.Cut, produced)
		x, ok := h.streams[id]
		if !ok {
			return
		}
		x.send(&x.entry.process, func() { x.entry.broken(x) })
		h.apply(effects)
	})
}

// apply carries out the agent's effects.
func (h *agentHost) apply(effects []agent.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case agent.Grant:
			x := h.streams[e.ID]
			h.s.note(record{Kind: granted, Request: x.call.req.id, Attempt: e.ID, Agent: h.id})
			x.send(&x.entry.process, func() { x.entry.granted(x, e.Incarnation) })
		case agent.Refuse:
			h.refuse(e)
		case agent.Start:
			x := h.streams[e.ID]
			if h.engine.down {
				h.s.world.after(0, func() { h.broke(e.ID, e.Produced) })
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
	h.s.note(record{
		Kind: refused, Request: x.call.req.id, Attempt: e.ID, Agent: h.id, Class: class.Name,
		Detail: e.Reason.String(), Lower: h.stoppable(class.Tier),
	})
	refusal := dispatch.Refusal{Reason: e.Reason, RetryAfter: e.RetryAfter, Incarnation: h.core.Incarnation()}
	x.send(&x.entry.process, func() { x.entry.refused(x, refusal, load) })
}

// stoppable counts the runs of lower tiers that repeat freely; it looks at the
// engine, not at the agent's own books.
func (h *agentHost) stoppable(tier int) int {
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
		h.s.note(record{Kind: preempted, Request: x.call.req.id, Attempt: e.ID, Agent: h.id, Class: x.call.req.class.Name})
	}
	life := h.life
	h.s.world.after(5*time.Millisecond, func() {
		h.deliver(func() {
			if h.life == life && !h.dead {
				h.apply(h.core.Stopped(h.s.world.now, e.ID, produced))
			}
		})
	})
}

// entryHost is an entry with its callers.
type entryHost struct {
	process
	s     *Session
	id    string
	zone  string
	seed  uint64
	dead  bool
	life  int
	core  *entry.Entry
	calls []*call
}

// call is one request at its entry.
type call struct {
	req     *request
	ticket  *entry.Ticket
	streams []*stream
	settled []bool
	agent   string
	offset  int
	ended   bool
}

func (h *entryHost) boot() {
	h.life++
	h.dead = false
	h.calls = nil
	o := h.s.policy.Entry
	o.Route.Entry = h.id
	o.Route.Zone = h.zone
	rng := rand.New(rand.NewPCG(h.s.script.Seed, 1000+h.seed)) //nolint:gosec // A fixed seed is the point.
	h.core = entry.New(o, h.s.site.Config, rng)
	life := h.life
	h.s.world.every(entryTick, func() bool {
		if h.life == life && !h.dead && !h.paused {
			h.tick()
		}
		return h.life == life && !h.dead
	})
}

func (h *entryHost) tick() {
	for _, c := range slices.Clone(h.calls) {
		if c.ended {
			continue
		}
		if h.patienceOver(c) {
			h.apply(c, c.ticket.HungUp())
			continue
		}
		h.apply(c, c.ticket.Tick(h.s.world.now))
	}
	h.calls = slices.DeleteFunc(h.calls, func(c *call) bool { return c.ended })
}

// patienceOver reports whether the caller has left, without a first token by
// the time that the answer no longer matters.
func (h *entryHost) patienceOver(c *call) bool {
	return c.req.firstToken.IsZero() && h.s.world.now.Sub(c.req.arrived) > c.req.class.Useful
}

func (h *entryHost) serve(r *request) {
	c := &call{req: r}
	h.calls = append(h.calls, c)
	now := h.s.world.now
	ticket, rejection := h.core.Admit(now, entry.Call{
		Organisation: r.organisation, Class: r.class, Pool: r.pool, Prefix: uint64(r.prefix),
	})
	if rejection != nil {
		h.end(c, dispatch.NotRun.String(), "gate")
		return
	}
	c.ticket = ticket
	h.apply(c, ticket.Start(now))
}

func (h *entryHost) end(c *call, result, reason string) {
	c.ended = true
	c.req.ended = h.s.world.now
	c.req.result = result
	c.req.reason = reason
	h.s.note(record{Kind: finished, Request: c.req.id, Class: c.req.class.Name, Detail: result + " " + reason, Tokens: delivered(c)})
}

func delivered(c *call) int {
	if c.ticket == nil {
		return 0
	}
	return c.ticket.Delivered()
}

func (h *entryHost) apply(c *call, effects []dispatch.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case dispatch.Offer:
			h.open(c, e)
		case dispatch.Claim:
			x := c.streams[e.Attempt]
			c.agent = x.agent.id
			h.s.note(record{Kind: claimed, Request: c.req.id, Attempt: x.id, Agent: x.agent.id, Tokens: e.Offset})
			x.send(&x.agent.process, func() { x.agent.claim(x, e) })
		case dispatch.Recount:
			x := c.streams[e.Attempt]
			x.send(&x.agent.process, func() { x.agent.core.Recount(x.id, e.Copies) })
		case dispatch.Withdraw:
			x := c.streams[e.Attempt]
			x.closed = true
			h.s.note(record{Kind: withdrawn, Request: c.req.id, Attempt: x.id, Agent: x.agent.id})
			x.send(&x.agent.process, func() { x.agent.withdraw(x) })
		case dispatch.Finish:
			h.finish(c, e.Outcome)
		}
	}
}

func (h *entryHost) finish(c *call, o dispatch.Outcome) {
	for n := range c.streams {
		h.settle(c, n)
	}
	h.core.Finished(h.s.world.now, c.ticket, c.agent, o)
	reason := ""
	if o.Reason != 0 {
		reason = o.Reason.String()
	}
	h.end(c, o.Result.String(), reason)
}

func (h *entryHost) open(c *call, e dispatch.Offer) {
	target := h.s.agent(e.Agent.ID)
	x := &stream{
		id: fmt.Sprintf("r%d/%d", c.req.id, e.Attempt), n: e.Attempt,
		call: c, entry: h, agent: target, life: target.life,
	}
	c.streams = append(c.streams, x)
	c.settled = append(c.settled, false)
	h.s.note(record{Kind: offered, Request: c.req.id, Attempt: x.id, Agent: target.id})
	o := agent.Offer{
		ID: x.id, Class: c.req.class.Name, Organisation: c.req.organisation.Name,
		Weight: c.req.organisation.Weight, Arrived: c.req.arrived, Copies: e.Copies, Resumed: e.Resumed,
	}
	x.send(&target.process, func() { target.offer(x, o) })
}

func (h *entryHost) settle(c *call, n int) {
	if !c.settled[n] {
		c.settled[n] = true
		h.core.Settled(c.streams[n].agent.id)
	}
}

func (h *entryHost) heard(x *stream, l agent.Load) {
	if h.dead {
		return
	}
	h.settle(x.call, x.n)
	h.core.Heard(h.s.world.now, x.agent.id, l)
}

func (h *entryHost) granted(x *stream, incarnation string) {
	if !h.over(x) {
		h.apply(x.call, x.call.ticket.Granted(h.s.world.now, x.n, incarnation))
	}
}

func (h *entryHost) refused(x *stream, refusal dispatch.Refusal, l agent.Load) {
	if h.over(x) {
		return
	}
	h.heard(x, l)
	h.apply(x.call, x.call.ticket.Refused(h.s.world.now, x.n, refusal))
}

func (h *entryHost) failed(x *stream, alreadyRun bool) {
	if h.over(x) {
		return
	}
	if alreadyRun {
		h.apply(x.call, x.call.ticket.AlreadyRun(x.n))
		return
	}
	h.broken(x)
}

// broken takes the end of a connection. After the attempt's own end it means
// nothing.
func (h *entryHost) broken(x *stream) {
	if h.over(x) || x.lost {
		return
	}
	x.lost = true
	h.settle(x.call, x.n)
	effects := x.call.ticket.Broken(h.s.world.now, x.n, false)
	if len(effects) > 0 {
		h.core.Lost(h.s.world.now, x.agent.id)
	}
	h.apply(x.call, effects)
}

func (h *entryHost) chunk(x *stream, produced int) {
	if h.over(x) || !x.call.ticket.Deliver(h.s.world.now, x.n, produced) {
		return
	}
	if r := x.call.req; r.firstToken.IsZero() && produced > 0 {
		r.firstToken = h.s.world.now
		h.s.note(record{Kind: firstToken, Request: r.id, Class: r.class.Name})
	}
}

func (h *entryHost) ended(x *stream, l agent.Load) {
	if h.over(x) {
		return
	}
	h.heard(x, l)
	h.apply(x.call, x.call.ticket.Ended(x.n))
}

func (h *entryHost) over(x *stream) bool { return h.dead || x.call.ended || x.closed }

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
