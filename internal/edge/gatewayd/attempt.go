package gatewayd

import (
	"context"
	"net/http"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/gateway"
	"github.com/gladegauge/gladegauge/internal/edge/exchange"
	"github.com/gladegauge/gladegauge/internal/edge/suspects"
	"github.com/gladegauge/gladegauge/platform"
)

// attempt sends the request to one upstream. It returns None once the caller has the whole
// response.
func (x *request) attempt(ctx context.Context, choice balance.Choice) (gateway.Failure, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x.loadRecorded = false
	x.succeeded, x.processed = false, false
	x.sentAt = x.server.now()
	x.headAt = time.Time{}
	x.firstEventAt = time.Time{}
	x.unframed, x.connectionEnd, x.writeError = false, "", nil
	x.timeouts = x.newTimeouts(choice, cancel)
	defer x.timeouts.stop()
	got, err := x.server.client.Do(ctx, exchange.Call{
		Address:    choice.Address,
		Request:    x.upstreamRequest(choice, x.sentAt),
		Matches:    x.owns,
		OnResponse: func(r *http.Response) { x.handleNotice(choice, r) },
		Permitted:  func() bool { return x.maySend(choice) },
	})
	if err != nil {
		failure := x.failureOf(ctx, err)
		x.finishAttempt(choice, outcomeOf(failure, err), nil)
		return failure, err
	}
	x.headAt = x.server.now()
	x.unframed = got.EndsWithConnection()
	a := response{Answer: got, choice: choice, head: platform.DecodeAnswer(got.StatusCode, got.Header)}
	if a.head.InvalidPace {
		x.server.metrics.invalidPaces.Inc()
	}
	failure, err := x.handleResponse(ctx, a)
	x.connectionEnd, x.writeError = got.ConnectionEnd(), got.WriteError()
	early := failure == gateway.None && !a.RequestWritten()
	if !early {
		endExchange(a, failure)
	}
	load := a.head.Load
	if x.loadRecorded {
		// The load was recorded when the response started, and is out of date by now.
		load = nil
	}
	x.finishAttempt(choice, outcomeOfResponse(failure, err, a.StatusCode), load)
	if early {
		x.passOnRest(ctx, a)
	}
	return failure, err
}

// endExchange ends the exchange with the upstream. Its connection is kept if the response can
// be used or proves that the upstream is sound.
func endExchange(a response, failure gateway.Failure) {
	switch failure {
	case gateway.None, gateway.Faulty, gateway.NotRun, gateway.Replaced:
		a.Close()
	default:
		a.Abort()
	}
}

// streamEndGrace is the time by which the end of a stream may be delayed for the rest of the
// request's body. Its events are not delayed.
const streamEndGrace = 100 * time.Millisecond

// passOnRest passes on the rest of a body to an upstream that has responded before it has read
// it, once the caller has the whole response. A response without length ends only when the
// handler returns, and must not wait: the request to the upstream is then soon broken off.
func (x *request) passOnRest(ctx context.Context, a response) {
	defer a.Close()
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return
	}
	if !x.responseHasLength() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, streamEndGrace)
		defer cancel()
	}
	a.AwaitRequest(ctx)
}

// maySend is checked immediately before the first byte is written. While the connection was
// being established, the deadline may have passed if the host was suspended, the request may
// have been blocked, or the upstream may have announced to other requests that it is leaving,
// that gateways should back off, or a rate limit under which this request has no turn.
func (x *request) maySend(choice balance.Choice) bool {
	if x.remaining() <= 0 || (x.needsCheck() && x.blocked()) {
		return false
	}
	closed := *x.server.closed.Load()
	if len(closed) == 0 {
		return true
	}
	now := x.server.now()
	return !closed.Has(now, choice.IncarnationKey()) && (choice.Turn || !closed.Limited(now, choice.IncarnationKey()))
}

// releaseChoice reverts a choice to which nothing was sent.
func (x *request) releaseChoice(choice balance.Choice) {
	x.server.control.DoWithoutCancel(func(now time.Time) {
		x.server.table.Ended(now, choice, balance.Abandoned, balance.Answer{})
	})
}

// owns reports whether a response belongs to this request: upstreams return its ID in each. On a
// new connection a response without ID is that of a server which is no upstream, and taken for it;
// on others it may be an extra response of an earlier request.
func (x *request) owns(r *http.Response, first bool) bool {
	id := platform.DecodeAnswer(r.StatusCode, r.Header).ID
	return x.call.ID == "" || id == x.call.ID || (id == "" && first)
}

// finishAttempt records the outcome of the attempt in the control loop.
func (x *request) finishAttempt(choice balance.Choice, o balance.Outcome, load *balance.Load) {
	tokens := 0
	if p, ok := x.view.Table.Pool(x.admission.Pool); ok && p.Engine != nil {
		tokens = x.events * p.Engine.EventTokens
	}
	x.server.metrics.attempt(choice, o)
	survived := x.survived(o)
	var answered suspects.Failure
	if survived && x.unframed {
		answered = x.failedAt(choice)
		answered.Answered = true
	}
	if survived {
		// Computed here because hashing takes several microseconds, which would block the
		// control loop.
		x.suspectRequest()
	}
	x.server.control.DoWithoutCancel(func(now time.Time) {
		if o == balance.Dead || o == balance.Replaced {
			x.server.recordUpstreamEnd(now, choice.Instance, o)
		}
		switch {
		case answered.Answered:
			answered.At = now
			x.server.addLost(answered)
		case survived:
			x.server.suspects.ReportSuccess(now, x.provenSound(), now.Sub(x.sentAt), x.call.ID)
		}
		x.server.table.Ended(now, choice, o, balance.Answer{Tokens: tokens, LongestGap: x.longestGap, Load: load})
		if load != nil {
			x.server.table.SetLoad(now, choice.ID, *load)
		}
		x.server.release(now, x.admission.Pool)
	})
}

// responseStarted records the arrival of the first event of a stream, or of the header of an
// error, and ends the timeout for the response.
func (x *request) responseStarted(a response) {
	x.timeouts.responseStarted()
	x.recordResponse(a)
}

// recordResponse records the arrival of the first event of a stream, or of the header of any
// other response.
func (x *request) recordResponse(a response) {
	x.loadRecorded = true
	x.server.control.DoWithoutCancel(func(now time.Time) {
		x.server.table.ResponseStarted(now, a.choice)
		if a.head.Load != nil {
			x.server.table.SetLoad(now, a.choice.ID, *a.head.Load)
			if isSuccess(a.StatusCode) && x.isPlainCall() {
				x.server.table.ServiceAnswered(now, a.choice, *a.head.Load)
			}
		}
	})
}
