package gatewayd

import (
	"context"
	"net/http"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/gateway"
	"github.com/gladegauge/gladegauge/internal/edge/exchange"
	"github.com/gladegauge/gladegauge/platform"
)

// attempt sends the request to one upstream. It returns None when the caller
// has the whole answer.
func (x *request) attempt(ctx context.Context, choice balance.Choice) (gateway.Failure, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x.loadTold = false
	x.sentAt = x.server.now()
	x.headAt = time.Time{}
	x.firstAt = time.Time{}
	x.patience = x.newPatience(choice, cancel)
	defer x.patience.stop()
	got, err := x.server.client.Do(ctx, exchange.Call{
		Address:    choice.Address,
		Request:    x.upstreamRequest(choice, x.sentAt),
		Matches:    x.owns,
		OnResponse: func(r *http.Response) { x.notice(choice, r) },
		Permitted:  func() bool { return x.may(choice) },
	})
	if err != nil {
		failure := x.failureOf(ctx, err)
		x.settle(choice, outcomeOf(failure, err), nil)
		return failure, err
	}
	x.headAt = x.server.now()
	a := answer{Answer: got, choice: choice, head: platform.DecodeAnswer(got.StatusCode, got.Header)}
	failure, err := x.handleAnswer(ctx, a)
	switch failure {
	case gateway.None, gateway.Faulty, gateway.NotRun, gateway.Replaced:
		a.Close()
	default:
		a.Abort()
	}
	load := a.head.Load
	if x.loadTold {
		// It was reported when the answer began, and is old by now.
		load = nil
	}
	x.settle(choice, outcomeOfAnswer(failure, err, a.StatusCode), load)
	return failure, err
}

// may is the last look before the first byte goes out: while a connection was made, the
// upstream may have said to others that it leaves, wants rest, or has a limit that this
// request has no turn of.
func (x *request) may(choice balance.Choice) bool {
	closed := *x.server.closed.Load()
	if len(closed) == 0 {
		return true
	}
	now := x.server.now()
	return !closed.Has(now, choice.IncarnationKey()) && (choice.Turn || !closed.Limited(now, choice.IncarnationKey()))
}

// giveBack takes back a choice that nothing was sent to.
func (x *request) giveBack(choice balance.Choice) {
	x.server.control.DoWithoutCancel(func(now time.Time) {
		x.server.table.Ended(now, choice, balance.Abandoned, balance.Answer{})
	})
}

// owns reports whether an answer belongs to this request. Refusals may lack
// the identity.
func (x *request) owns(r *http.Response) bool {
	a := platform.DecodeAnswer(r.StatusCode, r.Header)
	return x.call.ID == "" || a.ID == x.call.ID || (a.ID == "" && !a.Sealed)
}

// settle tells the control goroutine what became of the attempt.
func (x *request) settle(choice balance.Choice, o balance.Outcome, load *balance.Load) {
	tokens := 0
	if p, ok := x.view.Table.Pool(x.admission.Pool); ok && p.Engine != nil {
		tokens = x.events * p.Engine.EventTokens
	}
	x.server.metrics.attempt(choice, o)
	survived := x.survived(o)
	if survived {
		// Not in the control goroutine: it takes some microseconds.
		x.printed()
	}
	x.server.control.DoWithoutCancel(func(now time.Time) {
		if o == balance.Dead || o == balance.Replaced {
			x.server.recordUpstreamEnd(now, choice.Instance, o)
		}
		if survived {
			x.server.suspects.ReportSuccess(now, x.printed(), x.call.ID)
		}
		x.server.table.Ended(now, choice, o, balance.Answer{Tokens: tokens, LongestGap: x.longestGap, Load: load})
		if load != nil {
			x.server.table.SetLoad(now, choice.ID, *load)
		}
	})
}

// answerBegan notes the first event of a stream, or the head of another answer.
func (x *request) answerBegan(a answer) {
	x.patience.answerBegan()
	x.loadTold = true
	x.server.control.DoWithoutCancel(func(now time.Time) {
		x.server.table.ResponseStarted(now, a.choice)
		if a.head.Load != nil {
			x.server.table.SetLoad(now, a.choice.ID, *a.head.Load)
		}
	})
}
