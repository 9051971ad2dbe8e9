// Package engine is a test double of a model engine.
//
// It runs a limited number of requests concurrently, simulates the time for the prompt and
// for each token, keeps a small cache of prompt prefixes, streams its answers, resumes a
// stream at an event, checks the fencing tokens of orders if configured, and injects faults:
// slow, hanging or failing responses. The text of an answer depends on the prompt alone, so
// that a test can tell whether a response is complete and belongs to its request.
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
	// CheckFences makes the engine reject orders whose fencing token is lower than the
	// highest that it has seen.
	CheckFences bool
}

// Fault is an injected fault of the engine.
type Fault struct {
	// SlowBy multiplies the time for the prompt and for each token; 0 means 1.
	SlowBy float64 `json:"slow_by"`
	// CutAfter closes the connection of each stream after this many events; 0 means never.
	CutAfter int `json:"cut_after"`
	// Hang sends no response to completion requests and health checks.
	Hang bool `json:"hang"`
	// Fail rejects each request with status 500.
	Fail bool `json:"fail"`
	// RetryAfter rejects each request with status 503 and this Retry-After, in seconds; 0
	// means never.
	RetryAfter float64 `json:"rest"`
}

const (
	cachedPrefixes    = 64
	maxTokens         = 4000
	answerLengthRange = 24
)

// Engine is the model engine. It is safe for concurrent use.
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
	e.mux.HandleFunc("GET /healthz", e.handleHealth)
	e.mux.HandleFunc("GET /load", e.load)
	e.mux.HandleFunc("PUT /admin/fault", e.putFault)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// SetFault injects a fault; the zero value ends it.
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

// Counts returns the number of requests that are running, that were started so far, and
// that their callers cancelled.
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

func (e *Engine) handleHealth(w http.ResponseWriter, r *http.Request) {
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
	if retryAfter := e.getFault().RetryAfter; retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter, 'f', -1, 64))
		http.Error(w, "full", http.StatusServiceUnavailable)
		return
	}
	if e.getFault().Fail {
		http.Error(w, "out of memory", http.StatusInternalServerError)
		return
	}
	resume, _ := strconv.Atoi(r.Header.Get("Resume-Offset"))
	answer := Answer(q.prompt(), q.MaxTokens)
	if !e.simulateWork(r.Context(), e.prefillTime(q.prompt())) {
		return
	}
	if q.Stream {
		e.writeStream(w, r, &q, answer, resume)
		return
	}
	if e.simulateWork(r.Context(), time.Duration(len(answer))*e.o.PerToken) {
		e.writeCompletion(w, r, &q, answer)
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

// prefillTime returns the processing time of a prompt, which is shorter if its prefix is
// cached, and adds the prefix to the cache.
func (e *Engine) prefillTime(prompt string) time.Duration {
	prefix := prompt[:min(len(prompt), 256)]
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, cached := range e.cache {
		if cached == prefix {
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

// simulateWork waits for the time that a step takes. It returns false if the caller cancelled
// the request.
func (e *Engine) simulateWork(ctx context.Context, d time.Duration) bool {
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
