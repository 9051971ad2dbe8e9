package exchange

import "github.com/cockroachdb/errors"

// ErrWithheld is the cause of an UnsentError if the caller no longer permitted the request
// when the connection was ready.
var ErrWithheld = errors.New("withheld: the upstream accepts no requests at present")

// ErrHeadTooLarge and ErrHeadTooSlow are the causes of a LostError if the head of the response
// has begun and has no end within the bounds.
var (
	ErrHeadTooLarge = errors.New("the head of the response is too large")
	ErrHeadTooSlow  = errors.New("the head of the response arrives too slowly")
)

// ErrSkippedTooLarge and ErrSkippedTooSlow are the causes of a LostError if the bodies of the
// responses to other requests, which precede the request's own, exceed the bounds.
var (
	ErrSkippedTooLarge = errors.New("the responses to other requests are too large")
	ErrSkippedTooSlow  = errors.New("the responses to other requests arrive too slowly")
)

// UnsentError means that no byte of the request was written, so that it cannot have run.
type UnsentError struct{ Cause error }

// Error returns the message with the cause.
func (e *UnsentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// LostError means that the request was sent, at least in part, and that no response
// arrived. The request may have run.
type LostError struct{ Cause error }

// Error returns the message with the cause.
func (e *LostError) Error() string { return "no answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// BodyError is the cause of a LostError if the body of the request could not be read to its end.
type BodyError struct{ Cause error }

// Error returns the message with the cause.
func (e *BodyError) Error() string { return "body of the request: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Cause }
