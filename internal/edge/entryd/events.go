package entryd

import (
	"net/http"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/dispatch"
	"github.com/gladegauge/gladegauge/internal/core/responsehead"
	"github.com/gladegauge/gladegauge/internal/edge/convert"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// onEvent handles an event of a stream. An error means that the connection to the caller
// is broken.
func (x *call) onEvent(e attemptEvent) ([]dispatch.Effect, error) {
	a := x.attempts[e.n]
	if e.event == nil {
		return x.onStreamClosed(e.n, a), nil
	}
	switch ev := e.event.GetEvent().(type) {
	case *gladegaugev1.AttemptEvent_Head:
		return x.onHead(e.n, a, ev.Head)
	case *gladegaugev1.AttemptEvent_Chunk:
		return nil, x.onChunk(e.n, ev.Chunk)
	default:
		return x.onStateChange(e.n, a, e.event), nil
	}
}

// onStreamClosed handles the end of a stream. It has no effect if the attempt has ended
// already.
func (x *call) onStreamClosed(n int, a *attempt) []dispatch.Effect {
	var effects []dispatch.Effect
	x.s.loop.DoWithoutCancel(func(now time.Time) {
		effects = x.attemptLost(now, n, a, false)
		x.closeOffer(now, a, false)
	})
	return effects
}

// attemptLost handles the loss of an attempt, and counts it as a failure of the agent if
// it affects the request. It runs in the control loop.
func (x *call) attemptLost(now time.Time, n int, a *attempt, notRun bool) []dispatch.Effect {
	effects := x.admitted.AttemptLost(now, n, notRun)
	if len(effects) > 0 {
		x.s.entry.AgentFailed(now, a.agent)
		x.s.metrics.Attempts.WithLabelValues("lost").Inc()
	}
	return effects
}

// onStateChange handles an event that changes the state of the request.
func (x *call) onStateChange(n int, a *attempt, event *gladegaugev1.AttemptEvent) []dispatch.Effect {
	var effects []dispatch.Effect
	x.s.loop.DoWithoutCancel(func(now time.Time) {
		x.closeOffer(now, a, false)
		x.recordLoad(now, a, event)
		switch ev := event.GetEvent().(type) {
		case *gladegaugev1.AttemptEvent_Granted:
			x.s.metrics.Attempts.WithLabelValues("granted").Inc()
			effects = x.admitted.Granted(now, n, ev.Granted.GetIncarnation())
		case *gladegaugev1.AttemptEvent_Refused:
			x.s.metrics.Attempts.WithLabelValues("refused").Inc()
			effects = x.admitted.Refused(now, n, convert.Refusal(ev.Refused))
		case *gladegaugev1.AttemptEvent_Failed:
			effects = x.onFailed(now, n, a, ev.Failed)
		case *gladegaugev1.AttemptEvent_End:
			effects = x.onEnd(now, n, a, ev.End)
		}
	})
	return effects
}

// recordLoad records the load and the configuration version that an event reports. It
// runs in the control loop.
func (x *call) recordLoad(now time.Time, a *attempt, event *gladegaugev1.AttemptEvent) {
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
	x.s.entry.RecordReport(now, a.agent, convert.LoadFromMessage(load))
	x.s.sync.RecordReport(load.GetVersion(), a.address)
}

func (x *call) onFailed(now time.Time, n int, a *attempt, f *gladegaugev1.Failed) []dispatch.Effect {
	if f.GetAlreadyRun() {
		return x.admitted.AlreadyRun(n)
	}
	x.recordCrash(now, a, f)
	return x.attemptLost(now, n, a, f.GetNotRun())
}

// onEnd handles the end of a response. A response that was not delivered completely
// counts as a lost attempt.
func (x *call) onEnd(now time.Time, n int, a *attempt, end *gladegaugev1.End) []dispatch.Effect {
	if int(end.GetLength()) != x.admitted.Delivered() {
		x.s.o.Log.Error().Str("request", x.id).Uint64("length", end.GetLength()).
			Int("delivered", x.admitted.Delivered()).Msg("delivered length differs from the length that the agent reported")
		return x.admitted.AttemptLost(now, n, false)
	}
	x.claimedAgent = a.agent
	return x.admitted.Ended(n)
}

// onHead relays the head of a response. A run whose head is invalid is lost.
func (x *call) onHead(n int, a *attempt, h *gladegaugev1.Head) ([]dispatch.Effect, error) {
	if !x.admitted.Deliver(x.s.now(), n, 0) {
		return nil, nil
	}
	if err := checkHead(h); err != nil {
		return x.onInvalidHead(n, a, err), nil
	}
	if x.admitted.Delivered() > 0 {
		return nil, nil
	}
	x.status = int(h.GetStatus())
	if !convert.IsEventStream(h) {
		x.admitted.MarkNotEventStream()
	}
	return nil, x.out.head(h)
}

// checkHead returns an error if HTTP allows no such head.
func checkHead(h *gladegaugev1.Head) error {
	names := make(http.Header, len(h.GetHeaders()))
	for _, header := range h.GetHeaders() {
		names[header.GetName()] = nil
	}
	return responsehead.Check(int(h.GetStatus()), names)
}

// onInvalidHead ends the run whose response has an invalid head: its body may not be that of the
// upstream either.
func (x *call) onInvalidHead(n int, a *attempt, err error) []dispatch.Effect {
	x.s.o.Log.Error().Str("request", x.id).Str("agent", a.agent).Err(err).Msg("agent sent an invalid head")
	a.cancel()
	return x.onStreamClosed(n, a)
}

// onChunk relays a chunk that directly follows the data that the caller has received. Any
// other chunk is dropped, which is detected as a wrong length at the end.
func (x *call) onChunk(n int, c *gladegaugev1.Chunk) error {
	if int(c.GetOffset()) != x.admitted.Delivered() && len(c.GetData()) > 0 {
		return nil
	}
	if !x.admitted.Deliver(x.s.now(), n, int(c.GetNext())) || len(c.GetData()) == 0 {
		return nil
	}
	if x.firstByte.IsZero() {
		x.firstByte = x.s.now()
	}
	return x.out.chunk(c.GetData())
}
