// Package upstream calls the one upstream that an agent stands before.
//
// An answer that is a stream of server-sent events is cut at the events, which
// are its unit of offset: a broken stream can be continued at an event. Any
// other answer is passed on in bytes.
//
// # Usage
//
//	c := upstream.New(url, httpClient)
//	end := c.Do(ctx, call, func(p upstream.Piece) error { return pass(p) })
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/core/notice"
)

// Headers of the upstreams' protocol.
const (
	// ResumeHeader asks an engine to continue an answer at an event.
	ResumeHeader = "Resume-Offset"
	// PriorityHeader tells an engine the tier; 1 is the highest.
	PriorityHeader = "X-Priority"
	// FenceHeader carries the fence of an order.
	FenceHeader = "X-Fence"
)

// Sizes of an answer's parts.
const (
	maxEvent  = 1 << 20
	pieceSize = 16 << 10
)

// doneEvent ends a stream of server-sent events.
var doneEvent = []byte("data: [DONE]")

// Call is one request to the upstream.
type Call struct {
	Method  string
	Path    string
	Headers http.Header
	Body    []byte
	// Resume is the number of events that the caller has already.
	Resume int
}

// Piece is a part of the answer. The first has a Head.
type Piece struct {
	Head   *Head
	Offset int
	// Next is the offset of the piece that follows.
	Next   int
	Data   []byte
	Tokens int
}

// Head is the status and headers of an answer.
type Head struct {
	Status  int
	Headers http.Header
}

// Rest is how long the upstream wants nothing, by a refusal; 0 if it does not say.
func (h *Head) Rest() time.Duration {
	if h.Status != http.StatusServiceUnavailable {
		return 0
	}
	rest, _ := notice.ParseRetryAfter(h.Headers.Get("Retry-After"))
	return rest
}

// Ending is how a call ended.
type Ending int

// Endings of a call.
const (
	// Complete means that the whole answer was passed on.
	Complete Ending = iota + 1
	// Broken means that the upstream, or the caller, broke off.
	Broken
	// NotTaken means that the upstream certainly did not take the request.
	NotTaken
)

// End is the end of a call. Length is in events or bytes.
type End struct {
	Ending Ending
	Length int
	Err    error
}

// Client calls one upstream. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the upstream at base.
func New(base string, c *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: c}
}

// Do makes the call and passes on its pieces.
func (c *Client) Do(ctx context.Context, call Call, pass func(Piece) error) End {
	req, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, once{bytes.NewReader(call.Body)})
	if err != nil {
		return End{Ending: NotTaken, Err: errors.Wrap(err, "upstream request")}
	}
	req.ContentLength = int64(len(call.Body))
	req.Header = call.Headers.Clone()
	if call.Resume > 0 {
		req.Header.Set(ResumeHeader, strconv.Itoa(call.Resume))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return End{Ending: endingOf(err), Err: errors.Wrap(err, "upstream")}
	}
	defer func() { _ = resp.Body.Close() }()
	if err := pass(Piece{Head: &Head{Status: resp.StatusCode, Headers: resp.Header}, Offset: call.Resume}); err != nil {
		return End{Ending: Broken, Length: call.Resume, Err: err}
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return passEvents(resp.Body, call.Resume, pass)
	}
	return passBytes(resp.Body, pass)
}

// once is a body that cannot be read again. It keeps the transport from
// sending the request a second time by itself on a connection that broke.
type once struct{ io.Reader }

// endingOf tells an upstream that was never reached from one that broke off.
func endingOf(err error) Ending {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return NotTaken
	}
	return Broken
}

func passEvents(body io.Reader, offset int, pass func(Piece) error) End {
	r := bufio.NewReaderSize(body, pieceSize)
	for {
		event, err := readEvent(r)
		if err != nil {
			return End{Ending: Broken, Length: offset, Err: err}
		}
		done := bytes.HasPrefix(event, doneEvent)
		piece := Piece{Offset: offset, Next: offset + 1, Data: event, Tokens: 1}
		if done {
			piece.Tokens = 0
		}
		if err := pass(piece); err != nil {
			return End{Ending: Broken, Length: offset, Err: err}
		}
		offset++
		if done {
			return End{Ending: Complete, Length: offset}
		}
	}
}

// readEvent reads up to and with the blank line that ends an event.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(event) <= maxEvent {
			continue
		}
		if err != nil {
			return nil, errors.Wrap(err, "stream broke off")
		}
		if len(event) > maxEvent {
			return nil, errors.Newf("event is larger than %d bytes", maxEvent)
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
}

func passBytes(body io.Reader, pass func(Piece) error) End {
	offset := 0
	buf := make([]byte, pieceSize)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if passErr := pass(Piece{Offset: offset, Next: offset + n, Data: bytes.Clone(buf[:n])}); passErr != nil {
				return End{Ending: Broken, Length: offset, Err: passErr}
			}
			offset += n
		}
		if errors.Is(err, io.EOF) {
			return End{Ending: Complete, Length: offset}
		}
		if err != nil {
			return End{Ending: Broken, Length: offset, Err: errors.Wrap(err, "answer broke off")}
		}
	}
}

// Refuses reports whether nothing listens at the upstream's address any more.
func (c *Client) Refuses(ctx context.Context) bool {
	_, err := c.health(ctx)
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Healthy reports whether the upstream answers.
func (c *Client) Healthy(ctx context.Context) bool {
	status, err := c.health(ctx)
	return err == nil && status == http.StatusOK
}

// health returns the status of the upstream's answer on its health.
func (c *Client) health(ctx context.Context) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/healthz", nil)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode, nil
}
