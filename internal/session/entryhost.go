package session

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/gladegauge/gladegauge/internal/core/agent"
	"github.com/gladegauge/gladegauge/internal/core/dispatch"
	"github.com/gladegauge/gladegauge/internal/core/entry"
)

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
	ticket  *entry.AdmittedRequest
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
			h.apply(c, c.ticket.CallerDisconnected())
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
		Weight: c.req.organisation.Weight, Arrived: c.req.arrived, Copies: e.Copies,
	}
	x.send(&target.process, func() { target.offer(x, o) })
}

func (h *entryHost) settle(c *call, n int) {
	if !c.settled[n] {
		c.settled[n] = true
		h.core.OfferAnswered(c.streams[n].agent.id)
	}
}

func (h *entryHost) heard(x *stream, l agent.Load) {
	if h.dead {
		return
	}
	h.settle(x.call, x.n)
	h.core.RecordReport(h.s.world.now, x.agent.id, l)
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
	effects := x.call.ticket.AttemptLost(h.s.world.now, x.n, false)
	if len(effects) > 0 {
		h.core.AgentFailed(h.s.world.now, x.agent.id)
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
