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
	// prefixBytes is the length of the beginning of the first message that is hashed as
	// the prompt prefix.
	prefixBytes = 2048
)

// chatRequest holds the fields of a request that the entry reads. All other fields are
// forwarded unchanged.
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

// validate returns the error of the first invalid field, if any.
func (r *chatRequest) validate() *problem {
	switch {
	case r.Model == "":
		return invalidRequest("model", "The model must be named.")
	case len(r.Messages) == 0:
		return invalidRequest("messages", "There must be at least one message.")
	case r.N != nil && (*r.N < 1 || *r.N > maxChoices):
		return invalidRequest("n", "The number of choices must be from 1 to 16.")
	case r.MaxTokens != nil && *r.MaxTokens < 1:
		return invalidRequest("max_tokens", "The number of tokens must be above 0.")
	case r.MaxCompletionTokens != nil && *r.MaxCompletionTokens < 1:
		return invalidRequest("max_completion_tokens", "The number of tokens must be above 0.")
	default:
		return nil
	}
}

// streamable reports whether a non-streaming response can be assembled from a stream.
// This allows the run to be preempted and resumed.
func (r *chatRequest) streamable() bool {
	return r.Tools == nil && r.Functions == nil && r.Logprobs == nil && r.Audio == nil
}

func (r *chatRequest) prefixHash() uint64 {
	first := r.Messages[0]
	return xxhash.Sum64(first[:min(len(first), prefixBytes)])
}

// parseChat parses and validates a request.
func parseChat(body []byte) (*chatRequest, *problem) {
	req := &chatRequest{}
	if err := json.Unmarshal(body, req); err != nil {
		return nil, invalidRequest(jsonField(err), "The body is not a chat completion request: "+err.Error())
	}
	if p := req.validate(); p != nil {
		return nil, p
	}
	return req, nil
}

// jsonField returns the name of the field that could not be decoded.
func jsonField(err error) string {
	if typed, ok := err.(*json.UnmarshalTypeError); ok && typed.Field != "" { //nolint:errorlint // Unmarshal returns it as it is.
		return typed.Field
	}
	return "body"
}

// withStreaming returns the body with streaming and usage reports enabled.
func withStreaming(body []byte) ([]byte, error) {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage(`true`)
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	return json.Marshal(fields)
}

// chat handles a chat completion.
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
	class, p := resolveClass(cfg, o, pool, c.Request())
	if p != nil {
		return p.write(c)
	}
	var out responder = &relay{c: c, writeTimeout: s.o.ReadTimeout}
	if !req.Stream && req.streamable() {
		out = &assembler{c: c}
		if body, p = enableStreaming(body); p != nil {
			return p.write(c)
		}
	}
	return s.forward(c, forwardedRequest{
		call: entry.Call{Organisation: o, Class: class, Pool: pool, Prefix: req.prefixHash(), SharedPrefix: len(req.Messages) > 1},
		path: chatPath,
		body: body,
		out:  out,
	})
}

func enableStreaming(body []byte) ([]byte, *problem) {
	out, err := withStreaming(body)
	if err != nil {
		return nil, invalidRequest("body", err.Error())
	}
	return out, nil
}

// forwardedRequest is a validated request and the responder for it.
type forwardedRequest struct {
	call entry.Call
	path string
	body []byte
	out  responder
}

// forward runs a validated request until it has an outcome.
func (s *Server) forward(c echo.Context, r forwardedRequest) error {
	key := c.Request().Header.Get(IdempotencyKeyHeader)
	host, incarnation, p := s.keyIssuer(key)
	if p != nil {
		return p.write(c)
	}
	r.call.Bound = host
	x := &call{
		s:         s,
		id:        newID(),
		call:      r.call,
		key:       key,
		out:       r.out,
		keyIssuer: incarnation,
	}
	c.Response().Header().Set(RequestIDHeader, x.id)
	x.run = &gladegaugev1.Run{
		Method:  c.Request().Method,
		Path:    r.path,
		Headers: forwardedHeaders(c.Request(), x.id),
		Body:    r.body,
	}
	return x.serve(c.Request().Context())
}

// unforwardedHeaders are not sent to the upstream: they are addressed to the entry, or
// could make an HTTP library on the way repeat the request.
var unforwardedHeaders = map[string]bool{
	"Authorization": true, IdempotencyKeyHeader: true, "X-Idempotency-Key": true,
	ClassHeader: true, RequestIDHeader: true, "Host": true, "Resume-Offset": true,
	"Accept-Encoding": true, "X-Priority": true, "Expect": true,
}

func forwardedHeaders(r *http.Request, id string) []*gladegaugev1.Header {
	headers := []*gladegaugev1.Header{{Name: RequestIDHeader, Value: id}}
	for name, values := range r.Header {
		if hopByHopHeaders[name] || unforwardedHeaders[name] {
			continue
		}
		for _, v := range values {
			headers = append(headers, &gladegaugev1.Header{Name: name, Value: v})
		}
	}
	return headers
}
