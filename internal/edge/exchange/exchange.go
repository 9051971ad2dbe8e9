// Package exchange sends one request to one upstream and returns its response.
//
// It reports what a general HTTP client hides and a router must know: whether any byte of
// the request was written, whether a response belongs to another request, and whether an
// idle connection has received data. Messages are parsed and written by net/http.
//
// # Usage
//
//	c := exchange.New(options)
//	a, err := c.Do(ctx, exchange.Call{Address: address, Request: req, Matches: func(r *http.Response, first bool) bool { … }})
//	var lost *exchange.LostError
//	if errors.As(err, &lost) { … } // it may have run
//	defer a.Close()
package exchange

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/core/responsehead"
)

// DefaultDialTimeout is the time limit for opening a connection. Hosts of a region are a few
// milliseconds apart. A lost SYN is retransmitted only after a second, and by then the
// request has been sent to another upstream.
const DefaultDialTimeout = 300 * time.Millisecond

// bufferBytes is the size of the buffers of a connection, and the largest body that is written
// before the response is read.
const bufferBytes = 4 << 10

// Options are the settings of a client.
type Options struct {
	// KeepAlive returns how long the upstream keeps an idle connection open, from the
	// headers of its response; 0 if the upstream does not state it.
	KeepAlive func(h http.Header) time.Duration
	// OnConnect is called for each new connection, OnReuse for each idle one that is used
	// again. OnReuse may be nil.
	OnConnect func()
	OnReuse   func()
	// OnSkip is called with the number of bytes of each body that belongs to another request. It
	// may be nil.
	OnSkip func(n int64)
	// MaxOpen returns the number of connections to the address, in use and idle, up to which
	// idle ones are kept; 0 for no bound, and below 0 for no idle ones. It must be safe for concurrent use, and may be nil.
	MaxOpen func(address string) int
	// Clock returns the present time.
	Clock func() time.Time
}

// Client holds the idle connections to all upstreams. It is safe for concurrent use.
type Client struct {
	o      Options
	dialer net.Dialer
	mu     sync.Mutex
	// idle holds the idle connections by address, the longest idle first. inUse is the
	// number of connections that requests use.
	idle  map[string][]*conn
	inUse map[string]int
	limit idleLimit
}

// New returns a client without connections.
func New(o Options) *Client {
	return &Client{
		o:      o,
		dialer: net.Dialer{Timeout: DefaultDialTimeout, Control: setUserTimeout},
		idle:   make(map[string][]*conn),
		inUse:  make(map[string]int),
	}
}

// Call is one request to one upstream.
type Call struct {
	Address string
	Request *http.Request
	// Matches reports whether a response belongs to the request. It is the first one if nothing else
	// was answered on the connection: no late response to an earlier request can come before it.
	Matches func(resp *http.Response, first bool) bool
	// OnResponse is called with the head of each response on the connection, including
	// interim responses and those to other requests. It may be nil.
	OnResponse func(*http.Response)
	// Permitted is called once there is a connection, before the first byte is written. If
	// it returns false, the call fails with ErrWithheld. If it is nil, the request is always
	// sent.
	Permitted func() bool
}

// Do sends the request and waits for the head of its response. The connection is closed
// when the context ends, also while the body is read.
//
// A long body of the request is read by one goroutine until its end, or until the first read
// that returns after the exchange has ended. Do, Close and Abort don't wait for a read in
// progress: whoever provides the body ends it.
func (c *Client) Do(ctx context.Context, call Call) (*Answer, error) {
	cn, err := c.connect(ctx, call.Address)
	if err != nil {
		return nil, &UnsentError{Cause: err}
	}
	if call.Permitted != nil && !call.Permitted() {
		_ = cn.Close()
		return nil, &UnsentError{Cause: ErrWithheld}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	sentAt := c.o.Clock()
	a, err := c.exchange(cn, call)
	if err != nil {
		stop()
		_ = cn.Close()
		if ctx.Err() != nil && errors.Is(err, net.ErrClosed) {
			return nil, &LostError{Cause: errors.WithStack(context.Cause(ctx))}
		}
		if now := c.o.Clock(); ctx.Err() == nil && mayBeDropped(err) && now.Sub(sentAt) <= maxResetDelay {
			c.limit.recordReset(now, call.Address, cn.idle)
		}
		return nil, err
	}
	a.stop = stop
	return a, nil
}

// exchange writes the request and reads the head of the response. A long body is written
// concurrently: an upstream may respond before it has read all of it.
func (c *Client) exchange(cn *conn, call Call) (*Answer, error) {
	req := call.Request
	w := newRequestWriter(cn.Conn)
	if req.ContentLength < 0 || req.ContentLength > bufferBytes {
		w.start(req)
	} else if err := w.run(req); err != nil {
		return nil, w.failure(err)
	}
	resp, err := readHead(cn, call) //nolint:bodyclose // Answer closes it with its connection.
	if err == nil {
		err = w.respondedTo()
	}
	if err != nil {
		_ = cn.Close()
		return nil, w.failure(err)
	}
	// An upstream that answers before it has read the body is alive, however late it reads on. The
	// deadline of the request bounds that.
	if !w.complete() {
		if err := cn.setAckTimeout(0); err != nil {
			_ = cn.Close()
			return nil, w.failure(err)
		}
	}
	body := &bodyState{Reader: resp.Body, unframed: endsWithConnection(resp), request: w}
	return &Answer{Response: resp, client: c, conn: cn, writer: w, body: body}, nil
}

// endsWithConnection reports whether the body of a response has neither a length nor chunks.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// readHead returns the first response that belongs to the request. It fails if the head of a
// response exceeds its bounds or is invalid, or if more must be skipped than the bounds allow.
func readHead(cn *conn, call Call) (*http.Response, error) {
	skipped := newSkipper(cn)
	first := cn.idleSince.IsZero()
	for range maxSkipped {
		cn.limiter.begin(headBounds, cn.br.Buffered() > 0)
		resp, err := http.ReadResponse(cn.br, call.Request)
		cn.limiter.end()
		if err != nil {
			return nil, errors.WithStack(cmp.Or(cn.limiter.exceeded(), err))
		}
		if err := responsehead.Check(resp.StatusCode, resp.Header); err != nil {
			return nil, err
		}
		if call.OnResponse != nil {
			call.OnResponse(resp)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if call.Matches(resp, first) {
			return resp, nil
		}
		first = false
		if err := skipped.skip(resp); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("too many responses to other requests")
}
