package exchange

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/edge/clock"
)

const (
	// maxSkipped bounds the responses that are read for one request: interim responses and
	// responses to other requests are skipped.
	maxSkipped = 4
	// maxSkippedBytes and maxSkipTime bound the bodies of the responses to other requests that
	// are read for one request. Upstreams send such a response whole; the time covers the
	// retransmission of a lost packet.
	maxSkippedBytes = 256 << 10
	maxSkipTime     = 300 * time.Millisecond
)

// skipper reads the bodies of responses to other requests during one exchange.
type skipper struct {
	cn *conn
	// bytes and time are what is left of the bounds.
	bytes int64
	time  time.Duration
}

func newSkipper(cn *conn) *skipper {
	return &skipper{cn: cn, bytes: maxSkippedBytes, time: maxSkipTime}
}

// skip reads the body of a response to another request. If it fails, no response to the request
// can follow on the connection, or only after too much: the connection is then to be closed, and
// the body is not, as that would read it to its end.
func (s *skipper) skip(resp *http.Response) error {
	switch {
	case resp.Close:
		return errors.New("connection closed after responses to other requests only")
	case resp.ContentLength > s.bytes:
		return errors.WithStack(ErrSkippedTooLarge)
	}
	began := s.cn.client.o.Clock()
	_ = s.cn.SetReadDeadline(clock.Deadline(s.time))
	n, err := io.CopyN(io.Discard, resp.Body, s.bytes+1)
	_ = s.cn.SetReadDeadline(time.Time{})
	s.bytes -= n
	s.time -= s.cn.client.o.Clock().Sub(began)
	if s.cn.client.o.OnSkip != nil {
		s.cn.client.o.OnSkip(n)
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errors.WithStack(ErrSkippedTooSlow)
	case err == nil:
		return errors.WithStack(ErrSkippedTooLarge)
	case !errors.Is(err, io.EOF):
		return errors.Wrap(err, "read response to another request")
	default:
		return nil
	}
}
