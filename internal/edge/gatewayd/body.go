package gatewayd

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/core/gateway"
)

// maxReplayBody is the largest body that is buffered for another attempt.
const maxReplayBody = 64 << 10

// body is the caller's body: the part that was buffered, and what follows it.
type body struct {
	buffered []byte
	// rest is nil if the whole body was buffered.
	rest io.Reader
	// length is in bytes; below 0 if the caller did not say.
	length int64
}

// reader reads the body from its beginning, as far as it was buffered.
func (b body) reader() io.ReadCloser {
	if b.rest == nil {
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.buffered), b.rest))
}

// readBody keeps a small body, so that it can be sent again.
func (x *request) readBody() *gateway.Refusal {
	x.progress.Replayable = true
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	// A caller that stops sending is not waited for beyond its request's time.
	conn := http.NewResponseController(x.w)
	_ = conn.SetReadDeadline(x.connDeadline(x.admission.Deadline))
	limit := x.view.Table.Limits.BodyBytes
	if limit > 0 {
		x.r.Body = http.MaxBytesReader(x.w, x.r.Body, limit)
	}
	if limit > 0 && x.r.ContentLength > limit {
		return gateway.Body(true)
	}
	x.body.length = x.r.ContentLength
	buffered, err := io.ReadAll(io.LimitReader(x.r.Body, maxReplayBody+1))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return gateway.Body(true)
	case err != nil:
		return gateway.Body(false)
	}
	// The deadline is lifted again: it would also end the wait for the caller's
	// leave, and with it the request.
	_ = conn.SetReadDeadline(time.Time{})
	x.body.buffered = buffered
	if len(buffered) <= maxReplayBody {
		x.body.length = int64(len(buffered))
		return nil
	}
	x.body.rest = x.r.Body
	x.progress.Replayable = false
	return nil
}
