package e2e

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/standin/engine"
)

// killer is the prompt of a request that ends each engine that runs it.
const killer = "the end"

// fragile is an engine that ends under some requests: nothing listens at its address
// any more, and all its connections are closed.
type fragile struct {
	engine *engine.Engine
	server *httptest.Server
	mu     sync.Mutex
	ended  bool
}

func newFragile(t *testing.T) *fragile {
	t.Helper()
	f := &fragile{engine: engine.New(engine.Options{Slots: 8, PerToken: time.Millisecond})}
	f.server = httptest.NewServer(f)
	t.Cleanup(func() {
		f.server.CloseClientConnections()
		f.server.Close()
	})
	return f
}

// ServeHTTP serves a request, or ends under it.
func (f *fragile) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if strings.Contains(string(body), killer) {
		f.mu.Lock()
		f.ended = true
		f.mu.Unlock()
		_ = f.server.Listener.Close()
		f.server.CloseClientConnections()
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	f.engine.ServeHTTP(w, r)
}

func (f *fragile) hasEnded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended
}

// crashStack is two entries and n agents, each beside an engine that ends under some
// requests.
func crashStack(t *testing.T, n int) (entries []*proc, ended func() int, rounds func()) {
	t.Helper()
	s := newStack(t, "salish")
	entries = []*proc{s.entry("entry-1", "a"), s.entry("entry-2", "b")}
	var engines []*fragile
	for i := range n {
		f := newFragile(t)
		engines = append(engines, f)
		s.agentAt(fmt.Sprintf("agent-%d", i+1), []string{"a", "b"}[i%2], "judge-model", f.server.URL)
	}
	s.ready()
	ended = func() int {
		sum := 0
		for _, f := range engines {
			if f.hasEnded() {
				sum++
			}
		}
		return sum
	}
	// Each entry swaps what it knows with several others.
	rounds = func() {
		const several = 3
		before := []float64{metric(entries[0], "gladegauge_peer_calls_total"), metric(entries[1], "gladegauge_peer_calls_total")}
		eventually(t, "the entries have swapped what they know", func() bool {
			return metric(entries[0], "gladegauge_peer_calls_total") >= before[0]+several &&
				metric(entries[1], "gladegauge_peer_calls_total") >= before[1]+several
		})
	}
	return entries, ended, rounds
}

// A request ended each engine that ran it, and came again at any entry. An agent knew
// that its engine was gone and said no more than that the answer broke off; the entry
// forgot the request with its answer, and sent it on to the next agent, twice for each
// call where it may be repeated.
func TestRequestThatEndsTheEngines(t *testing.T) {
	is := is.New(t)
	entries, ended, rounds := crashStack(t, 6)
	call := func(i int, prompt string) answer {
		return send("POST", entries[i%2].url("listen")+"/v1/chat/completions", salishKey, chatBody(prompt, 10, true))
	}
	for i := range 5 {
		got := call(i, killer)
		is.True(got.err != nil || got.status != http.StatusOK)
		rounds()
	}
	is.Equal(ended(), 3)
	missed := func() float64 {
		return metric(entries[0], "gladegauge_target_missed_total") + metric(entries[1], "gladegauge_target_missed_total")
	}
	before := missed()
	for i := range entries {
		got := call(i, killer)
		is.Equal(got.status, http.StatusBadRequest)
		is.Equal(got.problem(t).Error.Code, "ends_upstreams")
		is.True(got.problem(t).Error.NotRun)
		is.Equal(got.header.Get("X-Should-Retry"), "false")
		is.Equal(call(i, "story").status, http.StatusOK) // nobody else is kept out
	}
	is.Equal(missed(), before) // what is blocked misses no target
}
