package gatewayd

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errBodyStopped is returned to readers of a body that the gateway no longer reads. They must
// not take the end of the reading for the end of the body.
var errBodyStopped = errors.New("the gateway has stopped reading the body")

// errBodyTaken is returned to a second reader of a body that an earlier one has begun to read.
var errBodyTaken = errors.New("another attempt has read a part of the body")

// bodyRest is the part of a caller's body that was not buffered. It is passed on to the
// upstream as it arrives, and read by one attempt only.
type bodyRest struct {
	from io.Reader

	// mu is held while the caller's connection is read.
	mu sync.Mutex
	// reader is the one that has begun to read; nil before that.
	reader *restReader
	// reading is true during a read.
	reading atomic.Bool
	// stopped is true once no further read may begin.
	stopped atomic.Bool
	// read is the number of bytes that were read.
	read atomic.Int64
	// end is why the reading ended; nil before that. It is io.EOF only at the caller's own end.
	end atomic.Pointer[error]
}

// restReader reads the rest of a body for one attempt.
type restReader struct{ rest *bodyRest }

// Read implements io.Reader. It returns io.EOF only at the caller's own end of the body.
func (r *restReader) Read(p []byte) (int, error) {
	b := r.rest
	b.mu.Lock()
	defer b.mu.Unlock()
	if end := b.end.Load(); end != nil {
		return 0, *end
	}
	if b.stopped.Load() {
		return 0, errBodyStopped
	}
	if b.reader == nil {
		b.reader = r
	}
	if b.reader != r {
		return 0, errBodyTaken
	}
	b.reading.Store(true)
	n, err := b.from.Read(p)
	b.reading.Store(false)
	b.read.Add(int64(n))
	if err != nil {
		end := err // so that err itself stays on the stack
		b.end.Store(&end)
	}
	return n, err //nolint:wrapcheck // io.EOF must stay as it is.
}

// stop ends the reading: when it returns, nothing reads the caller's connection, and nothing
// will. A read in progress ends at the read deadline of the connection, which must be set.
func (b *bodyRest) stop() {
	b.stopped.Store(true)
	b.mu.Lock()
	defer b.mu.Unlock()
}

// whole reports whether the body was read to the caller's own end.
func (b *bodyRest) whole() bool {
	end := b.end.Load()
	return end != nil && errors.Is(*end, io.EOF)
}

// failed reports whether a read failed before the end of the body.
func (b *bodyRest) failed() bool { return b.end.Load() != nil && !b.whole() }

// tooLarge reports whether the body exceeds the limit. The error of the exchange does not tell:
// net/http wraps errors of a body in one that cannot be unwrapped.
func (b *bodyRest) tooLarge() bool { return b.failed() && isTooLarge(*b.end.Load()) }

// state names for logs how the reading ended.
func (b *bodyRest) state() string {
	switch {
	case b.whole():
		return "whole"
	case b.failed():
		return (*b.end.Load()).Error()
	default:
		return "unfinished"
	}
}
