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

// outcomeOfAnswer tells what an answer says about the upstream. A refusal with another
// status than 503 is the request's own fault, such as one without an identity.
func outcomeOfAnswer(f gateway.Failure, err error, status int) balance.Outcome {
	if f == gateway.NotRun && status != http.StatusServiceUnavailable {
		return balance.Declined
	}
	return outcomeOf(f, err)
}
