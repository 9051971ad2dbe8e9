package exchange

import (
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/edge/clock"
)

const (
	// maxHeadBytes bounds the status line and the header of a response, which are held in memory
	// until they are complete. The largest known are a few kilobytes.
	maxHeadBytes = 64 << 10
	// maxHeadTime is the time in which a head that has begun must be complete. Heads arrive in one
	// or two packets; the time covers the retransmission of a lost one.
	maxHeadTime = 300 * time.Millisecond
)

// headLimiter reads from a connection. While the head of a response is read, it fails once more
// than maxHeadBytes were read, or maxHeadTime after the first byte. The time until the first byte
// and the body have no bound here.
type headLimiter struct {
	conn    net.Conn
	limited bool
	left    int
	// begun is true once a byte of the head was read, and timed once its time is bounded.
	begun bool
	timed bool
	// err is the bound that the head has exceeded; nil for none.
	err error
}

// begin starts the bounds; begun is true if a part of the head was read before.
func (l *headLimiter) begin(begun bool) {
	*l = headLimiter{conn: l.conn, limited: true, left: maxHeadBytes, begun: begun}
}

// end lifts the bounds.
func (l *headLimiter) end() {
	l.limited = false
	if l.timed {
		_ = l.conn.SetReadDeadline(time.Time{})
	}
}

// exceeded returns the bound that the latest head has exceeded; nil for none. The parser may
// report a line that is cut off there as malformed.
func (l *headLimiter) exceeded() error { return l.err }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.conn.Read(p) //nolint:wrapcheck // io.EOF must stay as it is.
	}
	if l.left <= 0 {
		l.err = ErrHeadTooLarge
		return 0, l.err
	}
	if l.begun && !l.timed {
		l.timed = true
		_ = l.conn.SetReadDeadline(clock.Deadline(maxHeadTime))
	}
	n, err := l.conn.Read(p[:min(len(p), l.left)])
	l.left -= n
	l.begun = l.begun || n > 0
	if errors.Is(err, os.ErrDeadlineExceeded) {
		l.err = ErrHeadTooSlow
		return n, l.err
	}
	return n, err //nolint:wrapcheck // io.EOF must stay as it is.
}
