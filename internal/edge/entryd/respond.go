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

// bufferUpTo is the size up to which a plain answer is held until it is
// complete, so that a broken one becomes a clear error.
const bufferUpTo = 1 << 20

// hopHeaders are not passed on between connections.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// relay passes the answer on. Streams go out at once; other answers are held
// until complete, up to a size.
type relay struct {
	c echo.Context
	// patience is how long the caller may take to read a piece.
	patience time.Duration
	status   int
	stream   bool
	held     bytes.Buffer
	started  bool
}

func (o *relay) head(h *gladegaugev1.Head) error {
	o.status = int(h.GetStatus())
	out := o.c.Response().Header()
	// An attempt that broke off before its first piece may have left a head.
	for _, header := range h.GetHeaders() {
		if passes(header) {
			out.Del(header.GetName())
		}
	}
	for _, header := range h.GetHeaders() {
		if passes(header) {
			out.Add(header.GetName(), header.GetValue())
		}
	}
	o.stream = convert.Events(h)
	return nil
}

// passes reports whether an upstream's header goes to the caller. The identity
// of the request is the entry's own.
func passes(h *gladegaugev1.Header) bool {
	name := http.CanonicalHeaderKey(h.GetName())
	return !hopHeaders[name] && name != RequestHeader
}

func (o *relay) chunk(data []byte) error {
	if !o.stream && !o.started && o.held.Len()+len(data) <= bufferUpTo {
		o.held.Write(data)
		return nil
	}
	if err := o.begin(); err != nil {
		return err
	}
	// A caller that does not read would hold an upstream's slot for good.
	_ = http.NewResponseController(o.c.Response()).SetWriteDeadline(clock.Deadline(o.patience))
	if _, err := o.c.Response().Write(data); err != nil {
		return err
	}
	if o.stream {
		return http.NewResponseController(o.c.Response()).Flush()
	}
	return nil
}

// begin sends the head and what was held.
func (o *relay) begin() error {
	if o.started {
		return nil
	}
	o.started = true
	o.c.Response().WriteHeader(o.status)
	_, err := o.c.Response().Write(o.held.Bytes())
	return err
}

func (o *relay) end() error { return o.begin() }

// errCut asks for the caller's connection to be closed, since its answer has
// begun and cannot be completed: a part must not pass for the whole.
var errCut = errors.New("the answer was cut off")

// problem answers with an error, or asks for the connection to be closed.
func (o *relay) problem(p *problem) error {
	if o.started {
		return errCut
	}
	clear(o.c.Response().Header())
	return p.write(o.c)
}

// assembled joins a stream of completion chunks into one answer.
type assembled struct {
	c       echo.Context
	status  int
	headers http.Header
	events  bool
	raw     bytes.Buffer
	answer  completion
	broken  error
}

// completion is an answer of the OpenAI API that was not streamed.
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

// completionChunk is one event of a streamed answer.
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

func (o *assembled) head(h *gladegaugev1.Head) error {
	o.status = int(h.GetStatus())
	o.headers = make(http.Header)
	for _, header := range h.GetHeaders() {
		o.headers.Add(header.GetName(), header.GetValue())
	}
	o.events = convert.Events(h)
	return nil
}

func (o *assembled) chunk(data []byte) error {
	if !o.events {
		o.raw.Write(data)
		return nil
	}
	for line := range bytes.Lines(data) {
		if text, ok := bytes.CutPrefix(line, []byte("data: ")); ok {
			o.add(bytes.TrimSpace(text))
		}
	}
	return nil
}

func (o *assembled) add(text []byte) {
	if string(text) == "[DONE]" {
		return
	}
	var chunk completionChunk
	if err := json.Unmarshal(text, &chunk); err != nil {
		o.broken = err
		return
	}
	o.answer.ID = chunk.ID
	o.answer.Created = chunk.Created
	o.answer.Model = chunk.Model
	if len(chunk.Usage) > 0 && string(chunk.Usage) != "null" {
		o.answer.Usage = chunk.Usage
	}
	for _, part := range chunk.Choices {
		for len(o.answer.Choices) <= part.Index && part.Index < maxChoices {
			o.answer.Choices = append(o.answer.Choices, choice{Index: len(o.answer.Choices), Message: message{Role: "assistant"}})
		}
		if part.Index < 0 || part.Index >= len(o.answer.Choices) {
			continue
		}
		to := &o.answer.Choices[part.Index]
		to.Message.Content += part.Delta.Content
		if part.FinishReason != nil {
			to.FinishReason = part.FinishReason
		}
	}
}

// maxChoices bounds the choices of one answer.
const maxChoices = 16

func (o *assembled) end() error {
	if !o.events {
		return o.c.Blob(o.status, o.headers.Get("Content-Type"), o.raw.Bytes())
	}
	if o.broken != nil {
		return o.problem(&problem{
			status:  http.StatusBadGateway,
			code:    CodeIncomplete,
			message: "The upstream's answer cannot be read: " + o.broken.Error(),
		})
	}
	o.answer.Object = "chat.completion"
	return o.c.JSON(http.StatusOK, o.answer)
}

func (o *assembled) problem(p *problem) error { return p.write(o.c) }
