package gatewayd

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/gateway"
	"github.com/gladegauge/gladegauge/platform"
)

// statusOf returns the HTTP status of a refusal.
func statusOf(k gateway.Kind) int {
	switch k {
	case gateway.Unavailable:
		return http.StatusServiceUnavailable
	case gateway.NotFound:
		return http.StatusNotFound
	case gateway.Unauthorised:
		return http.StatusUnauthorized
	case gateway.Harmful, gateway.Malformed:
		// Common clients do not retry a request that got this status.
		return http.StatusBadRequest
	case gateway.TooLarge:
		return http.StatusRequestEntityTooLarge
	case gateway.TimedOutReading:
		return http.StatusRequestTimeout
	case gateway.TimedOut:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// refuseOrAbort responds with the refusal, or aborts a response that has already started and
// cannot be completed.
func (x *request) refuseOrAbort(refusal *gateway.Refusal) {
	if x.progress.ResponseStarted {
		x.abort(gateway.Lost)
	}
	if refusal.ForLackOfUpstream() {
		refusal = x.withRetryAfter(refusal)
	}
	x.refuse(refusal)
}

// refuseOrRelay responds with the refusal of another attempt. If the previous one got an error
// response from its upstream, that response is relayed instead: it tells the caller more.
func (x *request) refuseOrRelay(refusal *gateway.Refusal) {
	if x.lastError != nil && !x.progress.ResponseStarted {
		x.relayError()
		return
	}
	x.refuseOrAbort(refusal)
}

// withRetryAfter returns the refusal with the delay after which to retry, if all upstreams are
// backing off or have no turn under their rate limits.
func (x *request) withRetryAfter(refusal *gateway.Refusal) *gateway.Refusal {
	var delay time.Duration
	var limited bool
	x.server.control.DoWithoutCancel(func(now time.Time) {
		delay, limited = x.server.table.RetryAfter(now, x.balanceRequest())
	})
	if limited {
		return refusal.WithLimit(delay)
	}
	return refusal.WithBackoff(delay)
}

// refuse responds with a refusal of the gateway itself.
func (x *request) refuse(refusal *gateway.Refusal) {
	h := x.w.Header()
	for name, values := range platform.RefusalHeader(x.call.ID, refusal.RetryAfter) {
		h[name] = values
	}
	text := string(refusal.Reason) + "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	if !x.body.ended() && !x.mayDiscard() {
		h.Set("Connection", "close")
	}
	x.w.WriteHeader(statusOf(refusal.Kind))
	if _, err := x.w.Write([]byte(text)); err != nil {
		x.log().Err(err).Msg("caller disconnected before the refusal was written")
	}
	x.server.metrics.refusals.WithLabelValues(string(refusal.Reason)).Inc()
	x.logEnd(refused, refusal)
}

// abort closes the caller's connection, so that the caller cannot take a partial response for
// a complete one. It does not return.
func (x *request) abort(f gateway.Failure) {
	x.aborted = true
	x.logEnd(abortedPrefix+f.String(), nil)
	panic(http.ErrAbortHandler)
}
