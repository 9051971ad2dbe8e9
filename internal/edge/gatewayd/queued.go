package gatewayd

import (
	"context"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/admission"
	"github.com/gladegauge/gladegauge/internal/core/gateway"
	"github.com/gladegauge/gladegauge/internal/core/ingress"
)

// Decisions on requests to plain services in metrics and log lines.
const (
	decisionAdmitted = "admitted"
	decisionWaited   = "waited"
	decisionRejected = "rejected"
	decisionLeft     = "left"
	// poolKindPlain is the only kind of pool that admission applies to.
	poolKindPlain = "plain"
)

// queued is the decision on a request to a plain service, and what it was based on.
type queued struct {
	admission.Decision
	room    admission.Room
	waiting int
	at      time.Time
	result  chan admissionResult
}

// arrive asks the queue of the request's pool. The decision is to admit the request if
// admission does not apply to it. It runs in the control loop.
func (x *request) arrive(now time.Time) queued {
	s, pool := x.server, x.admission.Pool
	q := queued{Decision: admission.Decision{Outcome: admission.Admitted}, at: now}
	if !x.isPlainCall() {
		return q
	}
	room, ok := s.room(now, pool)
	if !ok {
		return q
	}
	p, c := s.poolQueue(pool), x.queueCall()
	q.room, q.waiting = room, p.queue.Len()
	q.Decision = p.queue.Arrive(now, room, c)
	x.recordUse(now, p, q.Outcome, c.Organisation)
	switch q.Outcome {
	case admission.Queued:
		q.result = make(chan admissionResult, 1)
		p.waiting[q.Ticket] = waiter{organisation: c.Organisation, result: q.result}
	case admission.Admitted:
		s.countDecision(decisionAdmitted)
	case admission.Rejected:
	}
	if len(p.waiting) > 0 {
		s.deliver(now, pool, room, q.Released)
	}
	return q
}

// recordUse records the request in the use of the pool by organisations. A repeated attempt
// at another upstream is no further request. It runs in the control loop.
func (x *request) recordUse(now time.Time, p *poolQueue, o admission.Outcome, organisation uint64) {
	shares := x.server.table.Shares(x.admission.Pool)
	if len(x.tried) == 0 {
		shares.RecordRequest(now, organisation, callLoad)
	}
	if o == admission.Admitted {
		shares.RecordAdmitted(now, organisation, callLoad)
	}
	if p.queue.Paced() {
		shares.MarkContended(now)
	}
}

// isPlainCall reports whether the request occupies a slot of a plain service until its
// answer begins, which streams and prompts do not.
func (x *request) isPlainCall() bool {
	return x.admission.Route.Kind != ingress.Stream && x.call.Prompt.Tokens == 0
}

// queueCall returns the properties of the request that its place in the queue depends on.
func (x *request) queueCall() admission.Call {
	deadline := x.admission.Deadline
	if x.call.CallerTimeout > 0 {
		deadline = x.startedAt.Add(x.call.CallerTimeout)
	}
	return admission.Call{
		Route:        x.admission.Route.Name,
		Urgency:      x.admission.Urgency,
		Organisation: ingress.HashID(x.organisation()),
		Target:       x.admission.Route.Target,
		Arrived:      x.startedAt,
		Deadline:     deadline,
		Timeout:      x.admission.Deadline,
	}
}

// await waits until the request leaves the queue. It returns the refusal of a request that
// may not be sent. If the caller disconnects, it aborts the request by a panic.
func (x *request) await(ctx context.Context, q queued) *gateway.Refusal {
	switch q.Outcome {
	case admission.Rejected:
		x.logQueued(q, decisionRejected, q.RetryAfter)
		return x.rejection(q.RetryAfter)
	case admission.Queued:
	default:
		return nil
	}
	select {
	case result := <-q.result:
		if result.rejected {
			x.logQueued(q, decisionRejected, result.retryAfter)
			return x.rejection(result.retryAfter)
		}
		x.logQueued(q, decisionWaited, 0)
		return nil
	case <-ctx.Done():
		x.leave(q)
		x.logQueued(q, decisionLeft, 0)
		if x.r.Context().Err() != nil {
			x.abort(gateway.CallerGone)
		}
		return gateway.TooLate(x.progress)
	}
}

// leave removes the request from the queue.
func (x *request) leave(q queued) {
	s, pool := x.server, x.admission.Pool
	s.control.DoWithoutCancel(func(now time.Time) {
		p := s.poolQueue(pool)
		delete(p.waiting, q.Ticket)
		p.queue.Leave(q.Ticket)
		s.release(now, pool)
	})
}

// rejection returns the refusal of a request that the queue rejects. A request that may have
// run on an earlier attempt gets no promise.
func (x *request) rejection(retryAfter time.Duration) *gateway.Refusal {
	if x.progress.MayHaveRun {
		return gateway.NoUpstreamLeft(x.server.now(), x.admission, x.progress)
	}
	return gateway.Busy(retryAfter)
}

// logQueued logs and counts the result of a request that waited or was rejected.
func (x *request) logQueued(q queued, decision string, retryAfter time.Duration) {
	waited := x.server.now().Sub(q.at)
	x.server.countDecision(decision)
	x.server.metrics.admissionWait.Observe(waited.Seconds())
	x.log().
		Str("route", x.admission.Route.Name).
		Str("pool", x.admission.Pool).
		Str("organisation", x.organisation()).
		Int("urgency", x.admission.Urgency).
		Int("waiting", q.waiting).
		Float64("in_flight", q.room.InFlight).
		Int("slots", q.room.Slots).
		Float64("share", q.room.Share).
		Dur("reports_age", q.room.ReportAge).
		Dur("slot_time", q.room.Work).
		Dur("expected_wait", q.Wait).
		Dur("waited", waited).
		Dur("come_back", retryAfter).
		Str("decision", decision).
		Msg("request queued")
}

// countDecision counts a decision on a request to a plain service.
func (s *Server) countDecision(decision string) {
	s.metrics.admissions.WithLabelValues(poolKindPlain, decision).Inc()
}
