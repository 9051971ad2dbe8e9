package gatewayd

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/balance"
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
	if x.progress.Answering {
		x.cut(gateway.Lost)
	}
	x.refuse(refusal)
}

// refuse answers in the gateway's own name.
func (x *request) refuse(refusal *gateway.Refusal) {
	h := x.w.Header()
	for name, values := range platform.RefusalHeader(x.call.ID, refusal.ComeBack) {
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
	x.logEnd("refused", refusal)
}

// cut closes the caller's connection, so that a part never passes for the
// whole.
func (x *request) cut(f gateway.Failure) {
	x.logEnd("cut_"+f.String(), nil)
	panic(http.ErrAbortHandler)
}

func (x *request) completed() {
	x.logEnd("completed", nil)
}

func (x *request) logPick(c balance.Choice) {
	x.log().
		Int("attempt", len(x.tried)).
		Str("route", x.admission.Route.Name).
		Str("upstream", c.ID).
		Float64("cost_ms", c.Cost).
		Float64("in_flight", c.InFlight).
		Int("unread", c.Unread).
		Dur("load_age", c.LoadAge).
		Int("candidates", c.Candidates).
		Int("tight", c.Tight).
		Int("urgency", x.admission.Urgency).
		Int64("version", x.admission.Version).
		Dur("view_age", x.admission.Age).
		Msg("picked")
}

func (x *request) logFailure(c balance.Choice, f gateway.Failure, step gateway.Step, err error) {
	x.log().
		Int("attempt", len(x.tried)).
		Str("upstream", c.ID).
		Stringer("failure", f).
		Bool("again", step.Do == gateway.Again).
		Int("events", x.events).
		Dur("left", time.Until(x.admission.Deadline)).
		AnErr("cause", err).
		Msg("attempt failed")
}

// logEnd writes the last line of a request and counts it.
func (x *request) logEnd(result string, refusal *gateway.Refusal) {
	kind := "none"
	took := time.Since(x.began)
	if route := x.admission.Route; route != nil {
		kind = route.Kind.String()
		if result == "completed" {
			observe(x.server.metrics.firstByte, kind, x.firstByte)
			observe(x.server.metrics.completion, kind, took)
			if x.firstByte <= route.Target {
				x.server.metrics.inTime.WithLabelValues(kind).Inc()
			}
		}
	}
	x.server.metrics.requests.WithLabelValues(kind, result).Inc()
	line := x.log().
		Str("result", result).
		Dur("first", x.firstByte).
		Dur("took", took).
		Int("events", x.events).
		Int("sent", x.progress.Sent)
	if refusal != nil {
		line = line.Str("reason", string(refusal.Reason)).
			Int("status", statusOf(refusal.Kind)).
			Bool("not_run", refusal.NotRun).
			Dur("come_back", refusal.ComeBack).
			Int64("version", x.admission.Version).
			Dur("view_age", x.admission.Age)
	}
	line.Msg("ended")
}
