package entryd

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/internal/core/dispatch"
	"github.com/gladegauge/gladegauge/internal/core/entry"
	"github.com/gladegauge/gladegauge/internal/core/suspect"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// requestTickInterval is the interval at which a request in progress checks its timeouts.
const requestTickInterval = 200 * time.Millisecond

// offerTicks is the number of ticks within which an agent must first respond to an offer. Ticks
// that a stalled entry misses do not count: the response may be waiting to be read.
const offerTicks = int(time.Second / requestTickInterval)

// call is one request in progress. Only its own goroutine writes to the caller.
type call struct {
	s            *Server
	id           string
	call         entry.Call
	key          string
	run          *gladegaugev1.Run
	out          responder
	arrivedAt    time.Time
	admitted     *entry.AdmittedRequest
	attempts     []*attempt
	events       chan attemptEvent
	streams      errgroup.Group
	firstByte    time.Time
	completedAt  time.Time
	claimedAgent string
	keyIssuer    string
	outcome      dispatch.Outcome
	// status is the HTTP status of the upstream's response.
	status int
	// claimedAt is the time of the latest claim.
	claimedAt time.Time
	// print is the fingerprint of the request. It is computed on first use.
	print suspect.Print
	// judgement is the verdict on the request when it arrived. blockedDuringRun is true
	// once the upstream crashes during this call suffice to block the request.
	judgement        suspect.Judgement
	blockedDuringRun bool
}

// responder writes the response to the caller.
type responder interface {
	// head handles the status and headers of the response.
	head(h *gladegaugev1.Head) error
	// chunk handles a part of the response body.
	chunk(data []byte) error
	// end finishes a complete response.
	end() error
	// problem responds with an error, or aborts a response that has begun.
	problem(p *problem) error
}

func newID() string {
	const size = 10
	b := make([]byte, size)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// serve runs the request until it has an outcome, and responds to the caller.
func (x *call) serve(ctx context.Context) error {
	var effects []dispatch.Effect
	var refusal *problem
	x.s.loop.DoWithoutCancel(func(now time.Time) {
		x.arrivedAt = now
		effects, refusal = x.admit(now)
	})
	if refusal != nil {
		x.outcome = dispatch.Outcome{Result: dispatch.NotRun}
		x.recordOutcome()
		return x.out.problem(refusal)
	}
	x.events = make(chan attemptEvent)
	streamCtx, cancel := context.WithCancel(ctx)
	err := x.processEvents(ctx, streamCtx, effects)
	cancel()
	x.drainStreams()
	x.recordOutcome()
	if errors.Is(err, errTruncated) {
		panic(http.ErrAbortHandler)
	}
	return err
}

// admit admits the request, or returns the error to respond with. It runs in the control
// loop.
func (x *call) admit(now time.Time) ([]dispatch.Effect, *problem) {
	if p := x.checkSuspect(now); p != nil {
		return nil, p
	}
	admitted, rejection := x.s.entry.Admit(now, x.call)
	if rejection != nil {
		return nil, rejectionProblem(rejection)
	}
	x.admitted = admitted
	if x.judgement.Verdict == suspect.Quarantined {
		admitted.DisableResumes()
	}
	return admitted.Start(now), nil
}

func rejectionProblem(r *entry.Rejection) *problem {
	p := &problem{
		status:     http.StatusServiceUnavailable,
		code:       CodeOverloaded,
		message:    "There is no room for a request of this class now. It was not run.",
		notRun:     true,
		retryAfter: r.RetryAfter,
	}
	if r.Limited {
		p.status = http.StatusTooManyRequests
		p.code = CodeRateLimited
		p.message = "The organisation has used up its rate. The request was not run."
	}
	return p
}

// processEvents handles the request's events until it has an outcome.
func (x *call) processEvents(ctx, streamCtx context.Context, effects []dispatch.Effect) error {
	ticker := time.NewTicker(requestTickInterval)
	defer ticker.Stop()
	if finished, err := x.execute(streamCtx, effects); finished {
		return err
	}
	for {
		var effects []dispatch.Effect
		var err error
		select {
		case e := <-x.events:
			effects, err = x.onEvent(e)
		case <-ticker.C:
			effects = x.tick()
		case <-ctx.Done():
			effects = x.admitted.CallerDisconnected()
		}
		if err != nil {
			// The connection to the caller is broken.
			effects = x.admitted.CallerDisconnected()
		}
		if finished, err := x.execute(streamCtx, effects); finished {
			return err
		}
	}
}

func (x *call) tick() []dispatch.Effect {
	var effects []dispatch.Effect
	x.s.loop.DoWithoutCancel(func(now time.Time) {
		effects = x.admitted.Tick(now)
		for n, a := range x.attempts {
			if a.tickOverdue() {
				x.closeOffer(now, a, true)
				a.cancel()
				effects = append(effects, x.admitted.AttemptLost(now, n, false)...)
			}
		}
	})
	return effects
}

// execute executes effects. It returns true once the request has finished.
func (x *call) execute(ctx context.Context, effects []dispatch.Effect) (bool, error) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case dispatch.Offer:
			x.open(ctx, e)
		case dispatch.Claim:
			x.claim(e)
		case dispatch.Recount:
			x.recount(e)
		case dispatch.Withdraw:
			x.attempts[e.Attempt].cancel()
		case dispatch.Finish:
			return true, x.finish(e.Outcome)
		}
	}
	return false, nil
}

// finish responds to the caller according to the outcome.
func (x *call) finish(o dispatch.Outcome) error {
	x.outcome = o
	switch o.Result {
	case dispatch.Completed:
		x.completedAt = x.s.now()
		return x.out.end()
	case dispatch.Abandoned:
		return nil
	case dispatch.NotRun, dispatch.Unknown, dispatch.Incomplete, dispatch.AlreadyRun:
	}
	if x.blockedDuringRun {
		return x.out.problem(crashProblem(true))
	}
	return x.out.problem(outcomeProblem(o))
}
