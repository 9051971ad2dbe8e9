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

// callTick is how often a request in progress checks the time.
const callTick = 200 * time.Millisecond

// offerTimeout is how long an agent may take for its first answer.
const offerTimeout = time.Second

// call is one request in progress. Its goroutine alone writes to the caller.
type call struct {
	s         *Server
	id        string
	call      entry.Call
	key       string
	run       *gladegaugev1.Run
	out       responder
	arrived   time.Time
	ticket    *entry.AdmittedRequest
	attempts  []*attempt
	events    chan attemptEvent
	streams   errgroup.Group
	first     time.Time
	completed time.Time
	claimedBy string
	bound     string
	outcome   dispatch.Outcome
	// status is that of the upstream's answer.
	status int
	// claimedAt is when the latest run began.
	claimedAt time.Time
	// print is the zero value until it is asked for.
	print suspect.Print
	// verdict is what was known of the request when it came; harmful is true once that
	// is enough to block it.
	verdict suspect.Verdict
	harmful bool
}

// responder writes the answer to the caller.
type responder interface {
	// head takes the status and headers of the answer.
	head(h *gladegaugev1.Head) error
	// chunk takes a piece of the answer.
	chunk(data []byte) error
	// end finishes a complete answer.
	end() error
	// problem answers with an error, or cuts the answer off if it has begun.
	problem(p *problem) error
}

func newID() string {
	const size = 10
	b := make([]byte, size)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// serve carries the request to its outcome and answers the caller.
func (x *call) serve(ctx context.Context) error {
	var effects []dispatch.Effect
	var refusal *problem
	x.s.loop.Must(func(now time.Time) {
		x.arrived = now
		effects, refusal = x.begin(now)
	})
	if refusal != nil {
		x.outcome = dispatch.Outcome{Result: dispatch.NotRun}
		x.account()
		return x.out.problem(refusal)
	}
	x.events = make(chan attemptEvent)
	streamCtx, cancel := context.WithCancel(ctx)
	err := x.work(ctx, streamCtx, effects)
	cancel()
	x.drainStreams()
	x.account()
	if errors.Is(err, errCut) {
		panic(http.ErrAbortHandler)
	}
	return err
}

// begin takes the request in, or tells why not. It runs in the control loop.
func (x *call) begin(now time.Time) ([]dispatch.Effect, *problem) {
	if p := x.enter(now); p != nil {
		return nil, p
	}
	ticket, rejection := x.s.entry.Admit(now, x.call)
	if rejection != nil {
		return nil, rejectionProblem(rejection)
	}
	x.ticket = ticket
	if x.verdict == suspect.Quarantined {
		ticket.DisableResumes()
	}
	return ticket.Start(now), nil
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

// work runs until the request has its outcome.
func (x *call) work(ctx, streamCtx context.Context, effects []dispatch.Effect) error {
	ticker := time.NewTicker(callTick)
	defer ticker.Stop()
	if finished, err := x.carryOut(streamCtx, effects); finished {
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
			effects = x.ticket.CallerDisconnected()
		}
		if err != nil {
			// The caller cannot be written to any more.
			effects = x.ticket.CallerDisconnected()
		}
		if finished, err := x.carryOut(streamCtx, effects); finished {
			return err
		}
	}
}

func (x *call) tick() []dispatch.Effect {
	var effects []dispatch.Effect
	x.s.loop.Must(func(now time.Time) {
		effects = x.ticket.Tick(now)
		for n, a := range x.attempts {
			if !a.settled && now.Sub(a.since) > offerTimeout {
				x.settle(now, a, true)
				a.cancel()
				effects = append(effects, x.ticket.AttemptLost(now, n, false)...)
			}
		}
	})
	return effects
}

// carryOut carries out effects. It reports true with the request's end.
func (x *call) carryOut(ctx context.Context, effects []dispatch.Effect) (bool, error) {
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

// finish answers the caller.
func (x *call) finish(o dispatch.Outcome) error {
	x.outcome = o
	switch o.Result {
	case dispatch.Completed:
		x.completed = x.s.now()
		return x.out.end()
	case dispatch.Abandoned:
		return nil
	case dispatch.NotRun, dispatch.Unknown, dispatch.Incomplete, dispatch.AlreadyRun:
	}
	if x.harmful {
		return x.out.problem(endsUpstreams(true))
	}
	return x.out.problem(problemOf(o))
}
