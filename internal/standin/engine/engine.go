// Package engine is a stand-in for a model engine.
//
// It runs a number of requests at a time, takes time for the prompt and for
// each token, keeps a small cache of prompt prefixes, streams its answers,
// continues an answer at an event, checks fences of orders if told to, and can
// be made slow, silent or broken. The text of an answer depends on the prompt
// alone, so that a test can tell whether an answer is complete and its own.
//
// # Usage
//
//	http.Serve(listener, engine.New(engine.Options{Slots: 8, PerToken: 20 * time.Millisecond}))
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Options are the settings of an engine.
type Options struct {
	Model     string
	Slots     int
	PerToken  time.Duration
	PerPrompt time.Duration
	// CheckFences makes the engine refuse orders with a fence below the
	// highest it has seen.
	CheckFences bool
}

// Fault is how the engine misbehaves.
type Fault struct {
	// SlowBy multiplies the time of each token; 0 means 1.
	SlowBy float64 `json:"slow_by"`
	// CutAfter breaks each answer off after so many events; 0 means never.
	CutAfter int `json:"cut_after"`
	// Hang stops answering.
	Hang bool `json:"hang"`
	// Fail answers each request with an error.
	Fail bool `json:"fail"`
}

const (
	cachedPrefixes = 64
	maxTokens      = 4000
	words          = 24
)

// Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	o     Options
	slots chan struct{}
	mux   *http.ServeMux

	mu      sync.Mutex
	fault   Fault
	cache   []string
	fence   string
	orders  []Order
	state   State
	running int
	started int
	dropped int
}

// Order is one fenced order that the engine took.
type Order struct {
	Fence string `json:"fence"`
	Kind  string `json:"kind"`
	Name  string `json:"name"`
}

// State is what the engine has loaded.
type State struct {
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
}

// New returns an engine.
func New(o Options) *Engine {
	e := &Engine{o: o, slots: make(chan struct{}, o.Slots), mux: http.NewServeMux()}
	e.mux.HandleFunc("POST /v1/chat/completions", e.chat)
	e.mux.HandleFunc("POST /v1/orders", e.order)
	e.mux.HandleFunc("GET /v1/orders", e.listOrders)
	e.mux.HandleFunc("GET /v1/state", e.getState)
	e.mux.HandleFunc("GET /healthz", e.healthy)
	e.mux.HandleFunc("GET /load", e.load)
	e.mux.HandleFunc("PUT /admin/fault", e.putFault)
	return e
}

// ServeHTTP answers a call.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// SetFault makes the engine misbehave.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

func (e *Engine) getFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault
}

// Counts returns the requests that run now, were started, and were dropped by
// their callers.
func (e *Engine) Counts() (running, started, dropped int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running, e.started, e.dropped
}

func (e *Engine) putFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFault(f)
}

func (e *Engine) healthy(w http.ResponseWriter, r *http.Request) {
	if e.getFault().Hang {
		<-r.Context().Done()
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	running, started, dropped := e.Counts()
	_ = json.NewEncoder(w).Encode(map[string]int{"running": running, "started": started, "dropped": dropped})
}

// request is what the engine reads of a completion request.
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

// Answer returns the words of the answer to a prompt.
func Answer(prompt string, limit int) []string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt))
	seed := h.Sum64()
	n := 5 + int(seed%words)
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

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var q request
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-r.Context().Done():
		return
	}
	e.count(1)
	defer e.count(-1)
	if e.getFault().Fail {
		http.Error(w, "out of memory", http.StatusInternalServerError)
		return
	}
	resume, _ := strconv.Atoi(r.Header.Get("Resume-Offset"))
	answer := Answer(q.prompt(), q.MaxTokens)
	if !e.work(r.Context(), e.promptTime(q.prompt())) {
		return
	}
	if q.Stream {
		e.stream(w, r, &q, answer, resume)
		return
	}
	if e.work(r.Context(), time.Duration(len(answer))*e.o.PerToken) {
		e.whole(w, r, &q, answer)
	}
}

func (e *Engine) count(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += n
	if n > 0 {
		e.started++
	}
}

// promptTime is shorter for a prompt whose prefix is cached.
func (e *Engine) promptTime(prompt string) time.Duration {
	prefix := prompt[:min(len(prompt), 256)]
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, held := range e.cache {
		if held == prefix {
			e.cache = append(append(e.cache[:i:i], e.cache[i+1:]...), prefix)
			return e.o.PerPrompt / 4
		}
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > cachedPrefixes {
		e.cache = e.cache[1:]
	}
	return e.o.PerPrompt
}

// work lets the time pass that a step takes; false if the caller left.
func (e *Engine) work(ctx context.Context, d time.Duration) bool {
	f := e.getFault()
	if f.Hang {
		<-ctx.Done()
	}
	if f.SlowBy > 0 {
		d = time.Duration(float64(d) * f.SlowBy)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		e.mu.Lock()
		e.dropped++
		e.mu.Unlock()
		return false
	}
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

// events returns the texts of all events of a streamed answer.
func (e *Engine) events(id string, q *request, answer []string) []string {
	stop := "stop"
	base := chunk{ID: "chatcmpl-" + id, Object: "chat.completion.chunk", Model: q.Model}
	one := func(d delta, finish *string) string {
		c := base
		c.Choices = []chunkChoice{{Delta: d, FinishReason: finish}}
		return encode(c)
	}
	out := []string{one(delta{Role: "assistant"}, nil)}
	for _, word := range answer {
		out = append(out, one(delta{Content: word}, nil))
	}
	out = append(out, one(delta{}, &stop))
	if q.Options.IncludeUsage {
		c := base
		c.Choices = []chunkChoice{}
		c.Usage = usageOf(q, answer)
		out = append(out, encode(c))
	}
	return append(out, "[DONE]")
}

func usageOf(q *request, answer []string) *usage {
	prompt := len(q.prompt()) / 4
	return &usage{Prompt: prompt, Completion: len(answer), Total: prompt + len(answer)}
}

func encode(v any) string {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(text)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, q *request, answer []string, resume int) {
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
		if i > 0 && i <= len(answer) && !e.work(r.Context(), e.o.PerToken) {
			return
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", text); err != nil {
			return
		}
		_ = out.Flush()
	}
}

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, q *request, answer []string) {
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

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o.Fence = r.Header.Get("X-Fence")
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.o.CheckFences && o.Fence < e.fence {
		http.Error(w, "fence "+e.fence+" was seen", http.StatusConflict)
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, o)
	switch o.Kind {
	case "version":
		e.state.Version = o.Name
	case "load-adapter":
		e.state.Adapters = append(e.state.Adapters, o.Name)
	case "unload-adapter":
		e.state.Adapters = slices.DeleteFunc(e.state.Adapters, func(a string) bool { return a == o.Name })
	}
}

// State returns what is loaded.
func (e *Engine) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return State{Version: e.state.Version, Adapters: slices.Clone(e.state.Adapters)}
}

func (e *Engine) getState(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.State())
}

// Orders returns the orders that were taken.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

func (e *Engine) listOrders(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.Orders())
}
