// Package upstream calls the upstream of an agent.
//
// An event stream (server-sent events) is split into events, which are its unit of
// offset: an interrupted stream can be resumed at an event. Any other response is
// forwarded in bytes.
//
// # Usage
//
//	c := upstream.New(url, upstream.NewHTTPClient())
//	end := c.Do(ctx, call, func(p upstream.Chunk) error { return forward(p) })
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

	"github.com/gladegauge/gladegauge/internal/core/eventstream"
	"github.com/gladegauge/gladegauge/internal/core/notice"
	"github.com/gladegauge/gladegauge/internal/core/responsehead"
	"github.com/gladegauge/gladegauge/internal/edge/rpc"
	"github.com/gladegauge/gladegauge/internal/edge/socket"
)

// Headers of the protocol of upstreams.
const (
	// ResumeHeader asks an engine to resume a response at an event.
	ResumeHeader = "Resume-Offset"
	// PriorityHeader is the tier of the request; 1 is the highest.
	PriorityHeader = "X-Priority"
	// FenceHeader is the fencing token of an order.
	FenceHeader = "X-Fence"
)

// Limits of the parts of a response.
const (
	maxEventBytes  = 1 << 20
	maxLoggedBytes = 96
	maxStateBytes  = 1 << 20
	readBufferSize = 16 << 10
)

// doneData is the data of the last event of a stream.
const doneData = "[DONE]"

// Call is one request to the upstream.
type Call struct {
	Method  string
	Path    string
	Headers http.Header
	Body    []byte
	// ResumeOffset is the number of events that the caller has already received.
	ResumeOffset int
}

// Chunk is a part of a response. The first one has a Head.
type Chunk struct {
	Head   *Head
	Offset int
	// Next is the offset of the following chunk.
	Next   int
	Data   []byte
	Tokens int
}

// Head is the status and headers of a response.
type Head struct {
	Status  int
	Headers http.Header
}

// RetryAfter returns the backoff that a response with status 503 requests, or 0 if it
// requests none.
func (h *Head) RetryAfter() time.Duration {
	if h.Status != http.StatusServiceUnavailable {
		return 0
	}
	backoff, _ := notice.ParseRetryAfter(h.Headers.Get("Retry-After"))
	return backoff
}

// Result is how a call ended.
type Result int

// Results of a call.
const (
	// Complete means that the whole response was forwarded.
	Complete Result = iota + 1
	// Aborted means that the upstream or the caller closed the connection early.
	Aborted
	// NotAccepted means that the upstream certainly did not accept the request.
	NotAccepted
)

// End is the end of a call. Length is the length of the response in events or bytes.
type End struct {
	Result Result
	Length int
	Err    error
}

// Client calls one upstream. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewHTTPClient returns an HTTP client of one upstream. A response without length ends only if the
// upstream closes its connection. No connection is used twice: engines name no request in their
// responses, so that bytes behind one would be taken for the response to the next request.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:            dial,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: rpc.MaxHeaderBytes,
	}}
}

// dial opens a connection to the upstream.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err //nolint:wrapcheck // resultOf looks for errors of package net.
	}
	return socket.NewConn(nc), nil
}

// New returns a client for the upstream at base.
func New(base string, c *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: c}
}

// Do sends the request and forwards the chunks of the response. A response with an invalid head is
// not forwarded.
func (c *Client) Do(ctx context.Context, call Call, forward func(Chunk) error) End {
	req, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, oneShotBody{bytes.NewReader(call.Body)})
	if err != nil {
		return End{Result: NotAccepted, Err: errors.Wrap(err, "upstream request")}
	}
	req.ContentLength = int64(len(call.Body))
	req.Header = call.Headers.Clone()
	if call.ResumeOffset > 0 {
		req.Header.Set(ResumeHeader, strconv.Itoa(call.ResumeOffset))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return End{Result: resultOf(err), Err: errors.Wrap(err, "upstream")}
	}
	defer func() { _ = resp.Body.Close() }()
	if err := responsehead.Check(resp.StatusCode, resp.Header); err != nil {
		return End{Result: Aborted, Err: errors.Wrap(err, "upstream")}
	}
	if err := forward(Chunk{Head: &Head{Status: resp.StatusCode, Headers: resp.Header}, Offset: call.ResumeOffset}); err != nil {
		return End{Result: Aborted, Length: call.ResumeOffset, Err: err}
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return forwardEvents(resp.Body, call.ResumeOffset, forward)
	}
	return forwardBytes(resp.Body, forward)
}

// oneShotBody is a body that cannot be rewound. This prevents the transport from
// resending the request on its own when a connection breaks.
type oneShotBody struct{ io.Reader }

// resultOf distinguishes an upstream that was never reached from an interrupted call.
func resultOf(err error) Result {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return NotAccepted
	}
	return Aborted
}

// forwardEvents forwards the events of a stream, which are its unit of offset. Padding does not
// count. Bytes that no run made break the stream off: what follows may belong to another run.
func forwardEvents(body io.Reader, offset int, forward func(Chunk) error) End {
	events := eventScanner{r: bufio.NewReaderSize(body, readBufferSize)}
	for {
		data, isEvent, err := events.next()
		if err != nil {
			return End{Result: Aborted, Length: offset, Err: err}
		}
		chunk := Chunk{Offset: offset, Next: offset, Data: data}
		done := isEvent && isDone(data)
		if isEvent {
			chunk.Next++
		}
		if isEvent && !done {
			chunk.Tokens = 1
		}
		if err := forward(chunk); err != nil {
			return End{Result: Aborted, Length: offset, Err: err}
		}
		offset = chunk.Next
		if done {
			return End{Result: Complete, Length: offset}
		}
	}
}

// eventScanner splits a stream into events and padding.
type eventScanner struct {
	r *bufio.Reader
	// begun is true once there was an event.
	begun bool
}

// next returns the next event, or the next padding behind the first event. Padding before the first
// event is a part of it.
func (s *eventScanner) next() (data []byte, isEvent bool, err error) {
	for {
		raw, err := readEvent(s.r)
		if err != nil {
			return nil, false, err
		}
		isEvent, err := checkEvent(raw)
		if err != nil {
			return nil, false, err
		}
		if data = append(data, raw...); len(data) > maxEventBytes {
			return nil, false, errTooLarge()
		}
		if s.begun = s.begun || isEvent; s.begun {
			return data, isEvent, nil
		}
	}
}

// checkEvent reports whether a block of a stream is an event, rather than padding: callers ignore
// blocks without data. It returns an error for bytes that no run made.
func checkEvent(raw []byte) (bool, error) {
	block, fault := eventstream.Parse(raw)
	if block.HasHeader {
		fault = eventstream.InvalidLine
	}
	if fault != eventstream.Sound {
		head := raw[:min(len(raw), maxLoggedBytes)]
		return false, errors.Newf("event of no run: %s: %q", string(fault), head)
	}
	return block.HasData, nil
}

// isDone reports whether an event is the last one of its stream.
func isDone(event []byte) bool {
	for line := range bytes.Lines(event) {
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			return string(bytes.TrimSpace(data)) == doneData
		}
	}
	return false
}

func errTooLarge() error { return errors.Newf("event is larger than %d bytes", maxEventBytes) }

// readEvent reads one event or padding, including the blank line that ends it.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(event) <= maxEventBytes {
			continue
		}
		if err != nil {
			return nil, errors.Wrap(err, "stream broke off")
		}
		if len(event) > maxEventBytes {
			return nil, errTooLarge()
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
}

func forwardBytes(body io.Reader, forward func(Chunk) error) End {
	offset := 0
	buf := make([]byte, readBufferSize)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if forwardErr := forward(Chunk{Offset: offset, Next: offset + n, Data: bytes.Clone(buf[:n])}); forwardErr != nil {
				return End{Result: Aborted, Length: offset, Err: forwardErr}
			}
			offset += n
		}
		if errors.Is(err, io.EOF) {
			return End{Result: Complete, Length: offset}
		}
		if err != nil {
			return End{Result: Aborted, Length: offset, Err: errors.Wrap(err, "answer broke off")}
		}
	}
}

// RefusesConnections reports whether nothing listens at the upstream's address any more.
func (c *Client) RefusesConnections(ctx context.Context) bool {
	_, err := c.healthStatus(ctx)
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Healthy reports whether the upstream passes its health check.
func (c *Client) Healthy(ctx context.Context) bool {
	status, err := c.healthStatus(ctx)
	return err == nil && status == http.StatusOK
}

// healthStatus returns the HTTP status of the upstream's health check.
func (c *Client) healthStatus(ctx context.Context) (int, error) {
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
