package gatewayd

import (
	"bytes"
	"context"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/gateway"
	"github.com/gladegauge/gladegauge/internal/core/ingress"
	"github.com/gladegauge/gladegauge/internal/edge/exchange"
	"github.com/gladegauge/gladegauge/platform"
)

// maxBufferedBytes is the largest response that is read completely before its head is sent
// to the caller, so that another attempt can replace a broken one.
const maxBufferedBytes = 64 << 10

// errorBodyTime is the time in which the body of an upstream's error must be there. It follows its
// head at once; the time covers the retransmission of a lost packet.
const errorBodyTime = 300 * time.Millisecond

// response is the response of one upstream.
type response struct {
	*exchange.Answer
	choice balance.Choice
	head   platform.Answer
}

// errorResponse is an error that an upstream answered, with its whole body.
type errorResponse struct {
	status int
	header http.Header
	body   []byte
}

// handleResponse forwards a response, or returns why it cannot be used.
func (x *request) handleResponse(ctx context.Context, a response) (gateway.Failure, error) {
	switch {
	case x.isForeign(a):
		return gateway.Lost, errors.Newf("%s without the request's ID", a.Status)
	case a.head.Replaced:
		return gateway.Replaced, errors.Newf("refused with %s by another instance", a.Status)
	case a.head.NotRun:
		return gateway.NotRun, errors.Newf("refused with %s", a.Status)
	case isSuccess(a.StatusCode) && !a.head.Sealed:
		return gateway.Lost, errors.Newf("%s without a seal", a.Status)
	case impliesNotRun(a.StatusCode):
		return gateway.Lost, errors.Newf("%s without the promise that it did not run", a.Status)
	case isSuccess(a.StatusCode) && isStream(a.Header):
		return x.relayStream(ctx, a)
	case isSuccess(a.StatusCode) && x.asksForStream():
		return gateway.Lost, &unusableError{cause: errors.Newf("%s with %q in place of an event stream", a.Status, a.Header.Get("Content-Type"))}
	case x.progress.ResponseStarted:
		return gateway.Lost, errors.Newf("%s instead of the rest of a stream", a.Status)
	case a.StatusCode >= http.StatusInternalServerError:
		return x.bufferError(ctx, a)
	default:
		return x.relayWhole(ctx, a)
	}
}

// isForeign reports whether the response is one that no upstream gives: upstreams return the
// request's ID. A server at the address that is no upstream answers so, and its promise that the
// request did not run is worth nothing. Errors of the server's own may still lack the ID.
func (x *request) isForeign(a response) bool {
	own := a.StatusCode >= http.StatusInternalServerError && !a.head.Sealed && !a.head.NotRun
	return x.call.ID != "" && a.head.ID == "" && !own
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// impliesNotRun reports whether callers read the status as a promise that the request was
// not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// isStream reports whether the response is an event stream. Its parameters do not matter.
func isStream(h http.Header) bool {
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return (err == nil || errors.Is(err, mime.ErrInvalidMediaParameter)) && kind == "text/event-stream"
}

// asksForStream reports whether a response of any other type cannot be what the request asks for.
// The response to a HEAD request has no body.
func (x *request) asksForStream() bool {
	return x.admission.Route.Kind == ingress.Stream && x.r.Method != http.MethodHead
}

// bufferError reads an upstream's own error, which another attempt may replace.
func (x *request) bufferError(ctx context.Context, a response) (gateway.Failure, error) {
	x.responseStarted(a)
	a.SetReadTimeout(errorBodyTime)
	data, err := io.ReadAll(io.LimitReader(a, maxBufferedBytes+1))
	a.SetReadTimeout(0)
	if err == nil && len(data) > maxBufferedBytes {
		err = errors.Newf("more than %d bytes", maxBufferedBytes)
	}
	if err != nil {
		return x.failureOf(ctx, err), errors.Wrapf(err, "%s with a body that could not be kept", a.Status)
	}
	x.lastError = &errorResponse{status: a.StatusCode, header: a.Header, body: data}
	return gateway.Faulty, errors.Newf("the upstream answered %s", a.Status)
}

// relayWhole forwards a response that is not a stream. A small one is read completely
// first.
func (x *request) relayWhole(ctx context.Context, a response) (gateway.Failure, error) {
	x.recordResponse(a)
	data, err := io.ReadAll(io.LimitReader(a, maxBufferedBytes+1))
	// Until here nothing was sent to the caller, so that another upstream may still answer.
	x.timeouts.responseStarted()
	if err != nil {
		return x.failureOf(ctx, err), errors.Wrap(err, "body cut short")
	}
	x.succeeded = isSuccess(a.StatusCode)
	x.processed = a.head.Sealed
	// With a length, the caller has the whole response before the handler returns.
	length := a.ContentLength
	if length < 0 && len(data) <= maxBufferedBytes && x.r.Method != http.MethodHead {
		length = int64(len(data))
	}
	x.commit(a.StatusCode, a.Header, length)
	if _, err := x.w.Write(data); err != nil {
		return gateway.CallerGone, errors.WithStack(err)
	}
	if len(data) <= maxBufferedBytes {
		return gateway.None, nil
	}
	w := &callerWriter{Writer: x.w}
	_, err = io.Copy(w, a)
	switch {
	case w.failed:
		return gateway.CallerGone, errors.WithStack(err)
	case err != nil:
		return x.failureOf(ctx, err), errors.Wrap(err, "body cut short")
	}
	return gateway.None, nil
}

// callerWriter distinguishes write errors to the caller from read errors of the upstream.
type callerWriter struct {
	io.Writer
	failed bool
}

// Write writes to the caller.
func (w *callerWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.failed = w.failed || err != nil
	return n, err
}

// commit sends the head of the response to the caller. It may be resumed only if commitStream
// sends it.
func (x *request) commit(status int, upstream http.Header, length int64) {
	h := x.w.Header()
	connection := h.Get("Connection")
	for name, values := range platform.CallerHeader(upstream) {
		h[name] = values
	}
	if connection != "" {
		h.Set("Connection", connection)
	}
	if length < 0 {
		h.Del("Content-Length")
	} else {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if _, ok := h["Content-Type"]; !ok {
		// This keeps net/http from detecting a content type.
		h["Content-Type"] = nil
	}
	x.progress.ResponseStarted = true
	x.progress.Unresumable = true
	x.firstByte = x.server.now().Sub(x.startedAt)
	x.bodyReadAtHead = x.body.read()
	x.w.WriteHeader(status)
}

// relayError forwards the upstream's own error.
func (x *request) relayError() {
	x.commit(x.lastError.status, x.lastError.header, int64(len(x.lastError.body)))
	if _, err := io.Copy(x.w, bytes.NewReader(x.lastError.body)); err != nil {
		x.log().Err(err).Msg("caller disconnected before the upstream's error was sent")
	}
	x.logEnd(upstreamError, nil)
}
