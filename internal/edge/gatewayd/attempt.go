package gatewayd

import (
	"bytes"
	"context"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/gateway"
	"github.com/gladegauge/gladegauge/internal/edge/exchange"
	"github.com/gladegauge/gladegauge/platform"
)

const (
	// holdBytes is the largest answer that is read whole before its head goes
	// to the caller, so that a broken one can still be replaced.
	holdBytes = 64 << 10
	// patienceShare is the part of the target after which an upstream that
	// says nothing is given up for another one, where the request may repeat.
	patienceShare = 0.6
	// streamPatience is the least time for the first event of a stream: long
	// prompts and full batches are slow without being broken.
	streamPatience = time.Second
)

// errSilent ends an attempt at an upstream that says nothing.
var errSilent = errors.New("the upstream says nothing")

// errorAnswer is an upstream's own error, read whole.
type errorAnswer struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to one upstream. It returns 0 when the caller has
// the whole answer.
func (x *request) attempt(ctx context.Context, choice balance.Choice) (gateway.Failure, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if d, ok := x.patience(); ok {
		t := time.AfterFunc(d, func() { cancel(errSilent) })
		defer t.Stop()
		x.onFirst = func() { t.Stop() }
	} else {
		x.onFirst = func() {}
	}
	a, err := x.server.client.Do(ctx, choice.Address, x.upstreamRequest(choice, time.Now()), x.owns)
	if err != nil {
		failure := x.failureOf(ctx, err)
		x.settle(choice, outcomeOf(failure), nil)
		return failure, err
	}
	head := platform.DecodeAnswer(a.StatusCode, a.Header)
	failure, err := x.take(ctx, choice, a, head)
	if failure == 0 || failure == gateway.Faulty || failure == gateway.NotRun {
		a.Close()
	} else {
		a.Abort()
	}
	x.settle(choice, outcomeOf(failure), head.Load)
	return failure, err
}

// patience is how long the upstream may say nothing before another one gets
// the request.
func (x *request) patience() (time.Duration, bool) {
	route := x.admission.Route
	if !route.MayRepeat() || !x.progress.Replayable || x.progress.Sent+1 >= route.MaxAttempts || route.Target == 0 {
		return 0, false
	}
	d := time.Duration(patienceShare * float64(route.Target))
	if x.call.Prompt.Tokens > 0 {
		d = max(2*route.Target, streamPatience)
	}
	return d, true
}

// owns reports whether an answer belongs to this request. Refusals may lack
// the identity.
func (x *request) owns(r *http.Response) bool {
	a := platform.DecodeAnswer(r.StatusCode, r.Header)
	return x.call.ID == "" || a.ID == x.call.ID || (a.ID == "" && !a.Sealed)
}

// failureOf tells what an error of the exchange means.
func (x *request) failureOf(ctx context.Context, err error) gateway.Failure {
	var unsent *exchange.UnsentError
	switch {
	case x.r.Context().Err() != nil:
		return gateway.CallerGone
	case errors.As(err, &unsent):
		return gateway.Unsent
	case errors.Is(context.Cause(ctx), errSilent):
		return gateway.Silent
	default:
		return gateway.Lost
	}
}

func outcomeOf(f gateway.Failure) balance.Outcome {
	switch f {
	case gateway.Unsent:
		return balance.Unreachable
	case gateway.NotRun:
		return balance.Refused
	case gateway.Faulty:
		return balance.Faulty
	case gateway.Lost, gateway.Silent:
		return balance.Broken
	case gateway.CallerGone:
		return balance.Abandoned
	default:
		return balance.Completed
	}
}

// settle tells the control goroutine what became of the attempt.
func (x *request) settle(choice balance.Choice, o balance.Outcome, load *balance.Load) {
	tokens := 0
	if p, ok := x.server.view.Load().Table.Pool(x.admission.Pool); ok && p.Engine != nil {
		tokens = x.events * p.Engine.EventTokens
	}
	x.server.metrics.attempts.WithLabelValues(o.String()).Inc()
	x.server.control.Must(func(now time.Time) {
		x.server.table.Ended(now, choice, o, tokens)
		if load != nil {
			x.server.table.Reported(now, choice.ID, *load)
		}
	})
}

// first notes the first event of a stream, or the head of another answer.
func (x *request) first(choice balance.Choice, load *balance.Load) {
	x.onFirst()
	if x.firstByte == 0 {
		x.firstByte = time.Since(x.began)
	}
	x.server.control.Must(func(now time.Time) {
		x.server.table.Began(now, choice)
		if load != nil {
			x.server.table.Reported(now, choice.ID, *load)
		}
	})
}

// take passes an answer on, or tells why it cannot be used.
func (x *request) take(ctx context.Context, choice balance.Choice, a *exchange.Answer, head platform.Answer) (gateway.Failure, error) {
	switch {
	case head.NotRun:
		return gateway.NotRun, errors.Newf("refused with %s", a.Status)
	case isSuccess(a.StatusCode) && !head.Sealed:
		return gateway.Lost, errors.Newf("%s without a seal", a.Status)
	case promisesNotRun(a.StatusCode):
		return gateway.Lost, errors.Newf("%s without the promise that it did not run", a.Status)
	case isSuccess(a.StatusCode) && isStream(a.Header):
		return x.relayStream(ctx, choice, a, head)
	case x.progress.Answering:
		return gateway.Lost, errors.Newf("%s instead of the rest of a stream", a.Status)
	case a.StatusCode >= http.StatusInternalServerError:
		return x.keepError(ctx, choice, a, head)
	default:
		return x.relayWhole(ctx, choice, a, head)
	}
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// promisesNotRun reports whether callers read the status as a promise that the
// request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

func isStream(h http.Header) bool {
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// keepError reads an upstream's own error; another attempt may replace it.
func (x *request) keepError(ctx context.Context, choice balance.Choice, a *exchange.Answer, head platform.Answer) (gateway.Failure, error) {
	x.first(choice, head.Load)
	data, err := io.ReadAll(io.LimitReader(a, holdBytes+1))
	if err != nil || len(data) > holdBytes {
		return x.failureOf(ctx, errors.Newf("%s with a body that could not be kept: %v", a.Status, err)), err
	}
	x.faulty = &errorAnswer{status: a.StatusCode, header: a.Header, body: data}
	return gateway.Faulty, errors.Newf("the upstream answered %s", a.Status)
}

// relayWhole passes on an answer that is no stream. A small one is read whole
// first.
func (x *request) relayWhole(ctx context.Context, choice balance.Choice, a *exchange.Answer, head platform.Answer) (gateway.Failure, error) {
	x.first(choice, head.Load)
	data, err := io.ReadAll(io.LimitReader(a, holdBytes+1))
	if err != nil {
		return x.failureOf(ctx, err), errors.Wrap(err, "body cut short")
	}
	x.commit(a.StatusCode, a.Header, a.ContentLength)
	if _, err := x.w.Write(data); err != nil {
		return gateway.CallerGone, errors.WithStack(err)
	}
	if len(data) <= holdBytes {
		return 0, nil
	}
	if _, err := io.Copy(x.w, a); err != nil {
		return x.failureOf(ctx, err), errors.Wrap(err, "body cut short")
	}
	return 0, nil
}

// commit sends the head of the answer to the caller.
func (x *request) commit(status int, upstream http.Header, length int64) {
	h := x.w.Header()
	closing := h.Get("Connection")
	for name, values := range platform.CallerHeader(upstream) {
		h[name] = values
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
	if length < 0 {
		h.Del("Content-Length")
	}
	if _, ok := h["Content-Type"]; !ok {
		// Keeps the HTTP library from guessing one.
		h["Content-Type"] = nil
	}
	x.progress.Answering = true
	x.w.WriteHeader(status)
}

// relayError passes on the upstream's own error.
func (x *request) relayError() {
	x.commit(x.faulty.status, x.faulty.header, int64(len(x.faulty.body)))
	if _, err := io.Copy(x.w, bytes.NewReader(x.faulty.body)); err != nil {
		x.log().Err(err).Msg("caller left before the upstream's error went out")
	}
	x.logEnd("upstream_error", nil)
}
