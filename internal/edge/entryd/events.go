package entryd

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/dispatch"
	"github.com/gladegauge/gladegauge/internal/edge/convert"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// onEvent takes what a stream brought. An error means that the caller cannot
// be written to.
func (x *call) onEvent(e attemptEvent) ([]dispatch.Effect, error) {
	a := x.attempts[e.n]
	if e.event == nil {
		return x.onLost(e.n, a), nil
	}
	switch ev := e.event.GetEvent().(type) {
	case *gladegaugev1.AttemptEvent_Head:
		return nil, x.onHead(e.n, ev.Head)
	case *gladegaugev1.AttemptEvent_Chunk:
		return nil, x.onChunk(e.n, ev.Chunk)
	default:
		return x.onControl(e.n, a, e.event), nil
	}
}

// onLost takes the end of a stream. After the attempt's own end it means
// nothing.
func (x *call) onLost(n int, a *attempt) []dispatch.Effect {
	var effects []dispatch.Effect
	x.s.loop.Must(func(now time.Time) {
		effects = x.broken(now, n, a, false)
		x.settle(now, a, false)
	})
	return effects
}

// broken takes the loss of an attempt, and counts it if it still mattered. It
// runs in the control loop.
func (x *call) broken(now time.Time, n int, a *attempt, notRun bool) []dispatch.Effect {
	effects := x.ticket.AttemptLost(now, n, notRun)
	if len(effects) > 0 {
		x.s.entry.AgentFailed(now, a.agent)
		x.s.metrics.Attempts.WithLabelValues("lost").Inc()
	}
	return effects
}

// onControl takes an event that changes the request's state.
func (x *call) onControl(n int, a *attempt, event *gladegaugev1.AttemptEvent) []dispatch.Effect {
	var effects []dispatch.Effect
	x.s.loop.Must(func(now time.Time) {
		x.settle(now, a, false)
		x.hear(now, a, event)
		switch ev := event.GetEvent().(type) {
		case *gladegaugev1.AttemptEvent_Granted:
			x.s.metrics.Attempts.WithLabelValues("granted").Inc()
			effects = x.ticket.Granted(now, n, ev.Granted.GetIncarnation())
		case *gladegaugev1.AttemptEvent_Refused:
			x.s.metrics.Attempts.WithLabelValues("refused").Inc()
			effects = x.ticket.Refused(now, n, convert.Refusal(ev.Refused))
		case *gladegaugev1.AttemptEvent_Failed:
			effects = x.onFailed(now, n, a, ev.Failed)
		case *gladegaugev1.AttemptEvent_End:
			effects = x.onEnd(now, n, a, ev.End)
		}
	})
	return effects
}

// hear takes the load and version that ride on an event. It runs in the
// control loop.
func (x *call) hear(now time.Time, a *attempt, event *gladegaugev1.AttemptEvent) {
	var load *gladegaugev1.Load
	switch ev := event.GetEvent().(type) {
	case *gladegaugev1.AttemptEvent_Accepted:
		load = ev.Accepted.GetLoad()
	case *gladegaugev1.AttemptEvent_Granted:
		load = ev.Granted.GetLoad()
	case *gladegaugev1.AttemptEvent_Refused:
		load = ev.Refused.GetLoad()
	case *gladegaugev1.AttemptEvent_Failed:
		load = ev.Failed.GetLoad()
	case *gladegaugev1.AttemptEvent_End:
		load = ev.End.GetLoad()
	}
	if load == nil {
		return
	}
	x.s.entry.Heard(now, a.agent, convert.LoadOf(load))
	x.s.sync.Heard(load.GetVersion(), a.address)
}

func (x *call) onFailed(now time.Time, n int, a *attempt, f *gladegaugev1.Failed) []dispatch.Effect {
	if f.GetAlreadyRun() {
		return x.ticket.AlreadyRun(n)
	}
	x.underEnd(now, a, f)
	return x.broken(now, n, a, f.GetNotRun())
}

// onEnd takes the end of an answer. An answer that is not all there is broken.
func (x *call) onEnd(now time.Time, n int, a *attempt, end *gladegaugev1.End) []dispatch.Effect {
	if int(end.GetLength()) != x.ticket.Delivered() {
		x.s.o.Log.Error().Str("request", x.id).Uint64("length", end.GetLength()).
			Int("delivered", x.ticket.Delivered()).Msg("answer does not have the length its agent says")
		return x.ticket.AttemptLost(now, n, false)
	}
	x.claimedBy = a.agent
	return x.ticket.Ended(n)
}

func (x *call) onHead(n int, h *gladegaugev1.Head) error {
	if !x.ticket.Deliver(x.s.now(), n, 0) || x.ticket.Delivered() > 0 {
		return nil
	}
	x.status = int(h.GetStatus())
	if !convert.Events(h) {
		x.ticket.MarkNotEventStream()
	}
	return x.out.head(h)
}

// onChunk relays a piece that follows what the caller has. One that does not
// is left out, and shows as a wrong length at the end.
func (x *call) onChunk(n int, c *gladegaugev1.Chunk) error {
	if int(c.GetOffset()) != x.ticket.Delivered() && len(c.GetData()) > 0 {
		return nil
	}
	if !x.ticket.Deliver(x.s.now(), n, int(c.GetNext())) || len(c.GetData()) == 0 {
		return nil
	}
	if x.first.IsZero() {
		x.first = x.s.now()
	}
	return x.out.chunk(c.GetData())
}
