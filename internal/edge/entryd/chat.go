package entryd

import (
	"encoding/json"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/entry"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

const (
	chatPath = "/v1/chat/completions"
	// prefixBytes is how much of the first message names a prompt's prefix.
	prefixBytes = 2048
)

// chatRequest is what the entry reads of a request; the rest passes through.
type chatRequest struct {
	Model               string            `json:"model"`
	Messages            []json.RawMessage `json:"messages"`
	Stream              bool              `json:"stream"`
	N                   *int              `json:"n"`
	MaxTokens           *int              `json:"max_tokens"`
	MaxCompletionTokens *int              `json:"max_completion_tokens"`
	Tools               json.RawMessage   `json:"tools"`
	Functions           json.RawMessage   `json:"functions"`
	Logprobs            json.RawMessage   `json:"logprobs"`
	Audio               json.RawMessage   `json:"audio"`
}

// check names the first faulty field.
func (r *chatRequest) check() *problem {
	switch {
	case r.Model == "":
		return invalid("model", "The model must be named.")
	case len(r.Messages) == 0:
		return invalid("messages", "There must be at least one message.")
	case r.N != nil && (*r.N < 1 || *r.N > maxChoices):
		return invalid("n", "The number of choices must be from 1 to 16.")
	case r.MaxTokens != nil && *r.MaxTokens < 1:
		return invalid("max_tokens", "The number of tokens must be above 0.")
	case r.MaxCompletionTokens != nil && *r.MaxCompletionTokens < 1:
		return invalid("max_completion_tokens", "The number of tokens must be above 0.")
	default:
		return nil
	}
}

// streamable reports whether an answer that is not streamed can be joined from
// a stream, which lets it be preempted and continued.
func (r *chatRequest) streamable() bool {
	return r.Tools == nil && r.Functions == nil && r.Logprobs == nil && r.Audio == nil
}

func (r *chatRequest) prefix() uint64 {
	first := r.Messages[0]
	return xxhash.Sum64(first[:min(len(first), prefixBytes)])
}

// parseChat reads and checks a request.
func parseChat(body []byte) (*chatRequest, *problem) {
	req := &chatRequest{}
	if err := json.Unmarshal(body, req); err != nil {
		return nil, invalid(jsonField(err), "The body is not a chat completion request: "+err.Error())
	}
	if p := req.check(); p != nil {
		return nil, p
	}
	return req, nil
}

// jsonField names the field that could not be read.
func jsonField(err error) string {
	if typed, ok := err.(*json.UnmarshalTypeError); ok && typed.Field != "" { //nolint:errorlint // Unmarshal returns it as it is.
		return typed.Field
	}
	return "body"
}

// withStream returns the body with streaming and its usage switched on.
func withStream(body []byte) ([]byte, error) {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage(`true`)
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	return json.Marshal(fields)
}

// chat serves a chat completion.
func (s *Server) chat(c echo.Context) error {
	cfg, p := s.config()
	if p != nil {
		return p.write(c)
	}
	o, p := authenticate(cfg, c.Request())
	if p != nil {
		return p.write(c)
	}
	body, p := readBody(c)
	if p != nil {
		return p.write(c)
	}
	req, p := parseChat(body)
	if p != nil {
		return p.write(c)
	}
	pool, ok := cfg.PoolFor(req.Model)
	if !ok || pool.Kind != config.KindModel {
		return (&problem{
			status: http.StatusNotFound, code: CodeUnknownModel, param: "model", notRun: true,
			message: "There is no model of this name.",
		}).write(c)
	}
	class, p := classOf(cfg, o, pool, c.Request())
	if p != nil {
		return p.write(c)
	}
	var out responder = &relay{c: c, patience: s.o.ReadPatience}
	if !req.Stream && req.streamable() {
		out = &assembled{c: c}
		if body, p = streamed(body); p != nil {
			return p.write(c)
		}
	}
	return s.carry(c, carried{
		call: entry.Call{Organisation: o, Class: class, Pool: pool, Prefix: req.prefix()},
		path: chatPath,
		body: body,
		out:  out,
	})
}

func streamed(body []byte) ([]byte, *problem) {
	out, err := withStream(body)
	if err != nil {
		return nil, invalid("body", err.Error())
	}
	return out, nil
}

// carried is a checked request and how it is answered.
type carried struct {
	call entry.Call
	path string
	body []byte
	out  responder
}

// carry takes a checked request to its outcome.
func (s *Server) carry(c echo.Context, r carried) error {
	key := c.Request().Header.Get(KeyHeader)
	host, incarnation, p := s.bound(key)
	if p != nil {
		return p.write(c)
	}
	r.call.Bound = host
	x := &call{
		s:     s,
		id:    newID(),
		call:  r.call,
		key:   key,
		out:   r.out,
		bound: incarnation,
	}
	c.Response().Header().Set(RequestHeader, x.id)
	x.run = &gladegaugev1.Run{
		Method:  c.Request().Method,
		Path:    r.path,
		Headers: passedHeaders(c.Request(), x.id),
		Body:    r.body,
	}
	return x.serve(c.Request().Context())
}

// keptHeaders stay at the entry: they are for it, or would let a library on
// the way repeat the request.
var keptHeaders = map[string]bool{
	"Authorization": true, KeyHeader: true, "X-Idempotency-Key": true,
	ClassHeader: true, RequestHeader: true, "Host": true, "Resume-Offset": true,
	"Accept-Encoding": true, "X-Priority": true, "Expect": true,
}

func passedHeaders(r *http.Request, id string) []*gladegaugev1.Header {
	headers := []*gladegaugev1.Header{{Name: RequestHeader, Value: id}}
	for name, values := range r.Header {
		if hopHeaders[name] || keptHeaders[name] {
			continue
		}
		for _, v := range values {
			headers = append(headers, &gladegaugev1.Header{Name: name, Value: v})
		}
	}
	return headers
}
