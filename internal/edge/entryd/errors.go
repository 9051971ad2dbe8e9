package entryd

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/gladegauge/gladegauge/internal/core/agent"
	"github.com/gladegauge/gladegauge/internal/core/dispatch"
)

// Code is the stable identifier of an error in responses to callers.
type Code string

// Error codes.
const (
	CodeInvalidAPIKey         Code = "invalid_api_key"
	CodeClassNotAllowed       Code = "class_not_allowed"
	CodeClassNotServed        Code = "class_not_served"
	CodeUnknownClass          Code = "unknown_class"
	CodeNoDefaultClass        Code = "no_default_class"
	CodeUnknownModel          Code = "model_not_found"
	CodeUnknownService        Code = "service_not_found"
	CodeInvalidRequest        Code = "invalid_request"
	CodeTooLarge              Code = "request_too_large"
	CodeInvalidIdempotencyKey Code = "invalid_idempotency_key"
	CodeRateLimited           Code = "rate_limited"
	CodeOverloaded            Code = "overloaded"
	CodeTooLate               Code = "too_late"
	CodeNoUpstream            Code = "no_upstream"
	CodeNotReady              Code = "not_ready"
	CodeOutcomeUnknown        Code = "outcome_unknown"
	CodeIncomplete            Code = "answer_incomplete"
	CodeAlreadyRun            Code = "already_run"
	CodeCrashesUpstreams      Code = "ends_upstreams"
	CodeNotFound              Code = "not_found"
	CodeInternal              Code = "internal"
)

// problem is an error response to a caller.
type problem struct {
	status         int
	code           Code
	param          string
	message        string
	notRun         bool
	outcomeUnknown bool
	retryAfter     time.Duration
}

// errorBody has the format of OpenAI API errors.
type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Message        string  `json:"message"`
	Type           string  `json:"type"`
	Param          *string `json:"param"`
	Code           Code    `json:"code"`
	NotRun         bool    `json:"not_run"`
	OutcomeUnknown bool    `json:"outcome_unknown"`
	RetryAfterMs   int64   `json:"retry_after_ms,omitempty"`
}

func (p *problem) body() errorBody {
	fields := errorFields{
		Message:        p.message,
		Type:           errorType(p.status),
		Code:           p.code,
		NotRun:         p.notRun,
		OutcomeUnknown: p.outcomeUnknown,
		RetryAfterMs:   p.retryAfter.Milliseconds(),
	}
	if p.param != "" {
		fields.Param = &p.param
	}
	return errorBody{Error: fields}
}

func errorType(status int) string {
	switch {
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// write sends the error. Clients of the OpenAI API retry on their own, so X-Should-Retry
// forbids it for a request that may have run, and without a known retry delay.
func (p *problem) write(c echo.Context) error {
	h := c.Response().Header()
	if p.retryAfter > 0 {
		h.Set("Retry-After-Ms", strconv.FormatInt(p.retryAfter.Milliseconds(), 10))
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	if !p.notRun || p.retryAfter == 0 {
		h.Set("X-Should-Retry", "false")
	}
	return c.JSON(p.status, p.body())
}

func invalidRequest(param, message string) *problem {
	return &problem{status: http.StatusBadRequest, code: CodeInvalidRequest, param: param, message: message, notRun: true}
}

// outcomeProblem returns the error for an outcome without a complete response.
func outcomeProblem(o dispatch.Outcome) *problem {
	switch o.Result {
	case dispatch.Unknown:
		return &problem{
			status:         http.StatusBadGateway,
			code:           CodeOutcomeUnknown,
			message:        "The connection to the upstream was lost after the request had been handed over. It may have run; it will not be repeated.",
			outcomeUnknown: true,
		}
	case dispatch.Incomplete:
		return &problem{
			status:     http.StatusBadGateway,
			code:       CodeIncomplete,
			message:    "The upstream broke off before the answer was complete. The request may be repeated.",
			retryAfter: o.RetryAfter,
		}
	case dispatch.AlreadyRun:
		return &problem{
			status:         http.StatusConflict,
			code:           CodeAlreadyRun,
			message:        "A request with this idempotency key has run before; this one was not run.",
			outcomeUnknown: true,
		}
	case dispatch.NotRun, dispatch.Completed, dispatch.Abandoned:
	}
	return notRunProblem(o)
}

func notRunProblem(o dispatch.Outcome) *problem {
	p := &problem{status: http.StatusServiceUnavailable, notRun: true, retryAfter: max(o.RetryAfter, time.Second)}
	switch o.Reason {
	case agent.Overload:
		p.code = CodeOverloaded
		p.message = "There is no room for a request of this class now. It was not run."
	case agent.Expired:
		p.code = CodeTooLate
		p.message = "The request could not begin while its answer still mattered. It was not run."
	case agent.UnknownKey:
		p.status = http.StatusBadRequest
		p.code = CodeInvalidIdempotencyKey
		p.param = "Idempotency-Key"
		p.retryAfter = 0
		p.message = "The idempotency key was not issued for this organisation and class, or has expired. The request was not run."
	case agent.Leaving, agent.WrongIncarnation, agent.Stale, agent.UnknownClass, agent.UpstreamDown:
		fallthrough
	default:
		p.code = CodeNoUpstream
		p.message = "No upstream can take the request now. It was not run."
	}
	return p
}
