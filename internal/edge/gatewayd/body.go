package gatewayd

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/core/gateway"
	"github.com/gladegauge/gladegauge/internal/edge/clock"
)

// maxReplayBody is the size in bytes of the largest body that is buffered for retries.
const maxReplayBody = 64 << 10

// body is the caller's body: a buffered prefix, and the rest that is passed on as it arrives.
//
// One reader at a time reads the caller's connection: readBody, then the writer of the attempt
// that has begun to read the rest, until endBody stops it. net/http reads nothing by itself
// before the handler has returned.
type body struct {
	// source is the body as net/http provides it; nil if the request has none.
	source   io.Reader
	buffered []byte
	// rest is nil if the whole body was buffered.
	rest *bodyRest
	// length is in bytes; negative if the caller did not declare it.
	length int64
	// complete is true if the whole body was buffered, and failed if its prefix could not be.
	complete bool
	failed   bool
}

// newBody returns the body of a request of which nothing was read yet.
func newBody(r *http.Request) body {
	if r.Body == nil || r.Body == http.NoBody {
		return body{}
	}
	return body{source: r.Body, length: r.ContentLength}
}

// reader returns a reader of the body for one attempt. Only the buffered part can be read by
// more than one.
func (b body) reader() io.ReadCloser {
	if b.rest == nil {
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.buffered), &restReader{rest: b.rest}))
}

// read returns the number of bytes that were read from the caller.
func (b body) read() int64 {
	n := int64(len(b.buffered))
	if b.rest != nil {
		n += b.rest.read.Load()
	}
	return n
}

// ended reports whether the body was read to the caller's own end.
func (b body) ended() bool {
	return b.source == nil || b.complete || b.rest != nil && b.rest.whole()
}

// awaitsCaller reports whether an attempt waits for the caller to send more of its body.
func (b body) awaitsCaller() bool { return b.rest != nil && b.rest.reading.Load() }

// readBody buffers the body, so that it can be replayed. Of a body that is larger than
// maxReplayBody it buffers the beginning; such a request cannot be replayed.
func (x *request) readBody() *gateway.Refusal {
	x.progress.Replayable = true
	if x.body.source == nil {
		return nil
	}
	left := x.remaining()
	// Bounds the wait for a caller that stops sending its body.
	conn := http.NewResponseController(x.w)
	_ = conn.SetReadDeadline(clock.Deadline(left))
	if left <= 0 {
		// The host was suspended since the admission.
		return gateway.TooLate(x.progress)
	}
	limit := x.view.Table.Limits.BodyBytes
	if limit > 0 && x.body.length > limit {
		return gateway.Body(true)
	}
	from := x.body.source
	if limit > 0 {
		// x.w hides the server's own response, which the reader would otherwise change from the
		// goroutine that passes on the rest.
		from = http.MaxBytesReader(x.w, io.NopCloser(from), limit)
	}
	buffered, err := io.ReadAll(io.LimitReader(from, maxReplayBody+1))
	x.body.buffered = buffered
	if err != nil {
		x.body.failed = true
		return refusalOfBody(err)
	}
	// The server keeps reading from the connection to detect a disconnect of the caller. A
	// read deadline that expires there would cancel the request.
	_ = conn.SetReadDeadline(time.Time{})
	if len(buffered) <= maxReplayBody {
		x.body.complete = true
		x.body.length = int64(len(buffered))
		return nil
	}
	x.body.rest = &bodyRest{from: from}
	x.progress.Replayable = false
	return nil
}

// refusalOfBody returns the refusal of a request whose body could not be read.
func refusalOfBody(err error) *gateway.Refusal {
	switch {
	case isTooLarge(err):
		return gateway.Body(true)
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, io.ErrUnexpectedEOF):
		return gateway.Body(false)
	default:
		return gateway.MalformedBody()
	}
}

// isTooLarge reports whether a body could not be read because it exceeds the limit.
func isTooLarge(err error) bool {
	var tooLarge *http.MaxBytesError
	return errors.As(err, &tooLarge)
}
