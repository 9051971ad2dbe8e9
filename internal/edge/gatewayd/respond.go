package gatewayd

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/gateway"
	"github.com/gladegauge/gladegauge/platform"
)

// statusOf is the HTTP status of a refusal.
func statusOf(k gateway.Kind) int {
	switch k {
	case gateway.Unavailable:
		return http.StatusServiceUnavailable
	case gateway.NotFound:
		return http.StatusNotFound
	case gateway.Unauthorised:
		return http.StatusUnauthorized
	case gateway.Harmful:
		// Ordinary clients do not repeat what got this answer.
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

// end answers with a refusal, or cuts an answer that cannot be completed.
func (x *request) end(refusal *gateway.Refusal) {
	if x.progress.ResponseStarted {
		x.cut(gateway.Lost)
	}
	if refusal.ForLackOfUpstream() {
		refusal = x.withComeBack(refusal)
	}
	x.refuse(refusal)
}

// withComeBack tells the caller when to come back if all upstreams rest, or have no turn.
func (x *request) withComeBack(refusal *gateway.Refusal) *gateway.Refusal {
	var left time.Duration
	var limited bool
	x.server.control.DoWithoutCancel(func(now time.Time) {
		left, limited = x.server.table.RetryAfter(now, x.admission.Pool, uint64(x.began.UnixNano()))
	})
	if limited {
		return refusal.WithLimit(left)
	}
	return refusal.WithBackoff(left)
}

// refuse answers in the gateway's own name.
func (x *request) refuse(refusal *gateway.Refusal) {
	h := x.w.Header()
	for name, values := range platform.RefusalHeader(x.call.ID, refusal.RetryAfter) {
		h[name] = values
	}
	text := string(refusal.Reason) + "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	x.w.WriteHeader(statusOf(refusal.Kind))
	if _, err := x.w.Write([]byte(text)); err != nil {
		x.log().Err(err).Msg("caller left before the refusal went out")
	}
	x.server.metrics.refusals.WithLabelValues(string(refusal.Reason)).Inc()
	x.logEnd(refused, refusal)
}

// cut closes the caller's connection, so that a part never passes for the
// whole. It does not return.
func (x *request) cut(f gateway.Failure) {
	x.logEnd(cutBecause+f.String(), nil)
	panic(http.ErrAbortHandler)
}
