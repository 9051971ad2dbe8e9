package session

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/gladegauge/gladegauge/internal/core/agent"
	"github.com/gladegauge/gladegauge/internal/core/dispatch"
	"github.com/gladegauge/gladegauge/internal/core/entry"
)

// entryHost is an entry process with the requests of its callers.
type entryHost struct {
	process
	s           *Session
	id          string
	zone        string
	seed        uint64
	dead        bool
	incarnation int
	core        *entry.Entry
	calls       []*call
}

// call is a request at its entry.
type call struct {
	req      *request
	admitted *entry.AdmittedRequest
	streams  []*stream
	settled  []bool
	agent    string
	offset   int
	ended    bool
}

func (h *entryHost) boot() {
	h.incarnation++
	h.dead = false
	h.calls = nil
	o := h.s.policy.Entry
	o.Route.Entry = h.id
	o.Route.Zone = h.zone
	rng := rand.New(rand.NewPCG(h.s.script.Seed, 1000+h.seed)) //nolint:gosec // A fixed seed is the point.
	h.core = entry.New(o, h.s.site.Config, rng)
	incarnation := h.incarnation
	h.s.clock.every(entryTickInterval, func() bool {
		if h.incarnation == incarnation && !h.dead && !h.paused {
			h.tick()
		}
		return h.incarnation == incarnation && !h.dead
	})
}

func (h *entryHost) tick() {
	for _, c := range slices.Clone(h.calls) {
		if c.ended {
			continue
		}
		if h.callerTimedOut(c) {
			h.execute(c, c.admitted.CallerDisconnected())
			continue
		}
		h.execute(c, c.admitted.Tick(h.s.clock.now))
	}
	h.calls = slices.DeleteFunc(h.calls, func(c *call) bool { return c.ended })
}

// callerTimedOut reports whether the caller has disconnected. Callers wait for the first
// token only for as long as the response is useful to them.
func (h *entryHost) callerTimedOut(c *call) bool {
	return c.req.firstToken.IsZero() && h.s.clock.now.Sub(c.req.arrived) > c.req.class.Useful
}

func (h *entryHost) serve(r *request) {
	c := &call{req: r}
	h.calls = append(h.calls, c)
	now := h.s.clock.now
	admitted, rejection := h.core.Admit(now, entry.Call{
		Organisation: r.organisation, Class: r.class, Pool: r.pool, Prefix: uint64(r.prefix),
	})
	if rejection != nil {
		h.end(c, dispatch.NotRun.String(), "gate")
		return
	}
	c.admitted = admitted
	h.execute(c, admitted.Start(now))
}

func (h *entryHost) end(c *call, result, reason string) {
	c.ended = true
	c.req.ended = h.s.clock.now
	c.req.result = result
	c.req.reason = reason
	h.s.addRecord(record{Kind: finished, Request: c.req.id, Class: c.req.class.Name, Detail: result + " " + reason, Tokens: delivered(c)})
}

func delivered(c *call) int {
	if c.admitted == nil {
		return 0
	}
	return c.admitted.Delivered()
}

func (h *entryHost) execute(c *call, effects []dispatch.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case dispatch.Offer:
			h.openStream(c, e)
		case dispatch.Claim:
			x := c.streams[e.Attempt]
			c.agent = x.agent.id
			h.s.addRecord(record{Kind: claimed, Request: c.req.id, Attempt: x.id, Agent: x.agent.id, Tokens: e.Offset})
			x.send(&x.agent.process, func() { x.agent.claim(x, e) })
		case dispatch.Recount:
			x := c.streams[e.Attempt]
			x.send(&x.agent.process, func() { x.agent.core.Recount(x.id, e.Copies) })
		case dispatch.Withdraw:
			x := c.streams[e.Attempt]
			x.closed = true
			h.s.addRecord(record{Kind: withdrawn, Request: c.req.id, Attempt: x.id, Agent: x.agent.id})
			x.send(&x.agent.process, func() { x.agent.withdraw(x) })
		case dispatch.Finish:
			h.finish(c, e.Outcome)
		}
	}
}

func (h *entryHost) finish(c *call, o dispatch.Outcome) {
	for n := range c.streams {
		h.settleOffer(c, n)
	}
	h.core.Finished(h.s.clock.now, c.admitted, c.agent, o)
	reason := ""
	if o.Reason != 0 {
		reason = o.Reason.String()
	}
	h.end(c, o.Result.String(), reason)
}

func (h *entryHost) openStream(c *call, e dispatch.Offer) {
	target := h.s.agent(e.Agent.ID)
	x := &stream{
		id: fmt.Sprintf("r%d/%d", c.req.id, e.Attempt), attempt: e.Attempt,
		call: c, entry: h, agent: target, incarnation: target.incarnation,
	}
	c.streams = append(c.streams, x)
	c.settled = append(c.settled, false)
	h.s.addRecord(record{Kind: offered, Request: c.req.id, Attempt: x.id, Agent: target.id})
	o := agent.Offer{
		ID: x.id, Class: c.req.class.Name, Organisation: c.req.organisation.Name,
		Weight: c.req.organisation.Weight, Arrived: c.req.arrived, Copies: e.Copies,
	}
	x.send(&target.process, func() { target.offer(x, o) })
}

func (h *entryHost) settleOffer(c *call, n int) {
	if !c.settled[n] {
		c.settled[n] = true
		h.core.OfferAnswered(c.streams[n].agent.id)
	}
}

func (h *entryHost) recordLoad(x *stream, l agent.Load) {
	if h.dead {
		return
	}
	h.settleOffer(x.call, x.attempt)
	h.core.RecordReport(h.s.clock.now, x.agent.id, l)
}

func (h *entryHost) granted(x *stream, incarnation string) {
	if !h.streamDone(x) {
		h.execute(x.call, x.call.admitted.Granted(h.s.clock.now, x.attempt, incarnation))
	}
}

func (h *entryHost) refused(x *stream, refusal dispatch.Refusal, l agent.Load) {
	if h.streamDone(x) {
		return
	}
	h.recordLoad(x, l)
	h.execute(x.call, x.call.admitted.Refused(h.s.clock.now, x.attempt, refusal))
}

func (h *entryHost) failed(x *stream, alreadyRun bool) {
	if h.streamDone(x) {
		return
	}
	if alreadyRun {
		h.execute(x.call, x.call.admitted.AlreadyRun(x.attempt))
		return
	}
	h.disconnected(x)
}

// disconnected handles the loss of a stream's connection. It is ignored after the end of
// the attempt.
func (h *entryHost) disconnected(x *stream) {
	if h.streamDone(x) || x.lost {
		return
	}
	x.lost = true
	h.settleOffer(x.call, x.attempt)
	effects := x.call.admitted.AttemptLost(h.s.clock.now, x.attempt, false)
	if len(effects) > 0 {
		h.core.AgentFailed(h.s.clock.now, x.agent.id)
	}
	h.execute(x.call, effects)
}

func (h *entryHost) chunk(x *stream, produced int) {
	if h.streamDone(x) || !x.call.admitted.Deliver(h.s.clock.now, x.attempt, produced) {
		return
	}
	if r := x.call.req; r.firstToken.IsZero() && produced > 0 {
		r.firstToken = h.s.clock.now
		h.s.addRecord(record{Kind: firstToken, Request: r.id, Class: r.class.Name})
	}
}

func (h *entryHost) ended(x *stream, l agent.Load) {
	if h.streamDone(x) {
		return
	}
	h.recordLoad(x, l)
	h.execute(x.call, x.call.admitted.Ended(x.attempt))
}

func (h *entryHost) streamDone(x *stream) bool { return h.dead || x.call.ended || x.closed }
