package exchange

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// An upstream whose response has a head without an end fails the exchange after a bounded number
// of bytes. They were all kept in memory until the deadline of the request.
func TestHeadWithoutEnd(t *testing.T) {
	tests := []struct {
		name  string
		begin string
		// again is repeated as long as the client reads.
		again string
	}{
		{"status line", "", "x"},
		{"status line of HTTP", "HTTP/1.1 200 ", "x"},
		{"field", "HTTP/1.1 200 OK\r\nA: ", "x"},
		{"folded field", "HTTP/1.1 200 OK\r\nA: 1\r\n", " x\r\n"},
		{"fields", "HTTP/1.1 200 OK\r\n", "A: 1\r\n"},
		{"interim response", "HTTP/1.1 103 Early Hints\r\n", "A: 1\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address := serveOnce(t, endless(tt.begin, tt.again))
			c, _ := client(&fakeClock{now: time.Unix(1000, 0)})
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			req := &http.Request{Method: http.MethodGet, URL: &url.URL{Opaque: "/"}, Host: "h", Header: http.Header{}}
			_, err := c.Do(ctx, Call{Address: address, Request: req, Matches: isMine})
			var lost *LostError
			is.True(errors.As(err, &lost))
			is.True(errors.Is(err, ErrHeadTooLarge))
		})
	}
}

// endless returns a function that sends a text, and another one again until the connection is
// closed.
func endless(begin, again string) func(net.Conn) error {
	return func(conn net.Conn) error {
		_, err := io.WriteString(conn, begin)
		block := bytes.Repeat([]byte(again), 4<<10/len(again))
		for err == nil {
			_, err = conn.Write(block)
		}
		return nil
	}
}

// An upstream that begins a head and sends the rest byte by byte, or not at all, fails the exchange
// soon. Its caller waited until the deadline of the request.
func TestSlowHead(t *testing.T) {
	const pause = 20 * time.Millisecond
	tests := []struct {
		name  string
		begin string
		again string
	}{
		{"status line", "", "H"},
		{"status line of HTTP", "HTTP/1.1 200 ", "x"},
		{"field", "HTTP/1.1 200 OK\r\nA: ", "x"},
		{"interim response", "HTTP/1.1 103 Early Hints\r\nA: ", "x"},
		{"nothing more", "HTTP/1.1 200 OK\r\nA: ", ""},
		{"behind a response to another request", answer("other", "no") + "HTTP/1.1 200 OK\r\nA: ", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c, _ := client(&fakeClock{now: time.Unix(1000, 0)})
			began := time.Now()
			_, err := get(t, c, serveOnce(t, trickle(tt.begin, tt.again, pause)), "")
			var lost *LostError
			is.True(errors.As(err, &lost))
			is.True(errors.Is(err, ErrHeadTooSlow))
			is.True(time.Since(began) < 5*time.Second) // not only at the deadline of get
		})
	}
}

// The time of a head begins with its first byte: an upstream may take longer to answer, and to
// send the body of its answer.
func TestTimeOfHeadBeginsWithFirstByte(t *testing.T) {
	is := is.New(t)
	address := serveOnce(t, func(conn net.Conn) error {
		for _, text := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 200 OK\r\n", "Id: mine\r\nContent-Length: 2\r\n\r\n", "ok"} {
			if _, err := io.WriteString(conn, text); err != nil {
				return err
			}
			if !strings.HasSuffix(text, "OK\r\n") {
				time.Sleep(headBounds.time * 3 / 2)
			}
		}
		return nil
	})
	c, _ := client(&fakeClock{now: time.Unix(1000, 0)})
	got, err := get(t, c, address, "")
	is.NoErr(err)
	is.Equal(got, "ok")
}

// The lines that frame the chunks of a body, and its trailers, are bounded as well.
func TestChunksWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := []struct {
		name  string
		begin string
		again string
	}{
		{"size of a chunk", head, "0"},
		{"extension of a chunk", head + "1;a=", "x"},
		{"trailer", head + "0\r\nA: ", "x"},
		{"trailers", head + "0\r\n", "A: 1\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address := serveOnce(t, endless(tt.begin, tt.again))
			c, _ := client(&fakeClock{now: time.Unix(1000, 0)})
			began := time.Now()
			_, err := get(t, c, address, "")
			is.True(err != nil)
			is.True(time.Since(began) < 5*time.Second) // not only at the deadline of get
		})
	}
}

// A head within the bound is read, and each response on a connection has a bound of its own.
func TestHeadWithinBound(t *testing.T) {
	is := is.New(t)
	large := "HTTP/1.1 200 OK\r\nId: mine\r\nA: " + strings.Repeat("x", headBounds.bytes-100) + "\r\nContent-Length: 2\r\n\r\nok"
	u := newUpstream(t, large, large, answer("mine", "3"))
	c, opened := client(&fakeClock{now: time.Unix(1000, 0)})
	for _, want := range []string{"ok", "ok", "3"} {
		got, err := get(t, c, u.l.Addr().String(), "")
		is.NoErr(err)
		is.Equal(got, want)
	}
	is.Equal(*opened, 1)
}
