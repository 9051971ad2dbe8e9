package gatewayd

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/gateway"
	"github.com/gladegauge/gladegauge/platform"
)

const (
	// keepBodyBytes is the largest body that is kept for another attempt.
	keepBodyBytes = 64 << 10
	// answerSlack is how long after its deadline a request is still held, so
	// that the upstream's own word on the deadline can come.
	answerSlack = 50 * time.Millisecond
	// writeSlack is how much longer a caller may take to read its answer.
	writeSlack = 2 * time.Second
)

// request is one caller's request on its way.
type request struct {
	server    *Server
	w         *echo.Response
	r         *http.Request
	call      platform.Call
	admission gateway.Admission
	progress  gateway.Progress
	body      body
	began     time.Time
	// tried are the upstreams that were picked.
	tried []string
	// lastEvent is the last event of a stream that went to the caller.
	lastEvent string
	events    int
	firstByte time.Duration
	// onFirst is called when the upstream of the present attempt answers.
	onFirst func()
	// faulty is an upstream's own error that may yet be passed on.
	faulty *errorAnswer
}

// body is the caller's body: the part that was kept, and what follows it.
type body struct {
	kept   []byte
	rest   io.Reader
	length int64
}

func (b body) reader() io.ReadCloser {
	if b.rest == nil {
		return io.NopCloser(bytes.NewReader(b.kept))
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.kept), b.rest))
}

// serve carries one request from its caller to an upstream and back.
func (s *Server) serve(c echo.Context) error {
	now := time.Now()
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.lastSeen.Store(now.UnixNano())
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
		if now.Sub(*stopping) > s.o.Stop.LastCallAfter {
			x.refuse(gateway.Stopping())
			return nil
		}
	}
	if refusal := x.admit(now); refusal != nil {
		x.refuse(refusal)
		return nil
	}
	_ = http.NewResponseController(x.w).SetWriteDeadline(x.admission.Deadline.Add(writeSlack))
	if refusal := x.readBody(); refusal != nil {
		x.refuse(refusal)
		return nil
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.admission.Deadline.Add(answerSlack))
	defer cancel()
	x.attempts(ctx)
	return nil
}

func (x *request) admit(now time.Time) *gateway.Refusal {
	host := x.r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	a, refusal := gateway.Admit(now, *x.server.view.Load(), gateway.Call{
		ID:       x.call.ID,
		Host:     host,
		Path:     x.r.URL.EscapedPath(),
		Key:      x.call.Key,
		Patience: x.call.Patience,
	}, *x.server.bounds.Load())
	x.admission = a
	return refusal
}

// readBody keeps a small body, so that it can be sent again.
func (x *request) readBody() *gateway.Refusal {
	x.progress.Replayable = true
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	limit := x.server.view.Load().Table.Limits.BodyBytes
	if limit > 0 {
		x.r.Body = http.MaxBytesReader(x.w, x.r.Body, limit)
	}
	if limit > 0 && x.r.ContentLength > limit {
		return gateway.Body(true)
	}
	x.body.length = x.r.ContentLength
	kept, err := io.ReadAll(io.LimitReader(x.r.Body, keepBodyBytes+1))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return gateway.Body(true)
	case err != nil:
		return gateway.Body(false)
	}
	x.body.kept = kept
	if len(kept) <= keepBodyBytes {
		x.body.length = int64(len(kept))
		return nil
	}
	x.body.rest = x.r.Body
	x.progress.Replayable = false
	return nil
}

// attempts tries upstreams until the request has its answer.
func (x *request) attempts(ctx context.Context) {
	for {
		choice, ok := x.pick()
		if !ok {
			x.end(gateway.NothingLeft(time.Now(), x.admission, x.progress))
			return
		}
		failure, err := x.attempt(ctx, choice)
		if failure == 0 {
			x.completed()
			return
		}
		now := time.Now()
		x.progress = x.progress.With(failure)
		step := gateway.Next(now, x.admission, x.progress, failure, x.server.spend)
		x.logFailure(choice, failure, step, err)
		switch step.Do {
		case gateway.Again:
			if x.progress.Answering {
				x.server.metrics.resumes.Inc()
			}
		case gateway.Relay:
			x.relayError()
			return
		case gateway.Refuse:
			x.end(step.Refusal)
			return
		case gateway.Cut:
			x.cut(failure)
		}
	}
}

// pick asks the control goroutine for an upstream.
func (x *request) pick() (balance.Choice, bool) {
	var choice balance.Choice
	var ok bool
	route := x.admission.Route
	x.server.control.Must(func(now time.Time) {
		if len(x.tried) == 0 {
			x.server.budget.Success()
		}
		choice, ok = x.server.table.Pick(now, balance.Request{
			Route:   route.Name,
			Pool:    x.admission.Pool,
			Pause:   route.PauseTarget,
			Target:  route.Target,
			Prompt:  x.call.Prompt,
			Exclude: x.tried,
			Hash:    uint64(x.began.UnixNano()),
		})
	})
	if ok {
		x.tried = append(x.tried, choice.ID)
		x.logPick(choice)
	}
	return choice, ok
}

// spend takes a retry from the budget.
func (s *Server) spend() bool {
	ok := false
	s.control.Must(func(time.Time) { ok = s.budget.Spend() })
	return ok
}

// upstreamRequest is the request as the upstream gets it.
func (x *request) upstreamRequest(choice balance.Choice, now time.Time) *http.Request {
	f := platform.Forward{
		Upstream:  choice.ID,
		Left:      x.admission.Deadline.Sub(now),
		Urgency:   x.admission.Urgency,
		LastEvent: x.lastEvent,
	}
	if x.admission.Organisation != nil {
		f.Organisation = x.admission.Organisation.Name
	}
	req := &http.Request{
		Method: x.r.Method,
		URL:    targetOf(x.r),
		Host:   x.r.Host,
		Header: platform.UpstreamHeader(x.r.Header, f),
	}
	if x.r.Body != nil && x.r.Body != http.NoBody {
		req.Body = x.body.reader()
		req.ContentLength = x.body.length
	}
	return req
}

// targetOf keeps the caller's path and query as they were written.
func targetOf(r *http.Request) *url.URL {
	if strings.HasPrefix(r.RequestURI, "/") && !strings.HasPrefix(r.RequestURI, "//") {
		return &url.URL{Opaque: r.RequestURI}
	}
	return r.URL
}

// log begins a line about this request.
func (x *request) log() *zerolog.Event {
	return x.server.log.Info().Str("request", x.call.ID)
}
