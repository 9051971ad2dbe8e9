package session

import (
	"slices"
	"strings"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/dispatch"
)

// injectFault starts a fault and schedules its end.
func (s *Session) injectFault(f Fault) {
	s.addRecord(record{Kind: fault, Detail: string(f.Kind) + " " + strings.Join(f.Hosts, ",")})
	switch f.Kind {
	case Slow:
		s.eachAgent(f, func(a *agentHost) { a.engine.speed = f.Factor })
	case Crash:
		s.eachAgent(f, func(a *agentHost) { a.engine.crash() })
	case Restart:
		s.eachAgent(f, func(a *agentHost) { a.kill() })
	case Pause:
		s.eachProcess(f, func(p *process) { p.paused = true })
		s.eachAgent(f, s.schedulePingTimeout)
	case Cut:
		s.partition(f)
	case Leave:
		s.eachAgent(f, s.drainAgent)
	case RestartEntry:
		s.eachEntry(f, s.killEntry)
	case Repeat:
		s.duplicateDelay = seconds(f.Factor)
	}
	if f.For > 0 {
		s.clock.after(seconds(f.For), func() { s.clearFault(f) })
	}
}

// clearFault ends a fault.
func (s *Session) clearFault(f Fault) {
	s.addRecord(record{Kind: healed, Detail: string(f.Kind) + " " + strings.Join(f.Hosts, ",")})
	switch f.Kind {
	case Slow:
		s.eachAgent(f, func(a *agentHost) { a.engine.speed = 1 })
	case Crash:
		s.eachAgent(f, func(a *agentHost) { a.engine.down = false })
	case Restart:
		s.eachAgent(f, func(a *agentHost) { a.boot() })
	case Pause:
		s.eachProcess(f, func(p *process) { p.resume() })
	case Cut:
		s.partitions = nil
	case RestartEntry:
		s.eachEntry(f, func(e *entryHost) { e.boot() })
		s.publishHosts()
	case Repeat:
		s.duplicateDelay = 0
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

// partition drops all messages between the named entries and the named agents, and breaks
// their streams.
func (s *Session) partition(f Fault) {
	s.eachEntry(f, func(e *entryHost) {
		s.eachAgent(f, func(a *agentHost) {
			s.partitions = append(s.partitions, partition{e.id, a.id})
			for _, id := range sortedKeys(a.streams) {
				if x := a.streams[id]; x.entry == e && !x.call.ended {
					s.disconnect(x)
				}
			}
		})
	})
}

// pingTimeout is the time after which the connections of an unresponsive process break.
const pingTimeout = 4 * time.Second

// schedulePingTimeout breaks the connections of an agent if it is still paused after the
// ping timeout.
func (s *Session) schedulePingTimeout(a *agentHost) {
	s.clock.after(pingTimeout, func() {
		if !a.paused {
			return
		}
		for _, id := range sortedKeys(a.streams) {
			x := a.streams[id]
			x.entry.deliver(func() { x.entry.disconnected(x) })
			a.deliver(func() { a.withdraw(x) })
		}
	})
}

// drainAgent begins a planned stop of an agent. The platform's host list shows it after
// hostListDelay.
func (s *Session) drainAgent(a *agentHost) {
	s.addRecord(record{Kind: leaving, Agent: a.id})
	a.execute(a.core.Drain(s.clock.now))
	s.leaving[a.id] = true
	s.clock.after(hostListDelay, s.publishHosts)
}

// killEntry terminates an entry. Its callers lose their connections, and its agents notice
// the loss after the network delay.
func (s *Session) killEntry(e *entryHost) {
	for _, c := range e.calls {
		if c.ended {
			continue
		}
		e.end(c, dispatch.Unknown.String(), "entry lost")
		for _, x := range c.streams {
			s.clock.after(s.delay(e.zone, x.agent.zone), func() { x.agent.deliver(func() { x.agent.withdraw(x) }) })
		}
	}
	e.dead = true
}
