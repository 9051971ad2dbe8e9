package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// requestWriter writes one request to a connection. A long body is written while the response
// is read.
type requestWriter struct {
	conn  net.Conn
	group errgroup.Group
	// done is closed when the writing has ended, with err.
	done chan struct{}
	err  error

	// writing is held while the connection is written to, which may take long.
	writing sync.Mutex

	mu sync.Mutex
	// written is the number of bytes that were written.
	written int64
	// sealed is true once no further byte may be written.
	sealed bool
	// connErr is why the connection could not be written to, and bodyErr why the body could not
	// be read.
	connErr error
	bodyErr *BodyError
	// responded is true once the head of the response was read.
	responded bool
}

func newRequestWriter(conn net.Conn) *requestWriter {
	return &requestWriter{conn: conn, done: make(chan struct{})}
}

// start writes the request concurrently.
func (w *requestWriter) start(req *http.Request) {
	w.group.Go(func() error { return w.run(req) })
}

// run writes the request with its body.
func (w *requestWriter) run(req *http.Request) error {
	defer close(w.done)
	w.err = writeRequest(w, req)
	if w.err != nil {
		w.bodyFailed(w.err)
	}
	return w.err
}

// Write implements io.Writer. It writes nothing once the writer is sealed.
func (w *requestWriter) Write(p []byte) (int, error) {
	w.writing.Lock()
	defer w.writing.Unlock()
	if w.isSealed() {
		w.wrote(0, net.ErrClosed)
		return 0, net.ErrClosed
	}
	n, err := w.conn.Write(p)
	w.wrote(n, err)
	return n, errors.WithStack(err)
}

// wrote records the result of a write to the connection.
func (w *requestWriter) wrote(n int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.written += int64(n)
	if err != nil {
		w.connErr = err
	}
}

// isSealed reports whether no further byte may be written.
func (w *requestWriter) isSealed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sealed
}

// seal ends the writing to a connection that was closed: no byte is written once it has returned.
func (w *requestWriter) seal() {
	w.mu.Lock()
	w.sealed = true
	w.mu.Unlock()
	w.writing.Lock()
	defer w.writing.Unlock()
}

// bodyFailed ends the exchange if it was the body that failed, and not the connection: the
// upstream must not wait for the rest of a request that cannot be completed. A response that
// has begun may still be read.
func (w *requestWriter) bodyFailed(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.connErr != nil {
		return
	}
	w.bodyErr = &BodyError{Cause: err}
	half, ok := w.conn.(interface{ CloseWrite() error })
	if w.responded && ok {
		_ = half.CloseWrite()
		return
	}
	_ = w.conn.Close()
}

// bodyFailure returns why the body of the request could not be read; nil if it could.
func (w *requestWriter) bodyFailure() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.bodyErr == nil {
		return nil
	}
	return w.bodyErr
}

// respondedTo records that the head of the response was read. It returns an error if the body
// of the request failed before.
func (w *requestWriter) respondedTo() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.bodyErr != nil {
		return w.bodyErr
	}
	w.responded = true
	return nil
}

// failure returns the error of an exchange without a response, whose connection was closed.
// Whether the request can have run depends on whether any byte was written.
func (w *requestWriter) failure(err error) error {
	w.seal()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.written == 0:
		return &UnsentError{Cause: err}
	case w.bodyErr != nil:
		return &LostError{Cause: w.bodyErr}
	default:
		return &LostError{Cause: err}
	}
}

// complete reports whether the whole request was written.
func (w *requestWriter) complete() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// writeRequest writes the request with its body.
func writeRequest(w io.Writer, req *http.Request) error {
	bw := bufio.NewWriterSize(w, bufferBytes)
	if err := req.Write(bw); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(bw.Flush())
}
