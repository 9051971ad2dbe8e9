package session

import (
	"slices"
	"time"
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
