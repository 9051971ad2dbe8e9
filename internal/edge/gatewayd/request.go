package gatewayd

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/gateway"
	"github.com/gladegauge/gladegauge/internal/core/ingress"
	"github.com/gladegauge/gladegauge/internal/core/suspect"
	"github.com/gladegauge/gladegauge/internal/edge/clock"
	"github.com/gladegauge/gladegauge/platform"
)

const (
	// answerSlack is how long after its deadline a request is still held, so
	// that the upstream's own word on the deadline can come.
	answerSlack = 50 * time.Millisecond
	// writeSlack is how much longer a caller may take to read its answer.
	writeSlack = 2 * time.Second
)

// request is one caller's request on its way.
type request struct {
	server *Server
	w      *echo.Response
	r      *http.Request
	call   platform.Call
	// view is the configuration that admitted the request; it holds to the end.
	view      ingress.View
	admission gateway.Admission
	progress  gateway.Progress
	body      body
	began     time.Time
	// tried are the upstreams that were picked.
	tried []string
	// backup keeps a copy of the run's memory; the zero value if none does.
	backup balance.Backup
	// continuing is true once the run goes on from its copy.
	continuing bool
	// lastEvent is the last event of a stream that went to the caller.
	lastEvent string
	// events is the number of events that went to the caller.
	events int
	// repeated is the number of events that came again, and did not go to the caller.
	repeated int
	// firstByte is the time until the first event, or until the head of another
	// answer.
	firstByte time.Duration
	// longestGap is the longest time between two events from the upstream.
	longestGap time.Duration
	// patience is with the upstream of the present attempt.
	patience *patience
	// loadTold is true once the load that rode on the present answer was noted.
	loadTold bool
	// faulty is an upstream's own error that may yet be passed on.
	faulty *errorAnswer
	// sentAt is when the present attempt began.
	sentAt time.Time
	// headAt is when the head of the present attempt's answer came; zero before.
	headAt time.Time
	// print is the zero value until it is asked for.
	print suspect.Print
	// firstAt is when the first event of the present attempt came; zero before.
	firstAt time.Time
	// quarantined is true while it is counted as a suspect that runs.
	quarantined bool
	// sound is true once the request was answered with success.
	sound bool
}

// serve carries one request from its caller to an upstream and back.
func (s *Server) serve(c echo.Context) error {
	now := s.now()
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.lastRequestAt.Store(now.UnixNano())
	x := &request{
		server: s,
		w:      c.Response(),
		r:      c.Request(),
		call:   platform.DecodeCall(c.Request().Header),
		began:  now,
	}
	x.lastEvent = x.call.LastEvent
	if stopping := s.stoppingAt.Load(); stopping != nil {
		x.w.Header().Set("Connection", "close")
		if now.Sub(*stopping) > s.o.Stop.RejectAfter {
			x.refuse(gateway.Stopping())
			return nil
		}
	}
	if refusal := x.admit(now); refusal != nil {
		x.refuse(refusal)
		return nil
	}
	_ = http.NewResponseController(x.w).SetWriteDeadline(x.steady(x.admission.Deadline.Add(writeSlack)))
	if refusal := x.readBody(); refusal != nil {
		x.refuse(refusal)
		return nil
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), x.left()+answerSlack)
	defer cancel()
	if refusal := x.checkSuspect(); refusal != nil {
		x.refuse(refusal)
		return nil
	}
	defer x.releaseSuspect()
	x.attempts(ctx)
	return nil
}

// admit holds the request against the configuration.
func (x *request) admit(now time.Time) *gateway.Refusal {
	x.view = *x.server.view.Load()
	a, refusal := gateway.Admit(now, x.view, gateway.Call{
		ID:            x.call.ID,
		Host:          hostOf(x.r),
		Path:          x.r.URL.EscapedPath(),
		Key:           x.call.Key,
		CallerTimeout: x.call.CallerTimeout,
	}, *x.server.bounds.Load())
	x.admission = a
	return refusal
}

// hostOf is the host that the caller asks, without a port.
func hostOf(r *http.Request) string {
	if h, _, err := net.SplitHostPort(r.Host); err == nil {
		return h
	}
	return r.Host
}

// left is the time until the request's deadline.
func (x *request) left() time.Duration { return x.admission.Deadline.Sub(x.server.now()) }

// steady is the time by the steady clock, for deadlines of connections.
func (x *request) steady(t time.Time) time.Time {
	return clock.Deadline(t.Sub(x.server.now()))
}

// attempts tries upstreams until the request has its answer.
func (x *request) attempts(ctx context.Context) {
	next := x.pick
	for {
		choice, ok := next()
		if choice.RetryAfter > 0 {
			x.logBusy(choice)
			x.end(gateway.Busy(choice.RetryAfter))
			return
		}
		if !ok {
			x.end(gateway.NoUpstreamLeft(x.server.now(), x.admission, x.progress))
			return
		}
		if x.left() <= 0 {
			// The host stood still between the choice and now: nothing is sent late.
			x.giveBack(choice)
			x.end(gateway.TooLate(x.progress))
			return
		}
		x.backup = choice.Backup
		x.progress.HasBackup = choice.Backup.Any()
		failure, err := x.attempt(ctx, choice)
		if failure == gateway.None {
			x.logEnd(completed, nil)
			return
		}
		now := x.server.now()
		x.progress = x.progress.With(failure)
		if failure == gateway.Lost && x.checkLost(ctx, choice) == suspect.Blocked && !x.progress.ResponseStarted {
			x.logFailure(choice, failure, gateway.Step{Do: gateway.Refuse}, err)
			x.refuse(gateway.CrashesUpstreams(true))
			return
		}
		step := gateway.Next(now, x.admission, x.progress, failure, x.spend)
		x.logFailure(choice, failure, step, err)
		switch step.Do {
		case gateway.Retry:
			next = x.pick
			if x.progress.ResponseStarted {
				x.server.metrics.resumes.Inc()
			}
		case gateway.Continue:
			next = x.fromBackup
			x.server.metrics.continues.Inc()
		case gateway.Relay:
			x.relayError()
			return
		case gateway.Refuse:
			x.end(step.Refusal)
			return
		case gateway.Abort:
			x.cut(failure)
		}
	}
}
