package gatewayd

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/core/gateway"
)

// keepBodyBytes is the largest body that is kept for another attempt.
const keepBodyBytes = 64 << 10

// body is the caller's body: the part that was kept, and what follows it.
type body struct {
	kept []byte
	// rest is nil if the whole body was kept.
	rest io.Reader
	// length is in bytes; below 0 if the caller did not say.
	length int64
}

// reader reads the body from its beginning, as far as it was kept.
func (b body) reader() io.ReadCloser {
	if b.rest == nil {
		return io.NopCloser(bytes.NewReader(b.kept))
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.kept), b.rest))
}

// readBody keeps a small body, so that it can be sent again.
func (x *request) readBody() *gateway.Refusal {
	x.progress.Replayable = true
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	// A caller that stops sending is not waited for beyond its request's time.
	conn := http.NewResponseController(x.w)
	_ = conn.SetReadDeadline(x.steady(x.admission.Deadline))
	limit := x.view.Table.Limits.BodyBytes
	if limit > 0 {
		x.r.Body = http.MaxBytesReader(x.w, x.r.Body, limit)
	}
	if limit > 0 && x.r.ContentLength > limit {
		return gateway.Body(true)
	}
	x.body.length = x.r.ContentLength
	kept, err := io.ReadAll(io.LimitReader(x.r.Body, keepBodyBytes+1))
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
	x.body.kept = kept
	if len(kept) <= keepBodyBytes {
		x.body.length = int64(len(kept))
		return nil
	}
	x.body.rest = x.r.Body
	x.progress.Replayable = false
	return nil
}
