package engine

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
)

// request holds the fields of a completion request that the engine uses.
type request struct {
	Model    string `json:"model"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
	Stream    bool `json:"stream"`
	MaxTokens int  `json:"max_tokens"`
	Options   struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func (q *request) prompt() string {
	var b strings.Builder
	for _, m := range q.Messages {
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// Answer returns the words of the answer to a prompt. They depend on the prompt only. A
// positive limit sets the number of words, up to maxTokens; otherwise that depends on the
// prompt too, and one prompt in 16 has an answer eight times as long.
func Answer(prompt string, limit int) []string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt))
	seed := h.Sum64()
	n := 5 + int(seed%answerLengthRange)
	if seed%16 == 0 {
		n *= 8
	}
	if limit > 0 {
		n = min(limit, maxTokens)
	}
	out := make([]string, n)
	for i := range out {
		seed = seed*6364136223846793005 + 1442695040888963407
		out[i] = fmt.Sprintf("w%d ", seed>>48)
	}
	return out
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usage        `json:"usage,omitempty"`
}

// events returns the data of all events of a streamed answer.
func (e *Engine) events(id string, q *request, answer []string) []string {
	stop := "stop"
	base := chunk{ID: "chatcmpl-" + id, Object: "chat.completion.chunk", Model: q.Model}
	newEvent := func(d delta, finish *string) string {
		c := base
		c.Choices = []chunkChoice{{Delta: d, FinishReason: finish}}
		return encodeJSON(c)
	}
	out := []string{newEvent(delta{Role: "assistant"}, nil)}
	for _, word := range answer {
		out = append(out, newEvent(delta{Content: word}, nil))
	}
	out = append(out, newEvent(delta{}, &stop))
	if q.Options.IncludeUsage {
		c := base
		c.Choices = []chunkChoice{}
		c.Usage = usageOf(q, answer)
		out = append(out, encodeJSON(c))
	}
	return append(out, "[DONE]")
}

func usageOf(q *request, answer []string) *usage {
	prompt := len(q.prompt()) / 4
	return &usage{Prompt: prompt, Completion: len(answer), Total: prompt + len(answer)}
}

func encodeJSON(v any) string {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(text)
}

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, q *request, answer []string, resume int) {
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	events := e.events(r.Header.Get("X-Request-Id"), q, answer)
	for i, text := range events {
		if i < resume {
			continue
		}
		if f := e.getFault(); f.CutAfter > 0 && i >= f.CutAfter {
			panic(http.ErrAbortHandler)
		}
		if i > 0 && i <= len(answer) && !e.simulateWork(r.Context(), e.o.PerToken) {
			return
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", text); err != nil {
			return
		}
		_ = out.Flush()
	}
}

func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, q *request, answer []string) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"id": "chatcmpl-" + r.Header.Get("X-Request-Id"), "object": "chat.completion", "model": q.Model,
		"choices": []map[string]any{{
			"index": 0, "finish_reason": "stop",
			"message": map[string]string{"role": "assistant", "content": strings.Join(answer, "")},
		}},
		"usage": usageOf(q, answer),
	})
}
