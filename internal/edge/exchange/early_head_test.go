package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// unframedHead is the head of an answer that ends with its connection, and firstPart what an
	// upstream sends of its body before it reads the body of the request.
	unframedHead = "HTTP/1.1 200 OK\r\nId: mine\r\nConnection: close\r\n\r\n"
	firstPart    = "the first part"
)

// The head of an answer was not looked at while the write of a long body waited for an upstream
// that reads on later, so that callers got no answer in their time.
func TestHeadBesideWaitingWrite(t *testing.T) {
	is := is.New(t)
	// fillTime is more than it takes to fill the buffers between both.
	const fillTime, headTime = 300 * time.Millisecond, 1500 * time.Millisecond
	answered := make(chan struct{})
	address := serveOnce(t, func(conn net.Conn) error {
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return err
		}
		time.Sleep(fillTime)
		if _, err := io.WriteString(conn, unframedHead+firstPart); err != nil {
			return err
		}
		select {
		case <-answered:
		case <-time.After(2 * headTime):
		}
		_, _ = io.Copy(io.Discard, req.Body)
		return nil
	})
	c, _ := client(&fakeClock{now: time.Unix(1000, 0)})
	began := time.Now()
	a := post(t, c, address, endlessBody{})
	is.True(time.Since(began) < headTime)
	close(answered)
	a.Abort()
}

// The kernel closed the connection of an upstream that answers before it has read a long body and
// reads on later, since it took none of the body for the time after which a host counts as dead.
func TestUpstreamReadsOnLate(t *testing.T) {
	is := is.New(t)
	const rest = ", and the rest"
	address := serveOnce(t, func(conn net.Conn) error {
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return err
		}
		if _, err := io.WriteString(conn, unframedHead+firstPart); err != nil {
			return err
		}
		time.Sleep(2 * ackTimeout)
		if _, err := io.WriteString(conn, rest); err != nil {
			return err
		}
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, req.Body)
		return nil
	})
	c, _ := client(&fakeClock{now: time.Unix(1000, 0)})
	a := post(t, c, address, endlessBody{})
	got, err := io.ReadAll(a)
	is.NoErr(err)
	is.Equal(string(got), firstPart+rest)
	a.Abort()
}

// An upstream that has answered and takes nothing of the rest of the body must not hold up the next
// request of the caller until the deadline.
func TestUpstreamNeverReadsOn(t *testing.T) {
	is := is.New(t)
	over := make(chan struct{})
	address := serveOnce(t, func(conn net.Conn) error {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return err
		}
		_, err := io.WriteString(conn, answer("mine", "ok"))
		<-over
		return err
	})
	c, _ := client(&fakeClock{now: time.Unix(1000, 0)})
	a := post(t, c, address, endlessBody{})
	got, err := io.ReadAll(a)
	is.NoErr(err)
	is.Equal(string(got), "ok")
	began := time.Now()
	a.AwaitRequest(t.Context())
	is.True(time.Since(began) < 3*ackTimeout)
	is.True(!a.RequestWritten())
	a.Abort()
	close(over)
}

// endlessBody is a body that never ends.
type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }
func (endlessBody) Close() error               { return nil }

// post sends a request with a body of unknown length and returns its answer.
func post(t *testing.T, c *Client, address string, body io.ReadCloser) *Answer {
	t.Helper()
	req := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Opaque: "/"}, Host: "h", Header: http.Header{},
		Body: body, ContentLength: -1,
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	a, err := c.Do(ctx, Call{Address: address, Request: req, Matches: isMine})
	is.New(t).NoErr(err)
	return a
}
