package exchange

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// An upstream that answers another request with a body without end, fast or slowly, fails the
// exchange at once. The body was read until the deadline of the request.
func TestResponseToAnotherRequestWithoutEnd(t *testing.T) {
	const (
		chunked  = "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n"
		declared = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 900000000000\r\n\r\n"
		unframed = "HTTP/1.1 200 OK\r\nId: other\r\n\r\n"
		short    = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 10000\r\n\r\n"
	)
	// Each is within the bound, and all of them together are not.
	part := strings.Repeat("x", skipBounds.bytes/2)
	parts := strings.Repeat(fmt.Sprintf("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: %d\r\n\r\n%s", len(part), part), 3)
	tests := []struct {
		name  string
		begin string
		again string
		// pause is the time between two writes of again.
		pause time.Duration
		want  error
	}{
		{name: "chunks", begin: chunked, again: "1\r\nx\r\n", want: ErrSkippedTooLarge},
		{name: "a large length", begin: declared, again: "x", want: ErrSkippedTooLarge},
		{name: "neither length nor chunks", begin: unframed, again: "x"},
		{name: "several responses", begin: parts, again: "x", want: ErrSkippedTooLarge},
		{name: "slow chunks", begin: chunked, again: "1\r\nx\r\n", pause: 20 * time.Millisecond, want: ErrSkippedTooSlow},
		{name: "the line of a chunk, slowly", begin: chunked, again: "0", pause: 20 * time.Millisecond, want: ErrSkippedTooSlow},
		{name: "a slow body with a length", begin: short, again: "x", pause: 20 * time.Millisecond, want: ErrSkippedTooSlow},
		{name: "nothing more", begin: short, want: ErrSkippedTooSlow},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			serve := endless(tt.begin, tt.again)
			if tt.pause > 0 || tt.again == "" {
				serve = trickle(tt.begin, tt.again, tt.pause)
			}
			c, _ := client(&fakeClock{now: time.Unix(1000, 0)})
			began := time.Now()
			_, err := get(t, c, serveOnce(t, serve), "")
			var lost *LostError
			is.True(errors.As(err, &lost))
			is.True(tt.want == nil || errors.Is(err, tt.want))
			is.True(time.Since(began) < 5*time.Second) // not only at the deadline of get
		})
	}
}

// trickle returns a function that sends a text, and then another one after each pause until the
// connection is closed. If the other one is empty, it sends nothing more.
func trickle(begin, again string, pause time.Duration) func(net.Conn) error {
	return func(conn net.Conn) error {
		_, err := io.WriteString(conn, begin)
		for err == nil && again != "" {
			time.Sleep(pause)
			_, err = io.WriteString(conn, again)
		}
		_, _ = io.Copy(io.Discard, conn) // until the client closes the connection
		return nil
	}
}

// A response to another request within the bounds is skipped, its bytes are counted, and the
// connection is kept.
func TestResponseToAnotherRequestWithinBounds(t *testing.T) {
	is := is.New(t)
	other := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: %d\r\n\r\n%s", skipBounds.bytes, strings.Repeat("x", skipBounds.bytes))
	u := newUpstream(t, other+answer("mine", "1"), other+answer("mine", "2"))
	c, opened := client(&fakeClock{now: time.Unix(1000, 0)})
	skipped := int64(0)
	c.o.OnSkip = func(n int64) { skipped += n }
	for _, want := range []string{"1", "2"} {
		got, err := get(t, c, u.l.Addr().String(), "")
		is.NoErr(err)
		is.Equal(got, want)
	}
	is.Equal(*opened, 1)
	is.Equal(skipped, int64(2*skipBounds.bytes))
}
