package gatewayd

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/gateway"
	"github.com/gladegauge/gladegauge/internal/core/rollout"
	"github.com/gladegauge/gladegauge/internal/core/stream"
	"github.com/gladegauge/gladegauge/internal/core/suspect"
	"github.com/gladegauge/gladegauge/internal/edge/suspects"
)

// Results of requests in log lines and metrics.
const (
	completed     = "completed"
	refused       = "refused"
	upstreamError = "upstream_error"
	// abortedPrefix is followed by the name of the failure.
	abortedPrefix = "cut_"
)

// log starts a log line about this request.
func (x *request) log() *zerolog.Event {
	return x.server.log.Info().Str("request", x.call.ID)
}

// logPick logs why the upstream was picked.
func (x *request) logPick(c balance.Choice) {
	line := x.logChoice(c).
		Int("attempt", len(x.tried)).
		Float64("cost_ms", c.Cost).
		Float64("connect_ms", c.ConnectCost).
		Float64("in_flight", c.InFlight).
		Int("unread", c.Unread).
		Str("fetch_from", c.FetchFrom).
		Str("backup", c.Backup.ID).
		Bool("continues", x.continuing).
		Str("software", c.Version).
		Bool("cold", c.Cold).
		Bool("turn", c.Turn).
		Bool("lent", c.Borrowed).
		Bool("trial", c.Trial).
		Bool("alone", x.progress.Suspect).
		Int("urgency", x.admission.Urgency).
		Int64("version", x.admission.Version).
		Dur("view_age", x.admission.Age)
	if c.LoadAge >= 0 {
		line = line.Dur("load_age", c.LoadAge)
	}
	if c.Pace > 0 {
		line = line.Float64("pace", c.Pace)
	}
	line.Msg("picked")
}

// logResume logs that the caller resumes a stream that broke off earlier, and how its version
// became known.
func (x *request) logResume(k stream.Known) {
	x.log().
		Str("resumes", x.call.Resumes).
		Str("last_event", x.call.LastEvent).
		Str("route", x.admission.Route.Name).
		Str("known", string(k.Source)).
		Str("version_key", fmt.Sprintf("%08x", uint32(k.Version))).
		Bool("single", k.Pool.Kind == rollout.Single).
		Msg("caller resumes a stream")
}

// logChoice starts a log line about a choice, with the data that it is based on.
func (x *request) logChoice(c balance.Choice) *zerolog.Event {
	line := x.log().
		Str("route", x.admission.Route.Name).
		Str("upstream", c.ID).
		Float64("wait_ms", c.Wait).
		Int("candidates", c.Candidates)
	if c.PeerLoadAge >= 0 {
		line = line.Dur("told_age", c.PeerLoadAge)
	}
	return line
}

// logBusy logs that the request was shed because its wait, even at the best upstream, would be
// too long.
func (x *request) logBusy(c balance.Choice) {
	x.logChoice(c).
		Dur("target", x.admission.Route.Target).
		Bool("standing", c.Standing).
		Str("organisation", x.organisation()).
		Dur("come_back", c.RetryAfter).
		Msg("pool is too busy")
}

// logFailure logs how an attempt failed and whether another one follows.
func (x *request) logFailure(c balance.Choice, f gateway.Failure, step gateway.Step, err error) {
	line := x.log()
	if f == gateway.Lost {
		// The request may have crashed the upstream. The fingerprint shows whether the same
		// request was present at other crashes under another request ID.
		line = line.Stringer("print", x.fingerprint()).Strs("parts", partNames(x.call.Prompt)).Dur("since_head", x.sinceHead())
	}
	line.
		Int("attempt", len(x.tried)).
		Str("upstream", c.ID).
		Str("software", c.Version).
		Stringer("failure", f).
		Bool("again", step.Do == gateway.Retry || step.Do == gateway.Continue).
		Int("events", x.events).
		Dur("left", x.remaining()).
		AnErr("cause", err).
		Msg("attempt failed")
}

// logInvalidEvent logs bytes in the stream of an attempt that no run of the request made, if the
// attempt ended with them, and where they came: the framing tells a second response behind a
// stream that ends with its connection from bytes inside the stream.
func (x *request) logInvalidEvent(a response, err error) {
	var e *invalidEventError
	if !errors.As(err, &e) {
		return
	}
	x.server.metrics.invalidEvents.WithLabelValues(string(e.fault)).Inc()
	x.log().
		Int("attempt", len(x.tried)).
		Str("upstream", a.choice.ID).
		Str("reason", string(e.fault)).
		Str("framing", framing(a)).
		Int("events", x.events).
		Str("last_event", x.lastEventID[:min(len(x.lastEventID), maxLoggedEventBytes)]).
		Int("size", e.size).
		Str("bytes", strconv.QuoteToASCII(e.head)).
		Msg("event of no run")
}

// framing names what ends the body of a response.
func framing(a response) string {
	switch {
	case a.EndsWithConnection():
		return "connection"
	case a.ContentLength >= 0:
		return "length"
	default:
		return "chunks"
	}
}

// sinceHead returns the time since the response header of the current attempt arrived; 0 if
// it has not arrived.
func (x *request) sinceHead() time.Duration {
	if x.headAt.IsZero() {
		return 0
	}
	return x.server.now().Sub(x.headAt)
}

// logEnd logs the result of a request and updates the metrics.
func (x *request) logEnd(result string, refusal *gateway.Refusal) {
	kind := "none"
	elapsed := x.server.now().Sub(x.startedAt)
	if route := x.admission.Route; route != nil {
		kind = route.Kind.String()
		if result == completed {
			observe(x.server.metrics.firstByte, kind, x.firstByte)
			observe(x.server.metrics.completion, kind, elapsed)
			if x.firstByte <= route.Target {
				x.server.metrics.inTime.WithLabelValues(kind).Inc()
			}
		}
	}
	x.server.metrics.requests.WithLabelValues(kind, result).Inc()
	line := x.log().
		Str("result", result).
		Dur("first", x.firstByte).
		Dur("took", elapsed).
		Dur("longest_gap", x.longestGap).
		Int("events", x.events).
		Int("sent", x.progress.Sent)
	if rest := x.body.rest; rest != nil {
		line = line.Int64("body_length", x.body.length).
			Int64("body_read", x.body.read()).
			Int64("body_read_at_head", x.bodyReadAtHead).
			Str("body_end", rest.state())
	}
	if x.unframed {
		line = line.Str("connection_end", string(x.connectionEnd)).AnErr("write_error", x.writeError)
	}
	if x.duplicateEvents > 0 {
		line = line.Int("repeated", x.duplicateEvents)
	}
	if refusal != nil && refusal.Kind == gateway.Harmful {
		cause := x.judgement.Print
		if x.cause != (suspect.Print{}) {
			cause = x.cause
		}
		line = line.Stringer("print", x.fingerprint()).Stringer("cause", cause).
			Str("part", suspects.PartName(x.suspectRequest(), partNames(x.call.Prompt), cause))
	}
	if refusal != nil {
		line = line.Str("reason", string(refusal.Reason)).
			Int("status", statusOf(refusal.Kind)).
			Bool("not_run", refusal.NotRun).
			Dur("come_back", refusal.RetryAfter).
			Int64("version", x.admission.Version).
			Dur("view_age", x.admission.Age)
	}
	line.Msg("ended")
}
