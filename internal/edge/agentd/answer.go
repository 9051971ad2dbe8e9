package agentd

import (
	"context"
	"net/http"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/agent"
	"github.com/gladegauge/gladegauge/internal/edge/convert"
	"github.com/gladegauge/gladegauge/internal/edge/upstream"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// onChunk forwards a chunk of the response, or ends the attempt.
func (x *session) onChunk(ctx context.Context, p chunk) (bool, error) {
	if p.end != nil {
		return x.onEnd(ctx, *p.end)
	}
	if p.Head != nil {
		return false, x.onHead(p.Head)
	}
	if x.retryElsewhere {
		return false, nil
	}
	x.tokens.Add(int64(p.Tokens))
	x.s.metrics.Tokens.WithLabelValues(x.offer.GetClass()).Add(float64(p.Tokens))
	msg := &gladegaugev1.Chunk{Offset: uint64(p.Offset), Data: p.Data, Tokens: uint32(p.Tokens), Next: uint64(p.Next)}
	err := x.send(&gladegaugev1.AttemptEvent{Event: &gladegaugev1.AttemptEvent_Chunk{Chunk: msg}})
	x.offset = p.Next
	x.idle = false
	return false, err
}

func (x *session) onHead(h *upstream.Head) error {
	if backoff := h.RetryAfter(); backoff > 0 {
		x.s.backoff(backoff)
	}
	if h.Status >= http.StatusInternalServerError && x.retryable {
		x.retryElsewhere = true
		x.cancelRun()
		return nil
	}
	x.s.loop.DoWithoutCancel(func(time.Time) { x.s.crashes.recordResponse() })
	head := &gladegaugev1.Head{Status: uint32(h.Status)}
	for name, values := range h.Headers {
		for _, v := range values {
			head.Headers = append(head.Headers, &gladegaugev1.Header{Name: name, Value: v})
		}
	}
	x.notEventStream = !convert.IsEventStream(head)
	return x.send(&gladegaugev1.AttemptEvent{Event: &gladegaugev1.AttemptEvent_Head{Head: head}})
}

// onEnd handles the end of a call to the upstream.
func (x *session) onEnd(ctx context.Context, end upstream.End) (bool, error) {
	x.running = false
	x.cancelRun()
	if x.retryElsewhere {
		end = upstream.End{Result: upstream.Aborted, Err: errServerStatus}
	}
	produced := max(1, int(x.tokens.Load()))
	var load *gladegaugev1.Load
	// A body that is not an event stream cannot be resumed once part of it was sent.
	partialBody := x.notEventStream && x.offset > 0
	stopped := x.stopping && end.Result != upstream.Complete && !partialBody
	x.s.loop.DoWithoutCancel(func(now time.Time) {
		if stopped {
			x.s.deliver(x.s.agent.Stopped(now, x.id, produced))
		} else {
			x.s.deliver(x.s.agent.Ended(now, x.id, coreEnd(end.Result), produced))
		}
		load = x.s.load()
	})
	if stopped && !x.entryGone {
		return false, nil
	}
	if end.Result != upstream.Complete {
		x.s.metrics.Wasted.WithLabelValues(x.offer.GetClass()).Add(float64(x.tokens.Load()))
		return true, x.fail(&gladegaugev1.Failed{
			NotRun: end.Result == upstream.NotAccepted, Detail: errorText(end.Err), Load: load, EndedStart: x.crashedIncarnation(ctx, end),
		})
	}
	ended := &gladegaugev1.End{Length: uint64(end.Length), Tokens: uint32(produced), Load: load}
	return true, x.send(&gladegaugev1.AttemptEvent{Event: &gladegaugev1.AttemptEvent_End{End: ended}})
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func coreEnd(e upstream.Result) agent.End {
	switch e {
	case upstream.Complete:
		return agent.Completed
	case upstream.NotAccepted:
		return agent.NeverRan
	case upstream.Aborted:
	}
	return agent.Interrupted
}

// heartbeat sends an empty chunk if none was sent since the last call, so that the entry
// knows that the run is alive.
func (x *session) heartbeat() error {
	if x.run == nil || !x.idle {
		x.idle = true
		return nil
	}
	return x.send(&gladegaugev1.AttemptEvent{Event: &gladegaugev1.AttemptEvent_Chunk{
		Chunk: &gladegaugev1.Chunk{Offset: uint64(x.offset), Next: uint64(x.offset)},
	}})
}

func (x *session) refuse(e agent.Refuse) error {
	refused := &gladegaugev1.Refused{
		Reason:       convert.Reason(e.Reason),
		RetryAfterMs: convert.Milliseconds(e.RetryAfter),
		Incarnation:  x.s.incarnation,
	}
	x.s.loop.DoWithoutCancel(func(time.Time) { refused.Load = x.s.load() })
	return x.send(&gladegaugev1.AttemptEvent{Event: &gladegaugev1.AttemptEvent_Refused{Refused: refused}})
}

func (x *session) send(e *gladegaugev1.AttemptEvent) error {
	if x.entryGone {
		return nil
	}
	return x.stream.Send(e)
}
