package exchange

import (
	"bufio"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// countingWriter counts the written bytes.
type countingWriter struct {
	io.Writer
	n int64
}

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.n += int64(n)
	return n, err
}

// writeRequest writes the request with its body.
func writeRequest(w io.Writer, req *http.Request) error {
	bw := bufio.NewWriterSize(w, bufferBytes)
	if err := req.Write(bw); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(bw.Flush())
}

// writeError returns the error for a failed write: whether the request can have run depends
// on whether any byte was written.
func writeError(w *countingWriter, err error) error {
	if w.n == 0 {
		return &UnsentError{Cause: err}
	}
	return &LostError{Cause: err}
}
