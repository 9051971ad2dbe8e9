package gatewayd

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/edge/clock"
)

const (
	// bodyGrace is the time that a caller has for the rest of its body once it has its
	// response, if its connection is to be kept.
	bodyGrace = time.Second
	// maxDiscard is the number of bytes of such a rest that are read to keep the connection.
	maxDiscard = 256 << 10
)

// endBody ends the reading of the caller's body. Without it, what is left of the body would be
// parsed as the next request: net/http leaves the body alone, as it is read while the response
// is written. The connection is kept if the rest arrives soon, and otherwise closed.
func (x *request) endBody() {
	if x.body.ended() {
		return
	}
	conn := http.NewResponseController(x.w)
	grace := time.Duration(0)
	// The end of a response without length is sent when the handler returns, and must not wait.
	if !x.aborted && x.responseHasLength() {
		_ = conn.Flush()
		if x.server.stoppingAt.Load() == nil { // A gateway that stops closes the connection anyway.
			grace = bodyGrace
		}
	}
	_ = conn.SetReadDeadline(clock.Deadline(grace))
	if x.body.rest != nil {
		x.body.rest.stop()
	}
	if grace > 0 && x.discardRest() {
		_ = conn.SetReadDeadline(time.Time{})
		return
	}
	closeAfterResponse(x.w.Writer)
}

// responseHasLength reports whether the caller knows the end of the response from its head.
func (x *request) responseHasLength() bool {
	return x.w.Header().Get("Content-Length") != "" || x.r.Method == http.MethodHead ||
		x.w.Status == http.StatusNoContent || x.w.Status == http.StatusNotModified
}

// discardRest reads the rest of the body. It returns false if the body does not end in time,
// is too long, or could not be read before.
func (x *request) discardRest() bool {
	if !x.mayDiscard() {
		return false
	}
	_, err := io.CopyN(io.Discard, x.body.source, maxDiscard+1)
	return errors.Is(err, io.EOF)
}

// mayDiscard reports whether the rest of the body can be read: no read has failed, its
// declared length is not too long, and the caller does not wait to be asked for it.
func (x *request) mayDiscard() bool {
	if x.body.failed || x.body.rest != nil && x.body.rest.failed() {
		return false
	}
	asked := x.r.Header.Get("Expect") == "" || x.body.rest != nil
	return asked && x.r.ContentLength-x.body.read() <= maxDiscard
}

// closeAfterResponse makes net/http close the connection after the response, whose head may
// already be sent. It does so for a body that exceeds a limit, and offers no other way.
func closeAfterResponse(w http.ResponseWriter) {
	exceeded := http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0)
	_, _ = exceeded.Read(make([]byte, 1))
}
