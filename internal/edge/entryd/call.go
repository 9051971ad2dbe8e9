package entryd

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/internal/core/burn"
	"github.com/gladegauge/gladegauge/internal/core/dispatch"
	"github.com/gladegauge/gladegauge/internal/core/entry"
	"github.com/gladegauge/gladegauge/internal/edge/convert"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
	"github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1/gladegaugev1connect"
)

// callTick is how often a request in progress checks the time.
const callTick = 200 * time.Millisecond

// offerTimeout is how long an agent may take for its first answer.
const offerTimeout = time.Second

type attemptStream = connect.BidiStreamForClient[gladegaugev1.AttemptCommand, gladegaugev1.AttemptEvent]

// attempt is one attempt's stream to its agent.
type attempt struct {
	id      string
	agent   string
	address string
	stream  *attemptStream
	cancel  context.CancelFunc
	settled bool
	since   time.Time
}

// attemptEvent is what an attempt's stream brought; no event is its end.
type attemptEvent struct {
	n     int
	event *gladegaugev1.AttemptEvent
}

// call is one request in progress. Its goroutine alone writes to the caller.
type call struct {
	s          *Server
	id         string
	call       entry.Call
	key        string
	prompt     int
	run        *gladegaugev1.Run
	out        responder
	arrived    time.Time
	ticket     *entry.Ticket
	attempts   []*attempt
	events     chan attemptEvent
	streams    errgroup.Group
	first      time.Time
	completed  time.Time
	claimedBy  string
	bound      string
	resumed    bool
	outcome    dispatch.Outcome
	callerGone bool
	// status is that of the upstream's answer.
	status int
	// version is the configuration that the request came in under.
	version *gladegaugev1.Version
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
	var rejection *entry.Rejection
	x.s.loop.Must(func(now time.Time) {
		x.arrived = now
		x.ticket, rejection = x.s.entry.Admit(now, x.call)
		x.version = x.s.sync.Version()
		if rejection == nil {
			effects = x.ticket.Start(now)
		}
	})
	if rejection != nil {
		x.outcome = dispatch.Outcome{Result: dispatch.NotRun}
		x.account()
		return x.out.problem(rejectionProblem(rejection))
	}
	x.events = make(chan attemptEvent)
	streamCtx, cancel := context.WithCancel(ctx)
	err := x.work(ctx, streamCtx, effects)
	cancel()
	x.drainStreams()
	x.account()
	return err
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

// drainStreams lets the streams' goroutines end.
func (x *call) drainStreams() {
	done := make(chan struct{})
	var waiter errgroup.Group
	waiter.Go(func() error {
		defer close(done)
		return x.streams.Wait()
	})
	for {
		select {
		case <-x.events:
		case <-done:
			return
		}
	}
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
			effects = x.ticket.HungUp()
		}
		if err != nil {
			// The caller cannot be written to any more.
			x.callerGone = true
			effects = x.ticket.HungUp()
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
				effects = append(effects, x.ticket.Broken(now, n, false)...)
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

// open opens an attempt's stream and reads from it.
func (x *call) open(ctx context.Context, e dispatch.Offer) {
	ctx, cancel := context.WithCancel(ctx)
	client := gladegaugev1connect.NewAgentServiceClient(x.s.rpcHTTP, x.s.o.Keys.URL(e.Agent.Address))
	a := &attempt{
		id:      x.id + "/" + strconv.Itoa(e.Attempt),
		agent:   e.Agent.ID,
		address: e.Agent.Address,
		stream:  client.Attempt(ctx),
		cancel:  cancel,
		since:   time.Now(),
	}
	x.attempts = append(x.attempts, a)
	offer := &gladegaugev1.Offer{
		Attempt:        a.id,
		Incarnation:    x.bound,
		Class:          x.call.Class.Name,
		Organisation:   x.call.Organisation.Name,
		Weight:         x.call.Organisation.Weight,
		AgeMs:          convert.Milliseconds(time.Since(x.arrived)),
		Copies:         uint32(e.Copies),
		Prefix:         x.call.Prefix,
		PromptTokens:   uint32(x.prompt),
		IdempotencyKey: x.key,
		Version:        x.version,
	}
	n := e.Attempt
	x.streams.Go(func() error {
		err := a.stream.Send(&gladegaugev1.AttemptCommand{Command: &gladegaugev1.AttemptCommand_Offer{Offer: offer}})
		for err == nil {
			var event *gladegaugev1.AttemptEvent
			event, err = a.stream.Receive()
			if err == nil {
				x.events <- attemptEvent{n: n, event: event}
			}
		}
		x.events <- attemptEvent{n: n}
		_ = a.stream.CloseRequest()
		_ = a.stream.CloseResponse()
		return nil
	})
}

// claim starts the granted attempt. A claim that cannot be sent shows as the
// end of the stream.
func (x *call) claim(e dispatch.Claim) {
	a := x.attempts[e.Attempt]
	x.claimedBy = a.agent
	if e.Offset > 0 {
		x.resumed = true
		x.s.metrics.Resumes.Inc()
	}
	x.run.ResumeOffset = uint64(e.Offset)
	x.run.Incarnation = e.Incarnation
	_ = a.stream.Send(&gladegaugev1.AttemptCommand{Command: &gladegaugev1.AttemptCommand_Run{Run: x.run}})
}

// recount tells the agent of an open offer how many agents hold one now.
func (x *call) recount(e dispatch.Recount) {
	recount := &gladegaugev1.Recount{Copies: uint32(e.Copies)}
	_ = x.attempts[e.Attempt].stream.Send(&gladegaugev1.AttemptCommand{
		Command: &gladegaugev1.AttemptCommand_Recount{Recount: recount},
	})
}

// settle tells the entry that the attempt's offer has its first answer.
// It runs in the control loop.
func (x *call) settle(now time.Time, a *attempt, lost bool) {
	if a.settled {
		return
	}
	a.settled = true
	x.s.entry.Settled(a.agent)
	if lost {
		x.s.entry.Lost(now, a.agent)
		x.s.metrics.Attempts.WithLabelValues("unanswered").Inc()
	}
}

// settleAll ends the request in the entry's books. It runs in the control loop.
func (x *call) settleAll(now time.Time) {
	if x.ticket == nil {
		return
	}
	for _, a := range x.attempts {
		x.settle(now, a, false)
	}
	x.s.entry.Finished(now, x.ticket, x.claimedBy, x.outcome)
}

// onEvent takes what a stream brought. An error means that the caller cannot
// be written to.
func (x *call) onEvent(e attemptEvent) ([]dispatch.Effect, error) {
	a := x.attempts[e.n]
	if e.event == nil {
		return x.onLost(e.n, a), nil
	}
	switch ev := e.event.GetEvent().(type) {
	case *gladegaugev1.AttemptEvent_Head:
		return nil, x.onHead(e.n, ev.Head)
	case *gladegaugev1.AttemptEvent_Chunk:
		return nil, x.onChunk(e.n, ev.Chunk)
	default:
		return x.onControl(e.n, a, e.event), nil
	}
}

// onLost takes the end of a stream. After the attempt's own end it means
// nothing.
func (x *call) onLost(n int, a *attempt) []dispatch.Effect {
	var effects []dispatch.Effect
	x.s.loop.Must(func(now time.Time) {
		if effects = x.ticket.Broken(now, n, false); len(effects) > 0 {
			x.s.entry.Lost(now, a.agent)
			x.s.metrics.Attempts.WithLabelValues("lost").Inc()
		}
		x.settle(now, a, false)
	})
	return effects
}

// onControl takes an event that changes the request's state.
func (x *call) onControl(n int, a *attempt, event *gladegaugev1.AttemptEvent) []dispatch.Effect {
	var effects []dispatch.Effect
	x.s.loop.Must(func(now time.Time) {
		x.settle(now, a, false)
		x.hear(now, a, event)
		switch ev := event.GetEvent().(type) {
		case *gladegaugev1.AttemptEvent_Granted:
			x.s.metrics.Attempts.WithLabelValues("granted").Inc()
			effects = x.ticket.Granted(now, n, ev.Granted.GetIncarnation())
		case *gladegaugev1.AttemptEvent_Refused:
			x.s.metrics.Attempts.WithLabelValues("refused").Inc()
			effects = x.ticket.Refused(now, n, convert.Refusal(ev.Refused))
		case *gladegaugev1.AttemptEvent_Failed:
			effects = x.onFailed(now, n, a, ev.Failed)
		case *gladegaugev1.AttemptEvent_End:
			effects = x.onEnd(now, n, a, ev.End)
		}
	})
	return effects
}

// hear takes the load and version that ride on an event. It runs in the
// control loop.
func (x *call) hear(now time.Time, a *attempt, event *gladegaugev1.AttemptEvent) {
	var load *gladegaugev1.Load
	switch ev := event.GetEvent().(type) {
	case *gladegaugev1.AttemptEvent_Accepted:
		load = ev.Accepted.GetLoad()
	case *gladegaugev1.AttemptEvent_Granted:
		load = ev.Granted.GetLoad()
	case *gladegaugev1.AttemptEvent_Refused:
		load = ev.Refused.GetLoad()
	case *gladegaugev1.AttemptEvent_Failed:
		load = ev.Failed.GetLoad()
	case *gladegaugev1.AttemptEvent_End:
		load = ev.End.GetLoad()
	}
	if load == nil {
		return
	}
	x.s.entry.Heard(now, a.agent, convert.LoadOf(load))
	x.s.sync.Heard(load.GetVersion(), a.address)
}

func (x *call) onFailed(now time.Time, n int, a *attempt, f *gladegaugev1.Failed) []dispatch.Effect {
	if f.GetAlreadyRun() {
		return x.ticket.AlreadyRun(n)
	}
	effects := x.ticket.Broken(now, n, f.GetNotRun())
	if len(effects) > 0 {
		x.s.entry.Lost(now, a.agent)
		x.s.metrics.Attempts.WithLabelValues("lost").Inc()
	}
	return effects
}

// onEnd takes the end of an answer. An answer that is not all there is broken.
func (x *call) onEnd(now time.Time, n int, a *attempt, end *gladegaugev1.End) []dispatch.Effect {
	if int(end.GetLength()) != x.ticket.Delivered() {
		x.s.o.Log.Error().Str("request", x.id).Uint64("length", end.GetLength()).
			Int("delivered", x.ticket.Delivered()).Msg("answer does not have the length its agent says")
		return x.ticket.Broken(now, n, false)
	}
	x.claimedBy = a.agent
	return x.ticket.Ended(n)
}

func (x *call) onHead(n int, h *gladegaugev1.Head) error {
	if !x.ticket.Deliver(time.Now(), n, 0) || x.ticket.Delivered() > 0 {
		return nil
	}
	x.status = int(h.GetStatus())
	return x.out.head(h)
}

// onChunk relays a piece that follows what the caller has. One that does not
// is left out, and shows as a wrong length at the end.
func (x *call) onChunk(n int, c *gladegaugev1.Chunk) error {
	if int(c.GetOffset()) != x.ticket.Delivered() && len(c.GetData()) > 0 {
		return nil
	}
	if !x.ticket.Deliver(time.Now(), n, int(c.GetNext())) || len(c.GetData()) == 0 {
		return nil
	}
	if x.first.IsZero() {
		x.first = time.Now()
	}
	return x.out.chunk(c.GetData())
}

// finish answers the caller.
func (x *call) finish(o dispatch.Outcome) error {
	x.outcome = o
	switch o.Result {
	case dispatch.Completed:
		x.completed = time.Now()
		return x.out.end()
	case dispatch.Abandoned:
		x.callerGone = true
		return nil
	case dispatch.NotRun, dispatch.Unknown, dispatch.Incomplete, dispatch.AlreadyRun:
	}
	return x.out.problem(problemOf(o))
}

// account counts the request in the metrics and in the burn of its class.
func (x *call) account() {
	class := x.call.Class
	x.s.metrics.Requests.WithLabelValues(class.Name, x.outcome.Result.String()).Inc()
	kind := burn.Hit
	switch x.outcome.Result {
	case dispatch.Completed:
		first, whole := x.first.Sub(x.arrived), x.completed.Sub(x.arrived)
		x.s.metrics.FirstToken.WithLabelValues(class.Name).Observe(first.Seconds())
		x.s.metrics.Completion.WithLabelValues(class.Name).Observe(whole.Seconds())
		if !class.Met(first, whole) || x.status >= http.StatusInternalServerError {
			kind = burn.Miss
		}
	case dispatch.Abandoned:
		// A caller that leaves before the target has missed nothing.
		if time.Since(x.arrived) > class.StartTarget() && x.first.IsZero() {
			kind = burn.Miss
		}
	case dispatch.NotRun:
		kind = burn.Refusal
	case dispatch.Unknown, dispatch.Incomplete, dispatch.AlreadyRun:
		kind = burn.Miss
	}
	if kind != burn.Hit {
		x.s.metrics.TargetMissed.WithLabelValues(class.Name).Inc()
	}
	x.s.loop.Must(func(now time.Time) {
		x.settleAll(now)
		x.s.burn.Add(now, class.Name, x.call.Organisation.Name, kind)
	})
}
