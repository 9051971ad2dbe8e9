package exchange

import (
	"cmp"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// maxSkipped bounds the responses that are read for one request: interim responses and responses
// to other requests are skipped.
const maxSkipped = 4

// skipBounds limit the bodies of the responses to other requests, all together, that are read for
// one request. Upstreams send such a response whole; the time covers the retransmission of a lost
// packet.
var skipBounds = bounds{bytes: 256 << 10, time: 300 * time.Millisecond, tooLarge: ErrSkippedTooLarge, tooSlow: ErrSkippedTooSlow}

// skipper reads the bodies of responses to other requests during one exchange.
type skipper struct {
	cn *conn
	// left is what is left of the bounds.
	left bounds
}

func newSkipper(cn *conn) *skipper { return &skipper{cn: cn, left: skipBounds} }

// skip reads the body of a response to another request. If it fails, no response to the request
// can follow on the connection, or only after too much: the connection is then to be closed, and
// the body is not, as that would read it to its end.
func (s *skipper) skip(resp *http.Response) error {
	switch {
	case resp.Close:
		return errors.New("connection closed after responses to other requests only")
	case resp.ContentLength > int64(s.left.bytes):
		return errors.WithStack(ErrSkippedTooLarge)
	}
	o := s.cn.client.o
	began := o.Clock()
	s.cn.limiter.begin(s.left, true)
	n, err := io.Copy(io.Discard, resp.Body)
	s.cn.limiter.end()
	s.left.bytes = s.cn.limiter.left
	s.left.time -= o.Clock().Sub(began)
	if o.OnSkip != nil {
		o.OnSkip(n)
	}
	return errors.Wrap(cmp.Or(s.cn.limiter.exceeded(), err), "read response to another request")
}
