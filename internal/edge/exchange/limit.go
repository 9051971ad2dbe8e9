package exchange

import (
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/edge/clock"
)

// bounds limit what is read of a part of a response, and name the errors beyond them.
type bounds struct {
	// bytes are those of the connection, and so include what frames a body.
	bytes int
	// time runs from the first byte.
	time     time.Duration
	tooLarge error
	tooSlow  error
}

// headBounds limit the status line and the header of a response, which are held in memory until
// they are complete. The largest known are a few kilobytes. Heads arrive in one or two packets;
// the time covers the retransmission of a lost one.
var headBounds = bounds{bytes: 64 << 10, time: 300 * time.Millisecond, tooLarge: ErrHeadTooLarge, tooSlow: ErrHeadTooSlow}

// limiter reads from a connection, within the bounds of the part of a response that is read.
type limiter struct {
	conn net.Conn
	// bounds are in force while limited is true; left is what is left of their bytes.
	bounds
	limited bool
	left    int
	// begun is true once a byte of the part was read, and timed once its time runs.
	begun bool
	timed bool
	// err is the error of the bound that was exceeded; nil for none.
	err error
}

// begin puts bounds in force. begun is true if a byte of the part was read before.
func (l *limiter) begin(b bounds, begun bool) {
	*l = limiter{conn: l.conn, bounds: b, limited: true, left: b.bytes, begun: begun}
}

// end lifts the bounds.
func (l *limiter) end() {
	l.limited = false
	if l.timed {
		_ = l.conn.SetReadDeadline(time.Time{})
	}
}

// exceeded returns the error of the bound that the latest part has exceeded; nil for none. The
// parser may report a line that is cut off there as malformed.
func (l *limiter) exceeded() error { return l.err }

// Read implements io.Reader.
func (l *limiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.conn.Read(p) //nolint:wrapcheck // io.EOF must stay as it is.
	}
	if l.left <= 0 {
		l.err = l.tooLarge
		return 0, l.err
	}
	if l.begun && !l.timed {
		l.timed = true
		_ = l.conn.SetReadDeadline(clock.Deadline(l.time))
	}
	n, err := l.conn.Read(p[:min(len(p), l.left)])
	l.left -= n
	l.begun = l.begun || n > 0
	if errors.Is(err, os.ErrDeadlineExceeded) {
		l.err = l.tooSlow
		return n, l.err
	}
	return n, err //nolint:wrapcheck // io.EOF must stay as it is.
}
