package gatewayd

import (
	"context"
	"net/http"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/gateway"
	"github.com/gladegauge/gladegauge/internal/core/responsehead"
	"github.com/gladegauge/gladegauge/internal/edge/exchange"
)

// unusableError means that an upstream answered with something that callers must not get. Its
// connection did not break, so that a later crash of the upstream is not that of the request.
type unusableError struct{ cause error }

// Error returns the cause.
func (e *unusableError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *unusableError) Unwrap() error { return e.cause }

// mayHaveCrashed reports whether an attempt failed in a way in which it fails if its upstream
// crashes. One that sends an invalid head has answered.
func mayHaveCrashed(f gateway.Failure, err error) bool {
	var unusable *unusableError
	return f == gateway.Lost && !errors.As(err, &unusable) && !errors.Is(err, responsehead.ErrInvalid)
}

// failureOf classifies an error of the exchange.
func (x *request) failureOf(ctx context.Context, err error) gateway.Failure {
	var unsent *exchange.UnsentError
	var body *exchange.BodyError
	switch {
	case x.r.Context().Err() != nil:
		return gateway.CallerGone
	case errors.Is(err, exchange.ErrWithheld):
		return gateway.Withheld
	case errors.As(err, &unsent):
		return gateway.Unsent
	case errors.As(err, &body) && x.body.rest.tooLarge():
		return gateway.OversizedBody
	case errors.As(err, &body), ctx.Err() != nil && x.body.awaitsCaller():
		return gateway.IncompleteBody
	case errors.Is(context.Cause(ctx), errSilent):
		return gateway.Silent
	default:
		return gateway.Lost
	}
}

// outcomeOf maps a failure to an outcome for the upstream. A refused connection was refused
// by its host, so the process that listened there has ended. A timeout may be the fault of
// any link on the path.
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
	case gateway.CallerGone, gateway.Withheld, gateway.IncompleteBody, gateway.OversizedBody:
		return balance.Abandoned
	default:
		return balance.Completed
	}
}

// outcomeOfResponse maps the failure of an attempt that got a response to an outcome for the
// upstream.
func outcomeOfResponse(f gateway.Failure, err error, status int) balance.Outcome {
	if f == gateway.NotRun {
		return outcomeOfRefusal(status)
	}
	return outcomeOf(f, err)
}

// outcomeOfRefusal maps the status of a refusal to an outcome for the upstream. An upstream
// without capacity, or with too many requests, looks idle: unless its refusals count against
// it, it attracts the requests of its pool. Other refusals are caused by the request, such as
// one without an ID.
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
