package exchange

import (
	"bufio"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// countingWriter counts the bytes that were written.
type countingWriter struct {
	io.Writer
	n int64
}

// Write writes and counts.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.n += int64(n)
	return n, err
}

// writeRequest writes the whole request.
func writeRequest(w io.Writer, req *http.Request) error {
	bw := bufio.NewWriterSize(w, bufferBytes)
	if err := req.Write(bw); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(bw.Flush())
}

// writeError tells whether the request can have run after its writing failed.
func writeError(w *countingWriter, err error) error {
	if w.n == 0 {
		return &UnsentError{Cause: err}
	}
	return &LostError{Cause: err}
}
