package rpc

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// BodyTimeout is how long the body of a request of another gateway may take. A gateway sends it
// in one piece and gives up sooner.
const BodyTimeout = 2 * time.Second

// WithBodyTimeout returns a handler whose requests fail if their bodies take longer to arrive,
// while the response may take as long as it needs.
func WithBodyTimeout(h http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != http.NoBody {
			c := http.NewResponseController(w)
			if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
				http.Error(w, "the time of the body cannot be limited", http.StatusInternalServerError)
				return
			}
			r.Body = &timedBody{ReadCloser: r.Body, setDeadline: c.SetReadDeadline}
		}
		h.ServeHTTP(w, r)
	})
}

// timedBody is a body that has to arrive in time. The deadline ends with the body: net/http goes
// on reading, to notice that the caller leaves.
type timedBody struct {
	io.ReadCloser
	setDeadline func(time.Time) error
}

func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if err := b.setDeadline(time.Time{}); err != nil {
			return n, errors.WithStack(err)
		}
	}
	return n, err //nolint:wrapcheck // Callers compare it to io.EOF.
}
