package exchange

import (
	"io"
	"net/http"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// drainBytes is what is read of a body to keep its connection.
const drainBytes = 16 << 10

// Answer is an upstream's answer. Its body is read by the caller, who closes
// it in any case.
type Answer struct {
	*http.Response
	client *Client
	conn   *conn
	body   *bodyState
	// stop ends the watch on the context; false if the context has ended.
	stop func() bool
	// writer writes a long body while the answer is read; sent is true once
	// the whole request was written.
	writer *errgroup.Group
	sent   *atomic.Bool
}

// bodyState notes whether the whole body was read.
type bodyState struct {
	io.Reader
	whole bool
}

// Read reads the body.
func (b *bodyState) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		b.whole = true
	}
	return n, err
}

// Read reads the body of the answer.
func (a *Answer) Read(p []byte) (int, error) { return a.body.Read(p) }

// Close ends the exchange. The connection is kept only if both the request
// and the answer went through whole.
func (a *Answer) Close() {
	if !a.body.whole && a.ContentLength >= 0 && a.ContentLength <= drainBytes {
		_, _ = io.CopyN(io.Discard, a.body, a.ContentLength+1)
	}
	// An upstream may answer before it has read a long body; what is left of
	// the body would meet the next request.
	keep := a.body.whole && a.sent.Load() && !a.Response.Close && a.conn.br.Buffered() == 0
	if !a.stop() || !keep {
		_ = a.conn.Close()
		_ = a.writer.Wait()
		return
	}
	a.client.keep(a.conn, a.client.o.KeepFor(a.Header))
}

// Abort ends the exchange and closes its connection, so that the upstream
// stops its work.
func (a *Answer) Abort() {
	a.stop()
	_ = a.conn.Close()
	_ = a.writer.Wait()
}
