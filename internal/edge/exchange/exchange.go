// Package exchange carries one request to one upstream and its answer back.
//
// Its connections tell what a general HTTP client hides and a router must
// know: whether a byte of the request was written at all, whether an answer
// belongs to another request, and whether a kept connection has said something
// since. The reading and writing of messages is net/http's.
//
// # Usage
//
//	c := exchange.New(options)
//	a, err := c.Do(ctx, address, req, func(r *http.Response) bool { … })
//	var sent *exchange.LostError
//	if errors.As(err, &sent) { … } // it may have run
//	defer a.Close()
package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Bounds of connections.
const (
	// DefaultDial is how long a connection may take to come up. Hosts of a
	// region are a few milliseconds apart; a lost opening packet is sent again
	// only after a second, and by then another upstream has the request.
	DefaultDial = 300 * time.Millisecond
	// DefaultKeep is how long an idle connection is kept if the upstream does
	// not say.
	DefaultKeep = 4 * time.Second
	// keepMargin is subtracted from what the upstream says, so that a request
	// does not meet the close on its way.
	keepMargin = time.Second
	// silentAfter is how long sent bytes may go unacknowledged.
	silentAfter = 1500 * time.Millisecond
	// maxForeign is the number of answers to other requests that are skipped
	// on one connection.
	maxForeign  = 4
	bufferBytes = 4 << 10
	// drainBytes is what is read of a body to keep its connection.
	drainBytes = 16 << 10
)

// UnsentError says that nothing of the request was written, so that it cannot
// have run.
type UnsentError struct{ Cause error }

// Error returns the cause.
func (e *UnsentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// LostError says that the request was sent, wholly or in part, and that no
// answer came. It may have run.
type LostError struct{ Cause error }

// Error returns the cause.
func (e *LostError) Error() string { return "no answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// Options are the settings of a client.
type Options struct {
	// KeepFor returns how long the upstream keeps the connection; 0 if it does
	// not say.
	KeepFor func(h http.Header) time.Duration
	// Opened is told of each new connection.
	Opened func()
	Clock  func() time.Time
}

// Client holds the kept connections to all upstreams. It is safe for
// concurrent use.
type Client struct {
	o      Options
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*conn
}

// New returns a client without connections.
func New(o Options) *Client {
	return &Client{
		o:      o,
		dialer: net.Dialer{Timeout: DefaultDial, Control: abandonSilent},
		idle:   make(map[string][]*conn),
	}
}

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	address string
	br      *bufio.Reader
	until   time.Time
	fresh   bool
}

// Answer is an upstream's answer. Its body is read by the caller, who closes
// it in any case.
type Answer struct {
	*http.Response
	client *Client
	conn   *conn
	stop   func() bool
	writer *errgroup.Group
	sent   *atomic.Bool
	body   *bodyState
}

// bodyState notes whether the whole body was read.
type bodyState struct {
	io.Reader
	whole bool
}

// Read reads the body.
func (b *bodyState) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		b.whole = true
	}
	return n, err
}

// Do sends the request and waits for the head of its answer. Own reports
// whether an answer belongs to the request. The end of the context closes the
// connection, also while the body is read.
func (c *Client) Do(ctx context.Context, address string, req *http.Request, own func(*http.Response) bool) (*Answer, error) {
	cn, err := c.connect(ctx, address)
	if err != nil {
		return nil, &UnsentError{Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	a, err := c.exchange(cn, req, own)
	if err != nil {
		stop()
		_ = cn.Close()
		if ctx.Err() != nil && errors.Is(err, net.ErrClosed) {
			err = &LostError{Cause: errors.WithStack(context.Cause(ctx))}
		}
		return nil, err
	}
	a.stop = stop
	return a, nil
}

// connect takes a kept connection or opens a new one.
func (c *Client) connect(ctx context.Context, address string) (*conn, error) {
	if cn := c.take(address); cn != nil {
		return cn, nil
	}
	nc, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	c.o.Opened()
	return &conn{Conn: nc, address: address, br: bufio.NewReaderSize(nc, bufferBytes), fresh: true}, nil
}

// take returns the connection that was used last, if it is still sound.
func (c *Client) take(address string) *conn {
	for {
		cn := c.pop(address)
		if cn == nil {
			return nil
		}
		if c.o.Clock().Before(cn.until) && cn.br.Buffered() == 0 && quiet(cn.Conn) {
			return cn
		}
		_ = cn.Close()
	}
}

func (c *Client) pop(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	list[len(list)-1] = nil
	c.idle[address] = list[:len(list)-1]
	return cn
}

func (c *Client) keep(cn *conn, d time.Duration) {
	if d == 0 {
		d = DefaultKeep
	} else {
		d -= min(keepMargin, d/2)
	}
	cn.until = c.o.Clock().Add(d)
	cn.fresh = false
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[cn.address] = append(c.idle[cn.address], cn)
}

// Sweep closes connections that were idle for too long, and all of addresses
// that are no longer wanted.
func (c *Client) Sweep(wanted func(address string) bool) {
	now := c.o.Clock()
	var closing []*conn
	c.mu.Lock()
	for address, list := range c.idle {
		if !wanted(address) {
			closing = append(closing, list...)
			delete(c.idle, address)
			continue
		}
		kept := list[:0]
		for _, cn := range list {
			if now.Before(cn.until) {
				kept = append(kept, cn)
			} else {
				closing = append(closing, cn)
			}
		}
		c.idle[address] = kept
	}
	c.mu.Unlock()
	for _, cn := range closing {
		_ = cn.Close()
	}
}

// countingWriter notes whether a byte was written.
type countingWriter struct {
	io.Writer
	n int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.n += int64(n)
	return n, err
}

// exchange writes the request while it reads the answer: an upstream may
// answer before it has read a long body.
func (c *Client) exchange(cn *conn, req *http.Request, own func(*http.Response) bool) (*Answer, error) {
	w := &countingWriter{Writer: cn.Conn}
	writer := new(errgroup.Group)
	sent := new(atomic.Bool)
	write := func() error {
		bw := bufio.NewWriterSize(w, bufferBytes)
		if err := req.Write(bw); err != nil {
			return errors.WithStack(err)
		}
		if err := bw.Flush(); err != nil {
			return errors.WithStack(err)
		}
		sent.Store(true)
		return nil
	}
	if req.ContentLength >= 0 && req.ContentLength <= bufferBytes {
		if err := write(); err != nil {
			return nil, writeError(w, err)
		}
	} else {
		writer.Go(write)
	}
	resp, err := readHead(cn, req, own) //nolint:bodyclose // Answer closes it with its connection.
	if err != nil {
		_ = cn.Close()
		if werr := writer.Wait(); werr != nil && w.n == 0 {
			return nil, &UnsentError{Cause: werr}
		}
		return nil, &LostError{Cause: err}
	}
	body := &bodyState{Reader: resp.Body}
	return &Answer{Response: resp, client: c, conn: cn, writer: writer, sent: sent, body: body}, nil
}

func writeError(w *countingWriter, err error) error {
	if w.n == 0 {
		return &UnsentError{Cause: err}
	}
	return &LostError{Cause: err}
}

// readHead returns the first answer that belongs to the request.
func readHead(cn *conn, req *http.Request, own func(*http.Response) bool) (*http.Response, error) {
	for range maxForeign {
		resp, err := http.ReadResponse(cn.br, req)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if own(resp) {
			return resp, nil
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return nil, errors.Wrap(err, "answer to another request")
		}
		if resp.Close {
			return nil, errors.New("only answers to other requests")
		}
	}
	return nil, errors.New("too many answers to other requests")
}

// Read reads the body of the answer.
func (a *Answer) Read(p []byte) (int, error) { return a.body.Read(p) }

// Close ends the exchange. The connection is kept only if both the request
// and the answer went through whole.
func (a *Answer) Close() {
	if !a.body.whole && a.ContentLength >= 0 && a.ContentLength <= drainBytes {
		_, _ = io.CopyN(io.Discard, a.body, a.ContentLength+1)
	}
	// An upstream may answer before it has read a long body; what is left of
	// the body would meet the next request.
	keep := a.body.whole && a.sent.Load() && !a.Response.Close && a.conn.br.Buffered() == 0
	if !a.stop() || !keep {
		_ = a.conn.Close()
		_ = a.writer.Wait()
		return
	}
	a.client.keep(a.conn, a.client.o.KeepFor(a.Header))
}

// Abort ends the exchange and closes its connection, so that the upstream
// stops its work.
func (a *Answer) Abort() {
	a.stop()
	_ = a.conn.Close()
	_ = a.writer.Wait()
}
