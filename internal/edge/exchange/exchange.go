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
//	a, err := c.Do(ctx, exchange.Call{Address: address, Request: req, Own: func(r *http.Response) bool { … }})
//	var lost *exchange.LostError
//	if errors.As(err, &lost) { … } // it may have run
//	defer a.Close()
package exchange

import (
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

// DefaultDial is how long a connection may take to come up. Hosts of a region
// are a few milliseconds apart; a lost opening packet is sent again only after a
// second, and by then another upstream has the request.
const DefaultDial = 300 * time.Millisecond

const (
	// maxForeign is the number of answers to other requests that are skipped
	// on one connection, with interim ones.
	maxForeign = 4
	// bufferBytes is the size of the buffers of a connection, and the largest
	// body that is written before the answer is read.
	bufferBytes = 4 << 10
)

// Options are the settings of a client.
type Options struct {
	// KeepFor returns how long the upstream keeps the connection; 0 if it does
	// not say.
	KeepFor func(h http.Header) time.Duration
	// Opened is told of each new connection.
	Opened func()
	// Clock returns the present time.
	Clock func() time.Time
}

// Client holds the kept connections to all upstreams. It is safe for
// concurrent use.
type Client struct {
	o      Options
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*conn
	limit  idleLimit
}

// New returns a client without connections.
func New(o Options) *Client {
	return &Client{
		o:      o,
		dialer: net.Dialer{Timeout: DefaultDial, Control: abandonSilent},
		idle:   make(map[string][]*conn),
	}
}

// Call is one request to one upstream.
type Call struct {
	Address string
	Request *http.Request
	// Own reports whether an answer belongs to the request.
	Own func(*http.Response) bool
	// Seen is shown the head of each answer that comes on the connection, also of interim
	// ones and of those to other requests; nil for nobody.
	Seen func(*http.Response)
	// May is asked once there is a connection, before the first byte goes out; nil for
	// always. If not, the call ends with ErrWithheld.
	May func() bool
}

// Do sends the request and waits for the head of its answer. The end of the context
// closes the connection, also while the body is read.
func (c *Client) Do(ctx context.Context, call Call) (*Answer, error) {
	cn, err := c.connect(ctx, call.Address)
	if err != nil {
		return nil, &UnsentError{Cause: err}
	}
	if call.May != nil && !call.May() {
		_ = cn.Close()
		return nil, &UnsentError{Cause: ErrWithheld}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	a, err := c.exchange(cn, call)
	if err != nil {
		stop()
		_ = cn.Close()
		if ctx.Err() != nil && errors.Is(err, net.ErrClosed) {
			return nil, &LostError{Cause: errors.WithStack(context.Cause(ctx))}
		}
		if ctx.Err() == nil {
			c.limit.forgotten(c.o.Clock(), cn.idle)
		}
		return nil, err
	}
	a.stop = stop
	return a, nil
}

// exchange writes the request while it reads the answer: an upstream may
// answer before it has read a long body.
func (c *Client) exchange(cn *conn, call Call) (*Answer, error) {
	req := call.Request
	w := &countingWriter{Writer: cn.Conn}
	writer := new(errgroup.Group)
	sent := new(atomic.Bool)
	write := func() error {
		if err := writeRequest(w, req); err != nil {
			return err
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
	resp, err := readHead(cn, call) //nolint:bodyclose // Answer closes it with its connection.
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

// readHead returns the first answer that belongs to the request.
func readHead(cn *conn, call Call) (*http.Response, error) {
	for range maxForeign {
		resp, err := http.ReadResponse(cn.br, call.Request)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		if call.Seen != nil {
			call.Seen(resp)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if call.Own(resp) {
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
