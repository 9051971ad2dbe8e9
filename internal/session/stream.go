package session

import (
	"slices"
	"time"
)

// process is the common part of agents and entries. A paused process queues its incoming
// messages and handles them when it is resumed.
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

func (p *process) resume() {
	p.paused = false
	inbox := p.inbox
	p.inbox = nil
	for _, do := range inbox {
		do()
	}
}

// stream is the connection of one attempt between an entry and an agent.
type stream struct {
	id          string
	attempt     int
	call        *call
	entry       *entryHost
	agent       *agentHost
	incarnation int
	// closed is set when the entry has withdrawn the attempt, lost when the entry has
	// noticed the end of the connection.
	closed, lost bool
}

// send delivers a message over the stream after the network delay. During a partition the
// message is dropped, which breaks the connection on both sides.
func (x *stream) send(to *process, do func()) {
	s := x.entry.s
	if slices.Contains(s.partitions, partition{x.entry.id, x.agent.id}) {
		s.disconnect(x)
		return
	}
	s.clock.after(s.delay(x.entry.zone, x.agent.zone), func() { to.deliver(do) })
	if s.duplicateDelay > 0 {
		s.clock.after(s.duplicateDelay, func() { to.deliver(do) })
	}
}

func (s *Session) delay(a, b string) time.Duration {
	if a == b {
		return s.site.IntraZoneDelay
	}
	return s.site.InterZoneDelay
}

// disconnect breaks a connection. Both sides notice it after disconnectDelay.
func (s *Session) disconnect(x *stream) {
	s.clock.after(disconnectDelay, func() {
		x.entry.deliver(func() { x.entry.disconnected(x) })
		x.agent.deliver(func() { x.agent.withdraw(x) })
	})
}
