package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/internal/edge/socket"
)

// drainTime is more than sent bytes take to arrive.
const drainTime = 50 * time.Millisecond

// resetConn resets a connection.
func resetConn(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// A reset that the kernel has reported to the write of the body ended an answer without length in
// good order, so that its first part was passed on as the whole.
func TestCutAnswerLooksWhole(t *testing.T) {
	tests := []struct {
		name string
		// interim is what precedes the head of the answer.
		interim string
		// end ends the answer whose first part the client has read.
		end   func(conn net.Conn)
		whole bool
	}{
		{"closed", "", func(conn net.Conn) { _ = conn.Close() }, true},
		{"closed in one direction", "", func(conn net.Conn) { _ = conn.(*net.TCPConn).CloseWrite() }, true},
		{"reset", "", resetConn, false},
		{"reset after an interim answer", "HTTP/1.1 103 Early Hints\r\n\r\n", resetConn, false},
		{"reset after the body was asked for", "HTTP/1.1 100 Continue\r\n\r\n", resetConn, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			partRead := make(chan struct{})
			address := serveOnce(t, func(conn net.Conn) error {
				br := bufio.NewReader(conn)
				req, err := http.ReadRequest(br)
				if err != nil {
					return err
				}
				if _, err := io.CopyN(io.Discard, req.Body, bufferBytes); err != nil {
					return err
				}
				if _, err := io.WriteString(conn, tt.interim+unframedHead+firstPart); err != nil {
					return err
				}
				<-partRead
				_ = conn.SetReadDeadline(time.Now().Add(drainTime))
				_, _ = io.Copy(io.Discard, br) // bytes that are not read turn a close into a reset
				_ = conn.SetReadDeadline(time.Time{})
				tt.end(conn)
				_, _ = io.Copy(io.Discard, conn) // until the client closes, if it is still open
				return nil
			})
			body, callerBody := io.Pipe()
			var group errgroup.Group
			group.Go(func() error {
				_, err := callerBody.Write(make([]byte, 2*bufferBytes))
				return err
			})
			c, _ := client(&fakeClock{now: time.Unix(1000, 0)})
			a := post(t, c, address, body)
			got := make([]byte, len(firstPart))
			_, err := io.ReadFull(a, got)
			is.NoErr(err)
			is.NoErr(group.Wait())
			close(partRead)
			if !tt.whole {
				for a.WriteError() == nil { // the kernel reports the end to the write
					_, _ = callerBody.Write(make([]byte, bufferBytes))
				}
			}
			rest, err := io.ReadAll(a)
			is.Equal(len(rest), 0)
			is.Equal(err == nil, tt.whole)
			is.Equal(errors.Is(err, socket.ErrLost), !tt.whole)
			_ = callerBody.Close()
			a.Abort()
		})
	}
}
