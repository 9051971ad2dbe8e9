package agentd

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/internal/core/agent"
	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/edge/convert"
	"github.com/gladegauge/gladegauge/internal/edge/upstream"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// effectQueueSize is larger than the number of effects that one attempt can have.
const effectQueueSize = 32

// heartbeatInterval is the time between heartbeats of a run that produces no chunks.
const heartbeatInterval = time.Second

var errNoOffer = errors.New("offer.attempt: must be set in the first command")

var errServerStatus = errors.New("the engine answered with an error of its own")

// stream is the stream on which an entry runs one attempt.
type stream = connect.BidiStream[gladegaugev1.AttemptCommand, gladegaugev1.AttemptEvent]

// session is one attempt on its stream. Only its own goroutine sends to the entry; it
// receives effects from the control loop.
type session struct {
	s           *Server
	id          string
	offer       *gladegaugev1.Offer
	stream      *stream
	effectQueue chan agent.Effect
	chunks      chan chunk
	// tokens is read by the control loop.
	tokens atomic.Int64

	calls     errgroup.Group
	run       *gladegaugev1.Run
	cancelRun context.CancelFunc
	running   bool
	stopping  bool
	entryGone bool
	offset    int
	idle      bool
	// retryElsewhere is true after an engine responded with a 5xx status to a repeatable
	// request. The response is discarded, since another engine may succeed.
	retryElsewhere bool
	// notEventStream is true for a response that is not an event stream.
	notEventStream bool
	// retryable is true for a repeatable class of a model pool.
	retryable bool
	// load is the load to report with a grant, or nil if an Accepted message reported it.
	load *gladegaugev1.Load
	// tier is the tier of the attempt's class, or 0 if the class is unknown.
	tier int
}

// chunk is a chunk of the response, or its end.
type chunk struct {
	upstream.Chunk
	end *upstream.End
}

// Attempt handles one attempt from its offer to its end.
func (s *Server) Attempt(ctx context.Context, st *stream) error {
	cmd, err := st.Receive()
	if err != nil {
		return err
	}
	offer := cmd.GetOffer()
	if offer.GetAttempt() == "" {
		return connect.NewError(connect.CodeInvalidArgument, errNoOffer)
	}
	x := &session{
		s:           s,
		id:          offer.GetAttempt(),
		offer:       offer,
		stream:      st,
		effectQueue: make(chan agent.Effect, effectQueueSize),
		chunks:      make(chan chunk),
	}
	runs := make(chan *gladegaugev1.Run, 1)
	// The receiver is not waited for here: Receive returns only after this handler has.
	s.receivers.Go(func() error {
		x.receive(runs)
		return nil
	})
	err = x.serve(ctx, runs)
	_ = x.calls.Wait()
	return err
}

// receive forwards the claim, and closes the channel when the entry has disconnected.
func (x *session) receive(runs chan<- *gladegaugev1.Run) {
	defer close(runs)
	for {
		cmd, err := x.stream.Receive()
		if err != nil {
			return
		}
		if recount := cmd.GetRecount(); recount != nil {
			x.s.loop.DoWithoutCancel(func(time.Time) { x.s.agent.Recount(x.id, int(recount.GetCopies())) })
		}
		if cmd.GetRun() == nil {
			continue
		}
		select {
		case runs <- cmd.GetRun():
		default:
		}
	}
}

// serve handles the attempt's events until it has ended.
func (x *session) serve(ctx context.Context, runs <-chan *gladegaugev1.Run) error {
	if ended, err := x.open(); ended || err != nil {
		return err
	}
	defer x.unregister()
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	disconnected := ctx.Done()
	for {
		var ended bool
		var err error
		select {
		case effect := <-x.effectQueue:
			ended, err = x.onEffect(ctx, effect)
		case run, ok := <-runs:
			if ok {
				x.claim(run)
				continue
			}
			runs = nil
			ended = x.withdraw()
		case p := <-x.chunks:
			ended, err = x.onChunk(ctx, p)
		case <-heartbeat.C:
			err = x.heartbeat()
		case <-disconnected:
			disconnected = nil
			ended = x.withdraw()
		}
		if err != nil && !x.entryGone {
			ended = x.withdraw()
		}
		if ended {
			return err
		}
	}
}

// open registers the session and makes the offer. It returns true if that ended the
// attempt.
func (x *session) open() (bool, error) {
	var accepted *gladegaugev1.Accepted
	known := false
	ok := x.s.loop.DoWithoutCancel(func(now time.Time) {
		if x.s.agent == nil {
			return
		}
		if _, known = x.s.sessions[x.id]; known {
			return
		}
		x.s.sessions[x.id] = x
		if c, found := x.s.sync.Config().Class(x.offer.GetClass()); found {
			x.tier = c.Tier
			p, _ := x.s.sync.Config().Pool(x.s.o.Pool)
			x.retryable = c.Repeatable && p != nil && p.Kind == config.KindModel
		}
		x.s.deliver(x.s.agent.Offer(now, x.coreOffer(now)))
		accepted = &gladegaugev1.Accepted{Load: x.s.load()}
	})
	switch {
	case !ok || (accepted == nil && !known):
		return true, x.refuse(agent.Refuse{Reason: agent.UpstreamDown, RetryAfter: time.Second})
	case known:
		return true, x.refuse(agent.Refuse{Reason: agent.Stale})
	case len(x.effectQueue) > 0:
		// The offer was decided at once, so the load is reported with the decision.
		x.load = accepted.GetLoad()
		return false, nil
	default:
		return false, x.send(&gladegaugev1.AttemptEvent{Event: &gladegaugev1.AttemptEvent_Accepted{Accepted: accepted}})
	}
}

func (x *session) coreOffer(now time.Time) agent.Offer {
	return agent.Offer{
		ID:           x.id,
		Incarnation:  x.offer.GetIncarnation(),
		Class:        x.offer.GetClass(),
		Organisation: x.offer.GetOrganisation(),
		Weight:       x.offer.GetWeight(),
		Arrived:      now.Add(-time.Duration(x.offer.GetAgeMs()) * time.Millisecond),
		Copies:       int(x.offer.GetCopies()),
		Key:          x.offer.GetIdempotencyKey(),
	}
}

func (x *session) unregister() {
	x.s.loop.DoWithoutCancel(func(time.Time) { delete(x.s.sessions, x.id) })
}

// claim asks the agent to start the attempt.
func (x *session) claim(run *gladegaugev1.Run) {
	x.run = run
	x.offset = int(run.GetResumeOffset())
	x.s.loop.DoWithoutCancel(func(now time.Time) { x.s.deliver(x.s.agent.Claim(now, x.id, run.GetIncarnation())) })
}

// withdraw withdraws the attempt after the entry has disconnected. It returns true if no
// run is left to wait for.
func (x *session) withdraw() bool {
	if !x.entryGone {
		x.entryGone = true
		x.s.loop.DoWithoutCancel(func(now time.Time) { x.s.deliver(x.s.agent.Withdraw(now, x.id)) })
	}
	return !x.running
}

// onEffect executes an effect of the agent. It returns true if the attempt has ended.
func (x *session) onEffect(ctx context.Context, effect agent.Effect) (bool, error) {
	switch e := effect.(type) {
	case agent.Grant:
		granted := &gladegaugev1.Granted{TtlMs: convert.Milliseconds(e.TTL), Incarnation: e.Incarnation, Load: x.load}
		return false, x.send(&gladegaugev1.AttemptEvent{Event: &gladegaugev1.AttemptEvent_Granted{Granted: granted}})
	case agent.Refuse:
		return true, x.refuse(e)
	case agent.Start:
		x.start(ctx)
	case agent.Stop:
		x.stopping = true
		x.cancelRun()
	case agent.Fail:
		return true, x.fail(&gladegaugev1.Failed{AlreadyRun: e.AlreadyRun, Detail: "given up after it had begun"})
	}
	return false, nil
}

// start calls the upstream, and resumes the response at its current offset.
func (x *session) start(ctx context.Context) {
	ctx, x.cancelRun = context.WithCancel(ctx)
	x.running = true
	x.stopping = false
	call := upstream.Call{
		Method:       x.run.GetMethod(),
		Path:         x.run.GetPath(),
		Headers:      x.headers(),
		Body:         x.run.GetBody(),
		ResumeOffset: x.offset,
	}
	x.calls.Go(func() error {
		end := x.s.upstream.Do(ctx, call, func(p upstream.Chunk) error {
			select {
			case x.chunks <- chunk{Chunk: p}:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
		x.chunks <- chunk{end: &end}
		return nil
	})
}

func (x *session) headers() http.Header {
	h := make(http.Header)
	for _, header := range x.run.GetHeaders() {
		h.Add(header.GetName(), header.GetValue())
	}
	if x.tier > 0 {
		h.Set(upstream.PriorityHeader, strconv.Itoa(x.tier))
	}
	return h
}

func (x *session) fail(f *gladegaugev1.Failed) error {
	return x.send(&gladegaugev1.AttemptEvent{Event: &gladegaugev1.AttemptEvent_Failed{Failed: f}})
}

// load returns the current load as a message. It runs in the control loop.
func (s *Server) load() *gladegaugev1.Load {
	if s.agent == nil {
		return nil
	}
	return convert.Load(s.agent.Load(), s.sync.Version())
}
