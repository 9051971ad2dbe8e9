package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// upstream sends the next of its responses to each request on any connection. An empty
// response closes the connection. One with the prefix "early " is sent before the request
// body is read.
type upstream struct {
	l            net.Listener
	group        errgroup.Group
	mu           sync.Mutex
	responses    []string
	conns        []net.Conn
	requestLines []string
}

func newUpstream(t *testing.T, responses ...string) *upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{l: l, responses: responses}
	u.group.Go(u.accept)
	t.Cleanup(func() {
		_ = l.Close()
		u.mu.Lock()
		for _, c := range u.conns {
			_ = c.Close()
		}
		u.mu.Unlock()
		_ = u.group.Wait()
	})
	return u
}

func (u *upstream) accept() error {
	for {
		c, err := u.l.Accept()
		if err != nil {
			return nil //nolint:nilerr // The listener was closed.
		}
		u.mu.Lock()
		u.conns = append(u.conns, c)
		u.mu.Unlock()
		u.group.Go(func() error {
			u.serve(c)
			return nil
		})
	}
}

func (u *upstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		text := u.next(req)
		early := strings.HasPrefix(text, "early ")
		if !early {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
		}
		if text == "" {
			return
		}
		if _, err := io.WriteString(c, strings.TrimPrefix(text, "early ")); err != nil {
			return
		}
		if early {
			_, _ = io.Copy(io.Discard, req.Body)
		}
	}
}

func (u *upstream) next(req *http.Request) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requestLines = append(u.requestLines, req.Method+" "+req.RequestURI+" "+req.Header.Get("User-Agent"))
	if len(u.responses) == 0 {
		return ""
	}
	text := u.responses[0]
	u.responses = u.responses[1:]
	return text
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// serveOnce serves one connection, closes it and checks that serve succeeded. It returns the
// address.
func serveOnce(t *testing.T, serve func(conn net.Conn) error) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close() }()
		return serve(conn)
	})
	t.Cleanup(func() {
		is.New(t).NoErr(group.Wait())
		_ = l.Close()
	})
	return l.Addr().String()
}

type fakeClock struct{ now time.Time }

// client returns a client and the number of connections that it has opened.
func client(c *fakeClock) (*Client, *int) {
	opened := 0
	return New(Options{
		KeepAlive: func(http.Header) time.Duration { return 0 },
		OnConnect: func() { opened++ },
		Clock:     func() time.Time { return c.now },
	}), &opened
}

func isMine(r *http.Response, _ bool) bool { return r.Header.Get("Id") == "mine" }

func get(t *testing.T, c *Client, address string, body string) (string, error) {
	t.Helper()
	return getWith(t, c, address, body, nil)
}

// getWith is get with a function that is called with the head of each response.
func getWith(t *testing.T, c *Client, address string, body string, onResponse func(*http.Response)) (string, error) {
	t.Helper()
	req := &http.Request{Method: http.MethodPost, URL: &url.URL{Opaque: "/a%2Fb?q"}, Host: "h", Header: http.Header{"User-Agent": {""}}}
	req.Body = io.NopCloser(strings.NewReader(body))
	req.ContentLength = int64(len(body))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	a, err := c.Do(ctx, Call{Address: address, Request: req, Matches: isMine, OnResponse: onResponse})
	if err != nil {
		return "", err
	}
	data, err := io.ReadAll(a)
	a.Close()
	return string(data), err
}

func TestConnectionReuse(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, answer("mine", "1"), answer("mine", "2"), answer("mine", "3"))
	now := &fakeClock{now: time.Unix(1000, 0)}
	c, opened := client(now)
	for _, want := range []string{"1", "2"} {
		got, err := get(t, c, u.l.Addr().String(), "")
		is.NoErr(err)
		is.Equal(got, want)
	}
	is.Equal(*opened, 1)
	is.Equal(u.requestLines[0], "POST /a%2Fb?q ") // the path is unchanged, and no User-Agent is added
	now.now = now.now.Add(DefaultKeepAlive)
	_, err := get(t, c, u.l.Addr().String(), "")
	is.NoErr(err)
	is.Equal(*opened, 2) // idle for too long
}

func TestSweep(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, answer("mine", "1"), answer("mine", "2"))
	c, opened := client(&fakeClock{now: time.Unix(1000, 0)})
	_, err := get(t, c, u.l.Addr().String(), "")
	is.NoErr(err)
	c.Sweep(func(string) bool { return false })
	_, err = get(t, c, u.l.Addr().String(), "")
	is.NoErr(err)
	is.Equal(*opened, 2)
}

// TestResponses covers complete, foreign and invalid responses, and whether the connection
// is reused afterwards.
func TestResponses(t *testing.T) {
	tests := []struct {
		name string
		text string
		body string
		want string
		// lost means that the call fails with a LostError.
		lost bool
		kept bool
	}{
		{name: "whole", text: answer("mine", "ok"), want: "ok", kept: true},
		{name: "after a response to another request", text: answer("other", "no") + answer("mine", "ok"), want: "ok", kept: true},
		{name: "followed by another response", text: answer("mine", "ok") + answer("mine", "ok"), want: "ok"},
		{name: "with Connection: close", text: "HTTP/1.1 200 OK\r\nId: mine\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", want: "ok"},
		{name: "after an interim response", text: "HTTP/1.1 100 Continue\r\n\r\n" + answer("mine", "ok"), want: "ok", kept: true},
		{name: "only responses to other requests", text: strings.Repeat(answer("other", "no"), maxSkipped), lost: true},
		{name: "nonsense", text: "what?\r\n\r\n", lost: true},
		{name: "none", text: "", lost: true},
		{name: "before a long body was read", text: "early " + answer("mine", "ok"), body: strings.Repeat("x", 8<<20), want: "ok"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := newUpstream(t, tt.text, answer("mine", "2"))
			c, opened := client(&fakeClock{now: time.Unix(1000, 0)})
			got, err := get(t, c, u.l.Addr().String(), tt.body)
			var lost *LostError
			is.Equal(errors.As(err, &lost), tt.lost)
			if tt.lost {
				return
			}
			is.NoErr(err)
			is.Equal(got, tt.want)
			got, err = get(t, c, u.l.Addr().String(), "")
			is.NoErr(err)
			is.Equal(got, "2")
			is.Equal(*opened == 1, tt.kept)
		})
	}
}

// TestTruncatedBody checks that a truncated body is an error and not the end of the body.
func TestTruncatedBody(t *testing.T) {
	is := is.New(t)
	address := serveOnce(t, func(conn net.Conn) error {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return err
		}
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 9\r\n\r\nhalf")
		return err
	})
	c, _ := client(&fakeClock{now: time.Unix(1000, 0)})
	got, err := get(t, c, address, "")
	is.Equal(got, "half")
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

// TestUnsent checks that a refused connection is reported as an UnsentError.
func TestUnsent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	c, _ := client(&fakeClock{now: time.Unix(1000, 0)})
	_, err = get(t, c, l.Addr().String(), "")
	var unsent *UnsentError
	is.True(errors.As(err, &unsent))
}

// TestCancel checks that the end of the context ends the exchange and closes its connection.
func TestCancel(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var group errgroup.Group
	got := make(chan struct{})
	group.Go(func() error {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		br := bufio.NewReader(conn)
		if _, err := http.ReadRequest(br); err != nil {
			return err
		}
		close(got)
		_, err = br.ReadByte() // until the other side closes
		if !errors.Is(err, io.EOF) && !strings.Contains(err.Error(), "reset") {
			return err
		}
		return conn.Close()
	})
	c, _ := client(&fakeClock{now: time.Unix(1000, 0)})
	ctx, cancel := context.WithCancel(context.Background())
	group.Go(func() error {
		<-got
		cancel()
		return nil
	})
	req := &http.Request{Method: http.MethodGet, URL: &url.URL{Opaque: "/"}, Host: "h", Header: http.Header{}}
	_, err = c.Do(ctx, Call{Address: l.Addr().String(), Request: req, Matches: isMine})
	var lost *LostError
	is.True(errors.As(err, &lost))
	is.True(errors.Is(err, context.Canceled))
	is.NoErr(group.Wait())
	is.NoErr(l.Close())
}

// TestIdleLimit checks that a connection which the upstream dropped sooner than announced
// limits the idle time of other connections for some time.
func TestIdleLimit(t *testing.T) {
	is := is.New(t)
	ok := answer("r-1", "a")
	u := newUpstream(t, ok, "", ok, ok, ok, ok)
	cl := &fakeClock{now: time.Unix(1000, 0)}
	opened := 0
	c := New(Options{
		KeepAlive: func(http.Header) time.Duration { return time.Minute },
		OnConnect: func() { opened++ },
		Clock:     func() time.Time { return cl.now },
	})
	call := func(pause time.Duration) error {
		cl.now = cl.now.Add(pause)
		req := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Host: "h", Header: http.Header{}}
		a, err := c.Do(context.Background(), Call{Address: u.l.Addr().String(), Request: req, Matches: func(*http.Response, bool) bool { return true }})
		if err != nil {
			return err
		}
		_, err = io.ReadAll(a)
		a.Close()
		return err
	}
	is.NoErr(call(0))
	is.True(call(600*time.Millisecond) != nil) // dropped by the upstream
	is.NoErr(call(0))
	is.Equal(opened, 2)
	is.NoErr(call(250 * time.Millisecond)) // within half of that idle time
	is.Equal(opened, 2)
	is.NoErr(call(400 * time.Millisecond)) // above it
	is.Equal(opened, 3)
	is.NoErr(call(idleLimitTTL + time.Second)) // the limit has expired
	is.Equal(opened, 3)
}

// A request on a reused connection that fails long after it was sent says nothing about idle
// connections: its upstream crashed while it ran the request. Without this distinction, one
// crash made a gateway open new connections to all upstreams for ten seconds.
func TestIdleLimitIgnoresLateFailures(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
		want  time.Duration
	}{
		{"reset at once", 0, 500 * time.Millisecond},
		{"reset within a round trip", maxResetDelay, 500 * time.Millisecond},
		{"lost while it ran", maxResetDelay + time.Millisecond, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := newUpstream(t, answer("mine", "1"), "")
			now := time.Unix(1000, 0)
			c := New(Options{
				KeepAlive: func(http.Header) time.Duration { return time.Minute },
				OnConnect: func() {},
				Clock:     func() time.Time { return now },
			})
			a, err := begin(c, u.l.Addr().String())
			is.NoErr(err)
			is.NoErr(end(a))
			now = now.Add(time.Second)
			readings := 0
			c.o.Clock = func() time.Time {
				// The reading after those for reuse and sending is that after the failure.
				if readings++; readings > 2 {
					return now.Add(tt.after)
				}
				return now
			}
			_, err = begin(c, u.l.Addr().String())
			is.True(err != nil)
			is.Equal(c.limit.current(now, u.l.Addr().String()), tt.want)
		})
	}
}

// Bytes without end on a reused connection say nothing about idle connections. Three upstreams
// that sent them made a gateway open new connections to all others.
func TestIdleLimitIgnoresBytesWithoutEnd(t *testing.T) {
	tests := []struct {
		name string
		text string
		want time.Duration
	}{
		{"dropped", "", 500 * time.Millisecond},
		{"head", strings.Repeat("x", 2*headBounds.bytes), 0},
		{"response to another request", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 900000000000\r\n\r\n", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := newUpstream(t, answer("mine", "1"), tt.text)
			now := &fakeClock{now: time.Unix(1000, 0)}
			c, _ := client(now)
			a, err := begin(c, u.l.Addr().String())
			is.NoErr(err)
			is.NoErr(end(a))
			now.now = now.now.Add(time.Second)
			_, err = begin(c, u.l.Addr().String())
			is.True(err != nil)
			is.Equal(c.limit.current(now.now, u.l.Addr().String()), tt.want)
		})
	}
}

// The limit that is learned from one upstream applies to all only once several of them drop
// connections. Two upstreams that reset answers made a gateway open new connections to all
// others.
func TestIdleLimitOfOtherUpstreams(t *testing.T) {
	tests := []struct {
		name string
		// drops are the addresses at which connections were dropped, a second apart.
		drops []string
		// after is the time since the last drop.
		after time.Duration
		own   time.Duration
		other time.Duration
	}{
		{"none", nil, 0, 0, 0},
		{"one", []string{"a"}, 0, 500 * time.Millisecond, 0},
		{"one again", []string{"a", "a", "a"}, 0, 500 * time.Millisecond, 0},
		{"two", []string{"a", "b"}, 0, 500 * time.Millisecond, 0},
		{"three", []string{"a", "b", "c"}, 0, 500 * time.Millisecond, 500 * time.Millisecond},
		{"three, long ago", []string{"a", "b", "c"}, idleLimitTTL + time.Second, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var l idleLimit
			now := time.Unix(1000, 0)
			for _, address := range tt.drops {
				now = now.Add(time.Second)
				l.recordReset(now, address, time.Second)
			}
			now = now.Add(tt.after)
			is.Equal(l.current(now, "a"), tt.own)
			is.Equal(l.current(now, "z"), tt.other)
		})
	}
}
