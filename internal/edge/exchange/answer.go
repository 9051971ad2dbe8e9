package exchange

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/gladegauge/gladegauge/internal/edge/clock"
	"github.com/gladegauge/gladegauge/internal/edge/socket"
)

// drainBytes is the maximum size of a remaining body that is read to reuse its connection.
const drainBytes = 16 << 10

// Answer is an upstream's response. The caller reads its body and must call Close or Abort.
type Answer struct {
	*http.Response
	client *Client
	conn   *conn
	body   *bodyState
	// stop unregisters the function that closes the connection when the context ends. It
	// returns false if the context has ended.
	stop func() bool
	// writer writes a long body while the response is read.
	writer *requestWriter
}

// bodyState records whether the whole body was read.
type bodyState struct {
	io.Reader
	complete bool
	// unframed is true if the body ends with its connection, and request writes the request.
	unframed bool
	request  *requestWriter
}

// Read reads the body. A body without length or chunks is incomplete if the upstream got only a
// part of the request, as it then may have ended its response early.
func (b *bodyState) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != io.EOF {
		return n, err //nolint:wrapcheck // Callers look for errors of package net.
	}
	if cut := b.request.bodyFailure(); cut != nil && b.unframed {
		return n, cut
	}
	b.complete = true
	return n, err //nolint:wrapcheck // io.EOF must stay as it is.
}

// Read reads the body of the response.
func (a *Answer) Read(p []byte) (int, error) { return a.body.Read(p) }

// EndsWithConnection reports whether the body has neither a length nor chunks. Its end then
// looks the same as that of an upstream that crashes.
func (a *Answer) EndsWithConnection() bool { return a.body.unframed }

// ConnectionEnd returns how the connection ended for the reader of the response.
func (a *Answer) ConnectionEnd() socket.End { return a.conn.End() }

// WriteError returns why the request could not be written to the connection; nil if it could.
func (a *Answer) WriteError() error { return a.conn.WriteError() }

// RequestWritten reports whether the whole request was written.
func (a *Answer) RequestWritten() bool { return a.writer.complete() }

// SetReadTimeout bounds the time for what is still to be read of the body, from now on; 0 for no
// bound.
func (a *Answer) SetReadTimeout(d time.Duration) {
	until := time.Time{}
	if d > 0 {
		until = clock.Deadline(d)
	}
	_ = a.conn.SetReadDeadline(until)
}

// AwaitRequest waits until the whole request is written or cannot be, or the context ends. The
// response has been read: an upstream that takes nothing more for ackTimeout is not waited for.
func (a *Answer) AwaitRequest(ctx context.Context) {
	if a.conn.setAckTimeout(ackTimeout) != nil {
		return
	}
	select {
	case <-a.writer.done:
	case <-ctx.Done():
	}
}

// Close ends the exchange. The connection is reused only if the request was written and
// the response read completely. A short rest of the body is read for that, for as long
// as the bodies of responses to other requests.
func (a *Answer) Close() {
	if !a.body.complete && a.ContentLength >= 0 && a.ContentLength <= drainBytes {
		a.SetReadTimeout(skipBounds.time)
		_, _ = io.CopyN(io.Discard, a.body, a.ContentLength+1)
		a.SetReadTimeout(0)
	}
	// An upstream may respond before it has read a long body. The rest of the body would
	// then precede the next request on the connection.
	keepIdle := a.body.complete && a.writer.complete() && !a.Response.Close && a.conn.br.Buffered() == 0
	if !a.stop() || !keepIdle || a.conn.setAckTimeout(ackTimeout) != nil {
		_ = a.conn.Close()
		return
	}
	a.client.keepIdle(a.conn, a.client.o.KeepAlive(a.Header))
}

// Abort ends the exchange and closes its connection, so that the upstream stops processing
// the request.
func (a *Answer) Abort() {
	a.stop()
	_ = a.conn.Close()
}
