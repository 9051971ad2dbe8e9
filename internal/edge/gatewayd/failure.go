package gatewayd

import (
	"context"
	"net/http"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/gateway"
	"github.com/gladegauge/gladegauge/internal/edge/exchange"
)

// failureOf tells what an error of the exchange means.
func (x *request) failureOf(ctx context.Context, err error) gateway.Failure {
	var unsent *exchange.UnsentError
	switch {
	case x.r.Context().Err() != nil:
		return gateway.CallerGone
	case errors.Is(err, exchange.ErrWithheld):
		return gateway.Withheld
	case errors.As(err, &unsent):
		return gateway.Unsent
	case errors.Is(context.Cause(ctx), errSilent):
		return gateway.Silent
	default:
		return gateway.Lost
	}
}

// outcomeOf tells what a failure says about the upstream. A refused connection
// comes from its host: the process that listened there has ended. Silence may be
// the fault of any link on the way.
func outcomeOf(f gateway.Failure, err error) balance.Outcome {
	switch f {
	case gateway.Unsent:
		if errors.Is(err, syscall.ECONNREFUSED) {
			return balance.Dead
		}
		return balance.Unreachable
	case gateway.NotRun:
		return balance.Refused
	case gateway.Replaced:
		return balance.Replaced
	case gateway.Faulty:
		return balance.Faulty
	case gateway.Lost, gateway.Silent:
		return balance.Broken
	case gateway.CallerGone, gateway.Withheld:
		return balance.Abandoned
	default:
		return balance.Completed
	}
}

// outcomeOfAnswer tells what an answer says about the upstream.
func outcomeOfAnswer(f gateway.Failure, err error, status int) balance.Outcome {
	if f == gateway.NotRun {
		return outcomeOfRefusal(status)
	}
	return outcomeOf(f, err)
}

// outcomeOfRefusal tells what a refusal says about the upstream. One that has no room, or
// too many requests, looks idle and draws its pool's requests if that is not counted. Other
// refusals are the request's own fault, such as one without an identity.
func outcomeOfRefusal(status int) balance.Outcome {
	switch status {
	case http.StatusServiceUnavailable:
		return balance.Refused
	case http.StatusTooManyRequests:
		return balance.Throttled
	default:
		return balance.Declined
	}
}
