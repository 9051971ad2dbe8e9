package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// begin sends a request and returns its answer, whose connection stays in use until Close.
func begin(c *Client, address string) (*Answer, error) {
	req := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Host: "h", Header: http.Header{}}
	return c.Do(context.Background(), Call{Address: address, Request: req, Matches: isMine})
}

// end reads the answer and returns its connection to the pool.
func end(a *Answer) error {
	_, err := io.ReadAll(a)
	a.Close()
	return err
}

// An idle connection counts only until it expires: after the time that the upstream states,
// less a margin, after the default without such a statement, or after the learned limit.
// Otherwise upstreams would be preferred for connections that cannot be used.
func TestHasIdle(t *testing.T) {
	t0 := time.Unix(1000, 0)
	tests := []struct {
		name      string
		keepAlive time.Duration
		// resetAfter is the idle time after which another connection was reset; 0 for none.
		resetAfter time.Duration
		idle       time.Duration
		want       bool
	}{
		{name: "just answered", want: true},
		{name: "before the default", idle: DefaultKeepAlive - time.Millisecond, want: true},
		{name: "at the default", idle: DefaultKeepAlive},
		{name: "before the stated time", keepAlive: 10 * time.Second, idle: 9*time.Second - time.Millisecond, want: true},
		{name: "within the margin of the stated time", keepAlive: 10 * time.Second, idle: 9 * time.Second},
		{name: "short stated time", keepAlive: time.Second, idle: 500 * time.Millisecond},
		{name: "below the learned limit", resetAfter: time.Second, idle: 500 * time.Millisecond, want: true},
		{name: "above the learned limit", resetAfter: time.Second, idle: 501 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := newUpstream(t, answer("mine", "1"))
			c := New(Options{
				KeepAlive: func(http.Header) time.Duration { return tt.keepAlive },
				OnConnect: func() {},
				Clock:     func() time.Time { return t0 },
			})
			address := u.l.Addr().String()
			is.True(!c.HasIdle(t0, address)) // none is open
			a, err := begin(c, address)
			is.NoErr(err)
			is.True(!c.HasIdle(t0, address)) // in use
			is.NoErr(end(a))
			c.limit.recordReset(t0, address, tt.resetAfter)
			is.Equal(c.HasIdle(t0.Add(tt.idle), address), tt.want)
			is.True(!c.HasIdle(t0, "127.0.0.1:1")) // another address
		})
	}
}

// Idle connections are kept while those in use leave room for them within the bound, and the
// longest-idle ones are closed first. Without the bound the gateways together would open
// more connections than the upstream accepts.
func TestBoundOfConnections(t *testing.T) {
	tests := []struct {
		name    string
		maxOpen int
		// requests are answered in this order, pauses apart; held stay in use.
		requests, held int
		// kept lists the remaining idle connections by the order in which they were returned.
		kept []int
	}{
		{name: "no bound", requests: 4, kept: []int{0, 1, 2, 3}},
		{name: "below the bound", maxOpen: 4, requests: 4, kept: []int{0, 1, 2, 3}},
		{name: "longest-idle ones are closed", maxOpen: 2, requests: 4, kept: []int{2, 3}},
		{name: "connections in use count", maxOpen: 3, requests: 4, held: 2, kept: []int{3}},
		{name: "all of the bound in use", maxOpen: 2, requests: 2, held: 2},
		{name: "more in use than the bound", maxOpen: 1, requests: 3, held: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := newUpstream(t, slices.Repeat([]string{answer("mine", "1")}, tt.requests+tt.held)...)
			clock := &fakeClock{now: time.Unix(1000, 0)}
			c, opened := client(clock)
			c.o.MaxOpen = func(string) int { return tt.maxOpen }
			address := u.l.Addr().String()
			answers := make([]*Answer, tt.requests+tt.held)
			for i := range answers {
				a, err := begin(c, address)
				is.NoErr(err)
				answers[i] = a
			}
			is.Equal(*opened, len(answers)) // the bound closes idle connections, and denies none
			for _, a := range answers[:tt.requests] {
				clock.now = clock.now.Add(time.Millisecond)
				is.NoErr(end(a))
			}
			var kept []int
			for _, cn := range c.idle[address] {
				kept = append(kept, slices.IndexFunc(answers, func(a *Answer) bool { return a.conn == cn }))
			}
			is.Equal(kept, tt.kept)
			is.Equal(c.inUse[address], tt.held)
			for _, a := range answers[tt.requests:] {
				a.Abort()
				a.Abort() // a second call releases nothing
			}
			is.Equal(len(c.inUse), 0)
		})
	}
}

// A bound that shrinks, because gateways were added, closes idle connections at the next
// sweep and not only when the next one is returned.
func TestSweepAppliesBound(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, slices.Repeat([]string{answer("mine", "1")}, 3)...)
	c, _ := client(&fakeClock{now: time.Unix(1000, 0)})
	maxOpen := 3
	c.o.MaxOpen = func(string) int { return maxOpen }
	address := u.l.Addr().String()
	var answers []*Answer
	for range 3 {
		a, err := begin(c, address)
		is.NoErr(err)
		answers = append(answers, a)
	}
	for _, a := range answers {
		is.NoErr(end(a))
	}
	all := func(string) bool { return true }
	c.Sweep(all)
	is.Equal(len(c.idle[address]), 3)
	maxOpen = 1
	c.Sweep(all)
	is.Equal(len(c.idle[address]), 1)
	is.Equal(c.idle[address][0], answers[2].conn) // the one that was returned last
}

// A connection that receives bytes, or is closed by its upstream, while it is idle is closed at the
// next sweep. It took up to the connection's expiry, in which an upstream could send on.
func TestSweepClosesConnectionsWithData(t *testing.T) {
	tests := []struct {
		name string
		do   func(conn net.Conn) error
		kept int
	}{
		{"silent", func(net.Conn) error { return nil }, 1},
		{"bytes", func(conn net.Conn) error { _, err := io.WriteString(conn, "x"); return err }, 0},
		{"closed", func(conn net.Conn) error { return conn.Close() }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := newUpstream(t, answer("mine", "1"))
			c, _ := client(&fakeClock{now: time.Unix(1000, 0)})
			address := u.l.Addr().String()
			a, err := begin(c, address)
			is.NoErr(err)
			is.NoErr(end(a))
			u.mu.Lock()
			is.NoErr(tt.do(u.conns[0]))
			u.mu.Unlock()
			for range 500 {
				c.Sweep(func(string) bool { return true })
				if len(c.idle[address]) == tt.kept {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			is.Equal(len(c.idle[address]), tt.kept)
		})
	}
}

// A connection that the upstream closes while it is idle is not used: the request goes out
// on a new one, and the closed one counts as idle no longer.
func TestUpstreamClosesEarly(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, answer("mine", "1"), answer("mine", "2"))
	now := time.Unix(1000, 0)
	c, opened := client(&fakeClock{now: now})
	address := u.l.Addr().String()
	a, err := begin(c, address)
	is.NoErr(err)
	is.NoErr(end(a))
	u.mu.Lock()
	is.NoErr(u.conns[0].Close())
	u.mu.Unlock()
	for healthy(a.conn.Conn) {
		time.Sleep(time.Millisecond) // until the end of the connection has arrived
	}
	is.True(c.HasIdle(now, address)) // not known yet
	b, err := begin(c, address)
	is.NoErr(err)
	is.Equal(*opened, 2)
	is.True(!c.HasIdle(now, address)) // the only open connection is in use
	is.NoErr(end(b))
	is.True(c.HasIdle(now, address))
}

// A connection that is reset on its first use after an idle time fails the request as lost,
// shortens the idle limit, and leaves neither an idle connection nor one in use behind.
func TestResetOnFirstUse(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, answer("mine", "1"), "", answer("mine", "3"))
	clock := &fakeClock{now: time.Unix(1000, 0)}
	c, opened := client(clock)
	reused := 0
	c.o.OnReuse = func() { reused++ }
	address := u.l.Addr().String()
	a, err := begin(c, address)
	is.NoErr(err)
	is.NoErr(end(a))
	clock.now = clock.now.Add(time.Second)
	is.True(c.HasIdle(clock.now, address))
	_, err = begin(c, address)
	var lost *LostError
	is.True(errors.As(err, &lost))
	is.Equal(c.limit.current(clock.now, address), 500*time.Millisecond)
	is.True(!c.HasIdle(clock.now, address))
	is.Equal(len(c.inUse), 0)
	a, err = begin(c, address)
	is.NoErr(err)
	is.NoErr(end(a))
	is.Equal(*opened, 2)
	is.Equal(reused, 1)
	is.True(c.HasIdle(clock.now.Add(500*time.Millisecond), address))
	is.True(!c.HasIdle(clock.now.Add(501*time.Millisecond), address))
}

// Concurrent requests, queries and sweeps leave consistent counts: every connection is either
// opened or reused, none stays in use, and the idle ones respect the bound.
func TestConcurrentUse(t *testing.T) {
	is := is.New(t)
	const workers, requests, maxOpen = 8, 40, 3
	u := newUpstream(t, slices.Repeat([]string{answer("mine", "1")}, workers*requests)...)
	now := time.Unix(1000, 0)
	counts := make(chan int, 2*workers*requests)
	c := New(Options{
		KeepAlive: func(http.Header) time.Duration { return 0 },
		OnConnect: func() { counts <- 1 },
		OnReuse:   func() { counts <- 0 },
		MaxOpen:   func(string) int { return maxOpen },
		Clock:     func() time.Time { return now },
	})
	address := u.l.Addr().String()
	var group errgroup.Group
	for i := range workers {
		group.Go(func() error {
			for j := range requests {
				a, err := begin(c, address)
				if err != nil {
					return err
				}
				c.HasIdle(now, address)
				if (i+j)%5 == 0 {
					a.Abort()
					continue
				}
				if err := end(a); err != nil {
					return err
				}
				c.Sweep(func(string) bool { return j%7 != 0 })
			}
			return nil
		})
	}
	is.NoErr(group.Wait())
	is.Equal(len(counts), workers*requests)
	is.Equal(len(c.inUse), 0)
	is.True(len(c.idle[address]) <= maxOpen)
}
