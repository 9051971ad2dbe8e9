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

// crashPrompt is the prompt of a request that crashes each engine that runs it.
const crashPrompt = "the end"

// crashingEngine is an engine that some requests crash: it closes its listener and all
// connections.
type crashingEngine struct {
	engine  *engine.Engine
	server  *httptest.Server
	mu      sync.Mutex
	crashed bool
}

func newCrashingEngine(t *testing.T) *crashingEngine {
	t.Helper()
	f := &crashingEngine{engine: engine.New(engine.Options{Slots: 8, PerToken: time.Millisecond})}
	f.server = httptest.NewServer(f)
	t.Cleanup(func() {
		f.server.CloseClientConnections()
		f.server.Close()
	})
	return f
}

// ServeHTTP serves a request, or crashes.
func (f *crashingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if strings.Contains(string(body), crashPrompt) {
		f.mu.Lock()
		f.crashed = true
		f.mu.Unlock()
		_ = f.server.Listener.Close()
		f.server.CloseClientConnections()
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	f.engine.ServeHTTP(w, r)
}

func (f *crashingEngine) hasCrashed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashed
}

// newCrashStack starts two entries and n agents, each with a crashing engine. The
// function crashed returns the number of crashed engines. awaitExchanges waits until the
// entries have exchanged their observations.
func newCrashStack(t *testing.T, n int) (entries []*proc, crashed func() int, awaitExchanges func()) {
	t.Helper()
	s := newStack(t, "salish")
	entries = []*proc{s.entry("entry-1", "a"), s.entry("entry-2", "b")}
	var engines []*crashingEngine
	for i := range n {
		f := newCrashingEngine(t)
		engines = append(engines, f)
		s.agentAt(fmt.Sprintf("agent-%d", i+1), []string{"a", "b"}[i%2], "judge-model", f.server.URL)
	}
	s.ready()
	crashed = func() int {
		sum := 0
		for _, f := range engines {
			if f.hasCrashed() {
				sum++
			}
		}
		return sum
	}
	// Each entry exchanges its observations with several others.
	awaitExchanges = func() {
		const exchanges = 3
		before := []float64{metric(entries[0], "gladegauge_peer_calls_total"), metric(entries[1], "gladegauge_peer_calls_total")}
		eventually(t, "the entries have exchanged their observations", func() bool {
			return metric(entries[0], "gladegauge_peer_calls_total") >= before[0]+exchanges &&
				metric(entries[1], "gladegauge_peer_calls_total") >= before[1]+exchanges
		})
	}
	return entries, crashed, awaitExchanges
}

// A request that crashes engines is blocked after three crashes, at every entry. It could
// crash all engines: an agent reported the crash only as a broken response, and the entry
// forgot the request after responding and sent it to the next agent, twice per call if it
// was idempotent.
func TestRequestThatCrashesEngines(t *testing.T) {
	is := is.New(t)
	entries, crashed, awaitExchanges := newCrashStack(t, 6)
	call := func(i int, prompt string) response {
		return send("POST", entries[i%2].url("listen")+"/v1/chat/completions", salishKey, chatBody(prompt, 10, true))
	}
	for i := range 5 {
		got := call(i, crashPrompt)
		is.True(got.err != nil || got.status != http.StatusOK)
		awaitExchanges()
	}
	is.Equal(crashed(), 3)
	missedTargets := func() float64 {
		return metric(entries[0], "gladegauge_target_missed_total") + metric(entries[1], "gladegauge_target_missed_total")
	}
	before := missedTargets()
	for i := range entries {
		got := call(i, crashPrompt)
		is.Equal(got.status, http.StatusBadRequest)
		is.Equal(got.errorBody(t).Error.Code, "ends_upstreams")
		is.True(got.errorBody(t).Error.NotRun)
		is.Equal(got.header.Get("X-Should-Retry"), "false")
		is.Equal(call(i, "story").status, http.StatusOK) // other requests are not blocked
	}
	is.Equal(missedTargets(), before) // blocked requests do not count as missed targets
}

// Requests of which no two are alike begin with one and the same message, which crashes each
// engine that answers it: all engines crashed. It is blocked at every entry; requests that
// begin otherwise are served.
func TestFirstMessageThatCrashesEngines(t *testing.T) {
	is := is.New(t)
	entries, crashed, awaitExchanges := newCrashStack(t, 8)
	call := func(i int, first string) response {
		body := fmt.Sprintf(`{"model":"judge","stream":true,"max_tokens":10,"messages":[{"role":"system","content":%q},{"role":"user","content":"question %d"}]}`, first, i)
		return send("POST", entries[i%2].url("listen")+"/v1/chat/completions", salishKey, body)
	}
	const enough = 5
	for i := range 7 {
		call(i, crashPrompt)
		awaitExchanges()
	}
	is.True(crashed() <= enough)
	for i := range entries {
		is.Equal(call(i, crashPrompt).status, http.StatusBadRequest)
		is.Equal(call(i, "You are a judge.").status, http.StatusOK)
	}
}
