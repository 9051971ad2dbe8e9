package exchange

import "github.com/cockroachdb/errors"

// ErrWithheld is the cause of an UnsentError if the request was not to go out any more.
var ErrWithheld = errors.New("withheld: the upstream wants nothing now")

// UnsentError says that nothing of the request was written, so that it cannot
// have run.
type UnsentError struct{ Cause error }

// Error returns the cause.
func (e *UnsentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// LostError says that the request was sent, wholly or in part, and that no
// answer came. It may have run.
type LostError struct{ Cause error }

// Error returns the cause.
func (e *LostError) Error() string { return "no answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }
