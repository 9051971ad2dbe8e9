package entryd

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/gladegauge/gladegauge/internal/edge/clock"
	"github.com/gladegauge/gladegauge/internal/edge/convert"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// maxBufferedBytes is the size up to which a response that is not a stream is buffered
// until it is complete, so that an interrupted one results in an explicit error.
const maxBufferedBytes = 1 << 20

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// relay forwards the response. Event streams are flushed at once; other responses are
// buffered until they are complete, up to a size limit.
type relay struct {
	c echo.Context
	// writeTimeout is the time within which the caller must read a chunk.
	writeTimeout time.Duration
	status       int
	stream       bool
	buffered     bytes.Buffer
	headSent     bool
}

func (o *relay) head(h *gladegaugev1.Head) error {
	o.status = int(h.GetStatus())
	out := o.c.Response().Header()
	// The head of an earlier attempt that failed before its first chunk may be set
	// already.
	for _, header := range h.GetHeaders() {
		if forwardable(header) {
			out.Del(header.GetName())
		}
	}
	for _, header := range h.GetHeaders() {
		if forwardable(header) {
			out.Add(header.GetName(), header.GetValue())
		}
	}
	o.stream = convert.IsEventStream(h)
	return nil
}

// forwardable reports whether a header of the upstream is sent to the caller. The request
// ID is always the one that the entry assigned.
func forwardable(h *gladegaugev1.Header) bool {
	name := http.CanonicalHeaderKey(h.GetName())
	return !hopByHopHeaders[name] && name != RequestIDHeader
}

func (o *relay) chunk(data []byte) error {
	if !o.stream && !o.headSent && o.buffered.Len()+len(data) <= maxBufferedBytes {
		o.buffered.Write(data)
		return nil
	}
	if err := o.sendHead(); err != nil {
		return err
	}
	// Without a deadline, a caller that stops reading would occupy an upstream slot
	// indefinitely.
	_ = http.NewResponseController(o.c.Response()).SetWriteDeadline(clock.Deadline(o.writeTimeout))
	if _, err := o.c.Response().Write(data); err != nil {
		return err
	}
	if o.stream {
		return http.NewResponseController(o.c.Response()).Flush()
	}
	return nil
}

// sendHead sends the head and the buffered part of the body.
func (o *relay) sendHead() error {
	if o.headSent {
		return nil
	}
	o.headSent = true
	o.c.Response().WriteHeader(o.status)
	_, err := o.c.Response().Write(o.buffered.Bytes())
	return err
}

func (o *relay) end() error { return o.sendHead() }

// errTruncated requests that the connection to the caller is closed, because a response
// that has begun cannot be completed. The caller must not mistake the part for the whole.
var errTruncated = errors.New("response truncated")

// problem responds with an error, or requests that the connection is closed.
func (o *relay) problem(p *problem) error {
	if o.headSent {
		return errTruncated
	}
	clear(o.c.Response().Header())
	return p.write(o.c)
}

// assembler assembles a stream of completion chunks into one response.
type assembler struct {
	c         echo.Context
	status    int
	headers   http.Header
	events    bool
	raw       bytes.Buffer
	result    completion
	decodeErr error
}

// completion is a non-streaming response of the OpenAI API.
type completion struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []choice        `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason *string `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionChunk is one event of a streaming response.
type completionChunk struct {
	ID      string `json:"id"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices []struct {
		Index        int     `json:"index"`
		Delta        message `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage json.RawMessage `json:"usage"`
}

func (o *assembler) head(h *gladegaugev1.Head) error {
	o.status = int(h.GetStatus())
	o.headers = make(http.Header)
	for _, header := range h.GetHeaders() {
		o.headers.Add(header.GetName(), header.GetValue())
	}
	o.events = convert.IsEventStream(h)
	return nil
}

func (o *assembler) chunk(data []byte) error {
	if !o.events {
		o.raw.Write(data)
		return nil
	}
	for line := range bytes.Lines(data) {
		if text, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			o.add(bytes.TrimSpace(text))
		}
	}
	return nil
}

func (o *assembler) add(text []byte) {
	if string(text) == "[DONE]" {
		return
	}
	var chunk completionChunk
	if err := json.Unmarshal(text, &chunk); err != nil {
		o.decodeErr = err
		return
	}
	if chunk.Choices == nil && len(chunk.Usage) == 0 {
		o.decodeErr = errors.New("an event is no piece of a completion")
		return
	}
	o.result.ID = chunk.ID
	o.result.Created = chunk.Created
	o.result.Model = chunk.Model
	if len(chunk.Usage) > 0 && string(chunk.Usage) != "null" {
		o.result.Usage = chunk.Usage
	}
	for _, part := range chunk.Choices {
		for len(o.result.Choices) <= part.Index && part.Index < maxChoices {
			o.result.Choices = append(o.result.Choices, choice{Index: len(o.result.Choices), Message: message{Role: "assistant"}})
		}
		if part.Index < 0 || part.Index >= len(o.result.Choices) {
			continue
		}
		to := &o.result.Choices[part.Index]
		to.Message.Content += part.Delta.Content
		if part.FinishReason != nil {
			to.FinishReason = part.FinishReason
		}
	}
}

// maxChoices is the maximum number of choices in one response.
const maxChoices = 16

func (o *assembler) end() error {
	if !o.events {
		return o.c.Blob(o.status, o.headers.Get("Content-Type"), o.raw.Bytes())
	}
	if o.decodeErr != nil {
		return o.problem(&problem{
			status:  http.StatusBadGateway,
			code:    CodeIncomplete,
			message: "The upstream's answer cannot be read: " + o.decodeErr.Error(),
		})
	}
	o.result.Object = "chat.completion"
	return o.c.JSON(http.StatusOK, o.result)
}

func (o *assembler) problem(p *problem) error { return p.write(o.c) }
