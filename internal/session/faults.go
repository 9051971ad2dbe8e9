package session

import (
	"slices"
	"strings"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/dispatch"
)

// begin makes something fail, and plans its end.
func (s *Session) begin(f Fault) {
	s.note(record{Kind: fault, Detail: string(f.Kind) + " " + strings.Join(f.Hosts, ",")})
	switch f.Kind {
	case Slow:
		s.eachAgent(f, func(a *agentHost) { a.engine.speed = f.Factor })
	case Crash:
		s.eachAgent(f, func(a *agentHost) { a.engine.crash() })
	case Restart:
		s.eachAgent(f, func(a *agentHost) { a.kill() })
	case Pause:
		s.eachProcess(f, func(p *process) { p.paused = true })
		s.eachAgent(f, s.pingOut)
	case Cut:
		s.cut(f)
	case Leave:
		s.eachAgent(f, s.leave)
	case RestartEntry:
		s.eachEntry(f, s.killEntry)
	case Repeat:
		s.repeat = seconds(f.Factor)
	}
	if f.For > 0 {
		s.world.after(seconds(f.For), func() { s.heal(f) })
	}
}

// heal ends a fault.
func (s *Session) heal(f Fault) {
	s.note(record{Kind: healed, Detail: string(f.Kind) + " " + strings.Join(f.Hosts, ",")})
	switch f.Kind {
	case Slow:
		s.eachAgent(f, func(a *agentHost) { a.engine.speed = 1 })
	case Crash:
		s.eachAgent(f, func(a *agentHost) { a.engine.down = false })
	case Restart:
		s.eachAgent(f, func(a *agentHost) { a.boot() })
	case Pause:
		s.eachProcess(f, func(p *process) { p.wake() })
	case Cut:
		s.cuts = nil
	case RestartEntry:
		s.eachEntry(f, func(e *entryHost) { e.boot() })
		s.publish()
	case Repeat:
		s.repeat = 0
	case Leave:
	}
}

func (s *Session) eachAgent(f Fault, do func(*agentHost)) {
	for _, a := range s.agents {
		if slices.Contains(f.Hosts, a.id) {
			do(a)
		}
	}
}

func (s *Session) eachEntry(f Fault, do func(*entryHost)) {
	for _, e := range s.entries {
		if slices.Contains(f.Hosts, e.id) {
			do(e)
		}
	}
}

func (s *Session) eachProcess(f Fault, do func(*process)) {
	s.eachAgent(f, func(a *agentHost) { do(&a.process) })
	s.eachEntry(f, func(e *entryHost) { do(&e.process) })
}

// cut separates the named entries from the named agents.
func (s *Session) cut(f Fault) {
	s.eachEntry(f, func(e *entryHost) {
		s.eachAgent(f, func(a *agentHost) {
			s.cuts = append(s.cuts, cut{e.id, a.id})
			for _, id := range sortedKeys(a.streams) {
				if x := a.streams[id]; x.entry == e && !x.call.ended {
					s.breakStream(x)
				}
			}
		})
	})
}

// pingTimeout is how long a silent process keeps its connections.
const pingTimeout = 4 * time.Second

// pingOut breaks the connections of an agent that is still paused after the
// ping timeout.
func (s *Session) pingOut(a *agentHost) {
	s.world.after(pingTimeout, func() {
		if !a.paused {
			return
		}
		for _, id := range sortedKeys(a.streams) {
			x := a.streams[id]
			x.entry.deliver(func() { x.entry.broken(x) })
			a.deliver(func() { a.withdraw(x) })
		}
	})
}

// leave begins a planned stop; the platform's list tells it late.
func (s *Session) leave(a *agentHost) {
	s.note(record{Kind: leaving, Agent: a.id})
	a.apply(a.core.Drain(s.world.now))
	s.leaving[a.id] = true
	s.world.after(listLag, s.publish)
}

// killEntry ends an entry: its callers lose their connections, and its agents
// notice that it is gone.
func (s *Session) killEntry(e *entryHost) {
	for _, c := range e.calls {
		if c.ended {
			continue
		}
		e.end(c, dispatch.Unknown.String(), "entry lost")
		for _, x := range c.streams {
			s.world.after(s.delay(e.zone, x.agent.zone), func() { x.agent.deliver(func() { x.agent.withdraw(x) }) })
		}
	}
	e.dead = true
}
