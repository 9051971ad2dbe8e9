package gatewayd

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/eventstream"
	"github.com/gladegauge/gladegauge/internal/core/gateway"
	"github.com/gladegauge/gladegauge/internal/core/ingress"
	"github.com/gladegauge/gladegauge/internal/core/rollout"
	"github.com/gladegauge/gladegauge/internal/core/suspect"
	"github.com/gladegauge/gladegauge/internal/edge/clock"
	"github.com/gladegauge/gladegauge/internal/edge/socket"
	"github.com/gladegauge/gladegauge/platform"
)

const (
	// deadlineGrace is how long a request is kept open after its deadline, so that the
	// upstream's own timeout response can still arrive.
	deadlineGrace = 50 * time.Millisecond
	// writeGrace is how long after the deadline a caller may still read its response.
	writeGrace = 2 * time.Second
)

// request is the state of one caller's request.
type request struct {
	server *Server
	w      *echo.Response
	r      *http.Request
	call   platform.Call
	// view is the configuration that admitted the request; it applies until the request
	// ends.
	view      ingress.View
	admission gateway.Admission
	progress  gateway.Progress
	body      body
	startedAt time.Time
	// tried are the IDs of the upstreams picked so far.
	tried []string
	// backup is the engine that holds a backup of the run's KV cache; the zero value means
	// none.
	backup balance.Backup
	// continuing is true once the run is resumed from its backup.
	continuing bool
	// lastEventID is the ID of the last stream event sent to the caller.
	lastEventID string
	// version is the software version that began the stream; unstated until it has begun, or
	// if it is not known. mayLackVersion is true for a resumed stream whose pool may have
	// other versions only.
	version        rollout.Version
	mayLackVersion bool
	// events is the number of events sent to the caller, and delivered what is known of them.
	events    int
	delivered eventstream.Run
	// duplicateEvents is the number of events that were dropped because the caller already
	// had them.
	duplicateEvents int
	// bodyReadAtHead is the number of bytes of the body that had been read when the response
	// header was sent; 0 before that.
	bodyReadAtHead int64
	// firstByte is the time from the arrival of the request until the response header was
	// sent: with the first event of a stream, or with the header of any other response.
	firstByte time.Duration
	// longestGap is the longest time between two events received from the upstream.
	longestGap time.Duration
	// timeouts are those of the current attempt.
	timeouts *timeouts
	// loadRecorded is true once the load reported in the header of the current response
	// was recorded.
	loadRecorded bool
	// lastError is the latest error response of an upstream, which may still be relayed to
	// the caller.
	lastError *errorResponse
	// aborted is true once the caller's connection is to be closed in the middle of a response.
	aborted bool
	// sentAt is the time at which the current attempt began.
	sentAt time.Time
	// headAt is the time at which the response header of the current attempt arrived; zero
	// before that.
	headAt time.Time
	// print is the fingerprint of the request; the zero value until it is first needed.
	print suspect.Print
	// firstEventAt is the time at which the first event of the current attempt arrived;
	// zero before that.
	firstEventAt time.Time
	// parts are the fingerprints of the shared parts of its prompt; nil until first needed.
	parts []suspect.Print
	// judgement is the verdict on the request; a quarantined one is registered as running.
	// checkedAt is when it was last checked; zero before that.
	judgement suspect.Judgement
	checkedAt time.Time
	// cause is the fingerprint for which the request was blocked after it had run.
	cause suspect.Print
	// succeeded is true once the upstream answered the current attempt with success: when the whole
	// body of a stream has arrived, otherwise when the header is sent on.
	succeeded bool
	// processed is true once the upstream answered the current attempt with any status below 500 and
	// its seal, which it gives to requests that it has processed.
	processed bool
	// unframed is true if the answer of the current attempt has neither a length nor chunks, so
	// that it ends with its connection.
	unframed bool
	// connectionEnd is how the connection of an unframed answer ended, and writeError why the
	// request could not be written to it.
	connectionEnd socket.End
	writeError    error
}

// serve forwards one request to an upstream and the response back to the caller.
func (s *Server) serve(c echo.Context) error {
	now := s.now()
	s.lastRequestAt.Store(now.UnixNano())
	x := &request{
		server:    s,
		w:         c.Response(),
		r:         c.Request(),
		call:      platform.DecodeCall(c.Request().Header),
		body:      newBody(c.Request()),
		startedAt: now,
	}
	// Otherwise net/http would read and drop what is left of the body when the response header
	// is written, while the body is still passed on to the upstream.
	_ = http.NewResponseController(x.w).EnableFullDuplex()
	defer x.endBody()
	x.lastEventID = x.call.LastEvent
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
	x.setWriteDeadline()
	if refusal := x.readBody(); refusal != nil {
		x.refuse(refusal)
		return nil
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), x.remaining()+deadlineGrace)
	defer cancel()
	if refusal := x.checkSuspect(); refusal != nil {
		x.refuse(refusal)
		return nil
	}
	defer x.releaseSuspect()
	if refusal := x.prepareStream(ctx); refusal != nil {
		x.refuse(refusal)
		return nil
	}
	x.tryUpstreams(ctx)
	return nil
}

// admit checks the request against the configuration.
func (x *request) admit(now time.Time) *gateway.Refusal {
	x.view = *x.server.view.Load()
	a, refusal := gateway.Admit(now, x.view, gateway.Call{
		ID:            x.call.ID,
		Resumes:       x.call.Resumes,
		Host:          hostOf(x.r),
		Path:          x.r.URL.EscapedPath(),
		Key:           x.call.Key,
		CallerTimeout: x.call.CallerTimeout,
	}, *x.server.bounds.Load())
	x.admission = a
	return refusal
}

// hostOf returns the requested host, without a port.
func hostOf(r *http.Request) string {
	if h, _, err := net.SplitHostPort(r.Host); err == nil {
		return h
	}
	return r.Host
}

// remaining returns the time until the request's deadline.
func (x *request) remaining() time.Duration { return x.admission.Deadline.Sub(x.server.now()) }

// setWriteDeadline bounds the time for which the response is written. A request that has
// expired already still gets its refusal.
func (x *request) setWriteDeadline() {
	left := max(x.remaining(), 0) + writeGrace
	_ = http.NewResponseController(x.w).SetWriteDeadline(clock.Deadline(left))
}

// picker chooses an upstream for an attempt. It returns a refusal if the request may not be
// sent, and false if there is no upstream.
type picker func(context.Context) (balance.Choice, bool, *gateway.Refusal)

// choose returns the upstream for the next attempt, or why there is none.
func (x *request) choose(ctx context.Context, pick picker) (balance.Choice, *gateway.Refusal) {
	choice, ok, refusal := pick(ctx)
	switch {
	case refusal != nil:
		return choice, refusal
	case choice.RetryAfter > 0:
		x.logBusy(choice)
		return choice, gateway.Busy(choice.RetryAfter)
	case !ok:
		return choice, x.noUpstreamLeft()
	case x.remaining() <= 0:
		// The host was suspended since the choice; a request past its deadline is not sent.
		x.releaseChoice(choice)
		return choice, gateway.TooLate(x.progress)
	}
	if !x.needsCheck() {
		return choice, nil
	}
	refusal = x.checkSuspect()
	if refusal != nil {
		x.releaseChoice(choice)
	}
	return choice, refusal
}

// tryUpstreams makes attempts at upstreams until the request has a response.
func (x *request) tryUpstreams(ctx context.Context) {
	next := x.pick
	for {
		choice, refusal := x.choose(ctx, next)
		if refusal != nil {
			x.refuseOrRelay(refusal)
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
		x.checkVersion()
		if mayHaveCrashed(failure, err) && x.checkLost(ctx, choice) == suspect.Blocked && !x.progress.ResponseStarted {
			x.logFailure(choice, failure, gateway.Step{Do: gateway.Refuse}, err)
			x.refuse(gateway.CrashesUpstreams(true))
			return
		}
		step := gateway.Next(now, x.admission, x.progress, failure, x.spendRetry)
		x.logFailure(choice, failure, step, err)
		switch step.Do {
		case gateway.Retry:
			next = x.pick
			if x.progress.ResponseStarted {
				x.server.metrics.resumes.Inc()
			}
		case gateway.Continue:
			next = x.pickBackup
			x.server.metrics.continues.Inc()
		case gateway.Relay:
			x.relayError()
			return
		case gateway.Refuse:
			x.refuseOrAbort(step.Refusal)
			return
		case gateway.Abort:
			x.abort(failure)
		}
	}
}
