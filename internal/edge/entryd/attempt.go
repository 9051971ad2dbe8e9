package entryd

import (
	"context"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/internal/core/dispatch"
	"github.com/gladegauge/gladegauge/internal/edge/convert"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
	"github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1/gladegaugev1connect"
)

type attemptStream = connect.BidiStreamForClient[gladegaugev1.AttemptCommand, gladegaugev1.AttemptEvent]

// attempt is the stream of one attempt to its agent.
type attempt struct {
	id          string
	agent       string
	address     string
	stream      *attemptStream
	cancel      context.CancelFunc
	offerClosed bool
	// ticks is the number of ticks since the offer.
	ticks int
}

// tickOverdue counts a tick. It reports whether the agent has not responded to the offer in
// time.
func (a *attempt) tickOverdue() bool {
	a.ticks++
	return !a.offerClosed && a.ticks > offerTicks
}

// attemptEvent is an event received on the stream of attempt n. A nil event means that
// the stream has ended.
type attemptEvent struct {
	n     int
	event *gladegaugev1.AttemptEvent
}

// drainStreams discards events until the goroutines of all streams have ended.
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

// open opens the stream of an attempt, sends the offer and receives events.
func (x *call) open(ctx context.Context, e dispatch.Offer) {
	ctx, cancel := context.WithCancel(ctx)
	client := gladegaugev1connect.NewAgentServiceClient(x.s.rpcHTTP, x.s.o.Keys.URL(e.Agent.Address))
	a := &attempt{
		id:      x.id + "/" + strconv.Itoa(e.Attempt),
		agent:   e.Agent.ID,
		address: e.Agent.Address,
		stream:  client.Attempt(ctx),
		cancel:  cancel,
	}
	x.attempts = append(x.attempts, a)
	offer := &gladegaugev1.Offer{
		Attempt:        a.id,
		Incarnation:    x.keyIssuer,
		Class:          x.call.Class.Name,
		Organisation:   x.call.Organisation.Name,
		Weight:         x.call.Organisation.Weight,
		AgeMs:          convert.Milliseconds(x.s.now().Sub(x.arrivedAt)),
		Copies:         uint32(e.Copies),
		IdempotencyKey: x.key,
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

// claim starts the granted attempt. A claim that cannot be sent is noticed by the end of
// the stream.
func (x *call) claim(e dispatch.Claim) {
	a := x.attempts[e.Attempt]
	x.claimedAgent = a.agent
	x.claimedAt = x.s.now()
	if e.Offset > 0 {
		x.s.metrics.Resumes.Inc()
	}
	x.run.ResumeOffset = uint64(e.Offset)
	x.run.Incarnation = e.Incarnation
	_ = a.stream.Send(&gladegaugev1.AttemptCommand{Command: &gladegaugev1.AttemptCommand_Run{Run: x.run}})
}

// recount tells an agent with an open offer how many agents now hold one.
func (x *call) recount(e dispatch.Recount) {
	recount := &gladegaugev1.Recount{Copies: uint32(e.Copies)}
	_ = x.attempts[e.Attempt].stream.Send(&gladegaugev1.AttemptCommand{
		Command: &gladegaugev1.AttemptCommand_Recount{Recount: recount},
	})
}

// closeOffer records that the agent responded to the offer, or that the offer was lost. It
// runs in the control loop.
func (x *call) closeOffer(now time.Time, a *attempt, lost bool) {
	if a.offerClosed {
		return
	}
	a.offerClosed = true
	x.s.entry.OfferAnswered(a.agent)
	if lost {
		x.s.entry.AgentFailed(now, a.agent)
		x.s.metrics.Attempts.WithLabelValues("unanswered").Inc()
	}
}
