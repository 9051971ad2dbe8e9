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
	"net/http"
	"strconv"
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
	// Rest refuses each request with 503 and asks for so many seconds of rest; 0 for never.
	Rest float64 `json:"rest"`
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
	if rest := e.getFault().Rest; rest > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(rest, 'f', -1, 64))
		http.Error(w, "full", http.StatusServiceUnavailable)
		return
	}
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
