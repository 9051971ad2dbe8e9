package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/internal/standin/engine"
	"github.com/gladegauge/gladegauge/internal/standin/service"
)

// TestKilledAgent kills an agent while it streams: the response continues on the other
// upstream, byte for byte.
func TestKilledAgent(t *testing.T) {
	is := is.New(t)
	s, e, agents := newPair(t, "judge-model", 10*time.Millisecond)
	got := s.actDuring(func() response {
		return send("POST", e.url("listen")+"/v1/chat/completions", salishKey, chatBody("story", 300, true))
	}, func(id string) bool { return s.isStreaming(agents[id]) }, func(id string) { agents[id].kill() })
	text, complete := streamText(got.body)
	is.NoErr(got.err)
	is.True(complete)
	is.Equal(text, expectedText("story", 300))
	is.Equal(metric(e, "gladegauge_resumes_total"), 1.0)
}

// TestBrokenStreams breaks every stream when there is no other upstream: no caller takes
// a partial response for a complete one, each request is counted, and no goroutines are
// left.
func TestBrokenStreams(t *testing.T) {
	is := is.New(t)
	s := newStack(t, "salish")
	e := s.entry("entry-1", "a")
	s.agent("agent-1", "a", "judge-model")
	s.ready()
	s.engines["agent-1"].SetFault(engine.Fault{CutAfter: 5})
	before := metric(e, "go_goroutines")
	const requestCount = 30
	for range requestCount {
		got := send("POST", e.url("listen")+"/v1/chat/completions", salishKey, chatBody("x", 50, true))
		_, complete := streamText(got.body)
		is.True(!complete)
		is.True(got.err != nil || got.status != http.StatusOK)
	}
	http.DefaultClient.CloseIdleConnections()
	eventually(t, "all requests are counted", func() bool { return metric(e, "gladegauge_requests_total") == requestCount })
	eventually(t, "the entry's goroutines end", func() bool { return metric(e, "go_goroutines") <= before+8 })
}

// TestKilledEntry kills an entry while it relays a stream: the agent cancels the request.
func TestKilledEntry(t *testing.T) {
	is := is.New(t)
	s, e, agents := newPair(t, "judge-model", 20*time.Millisecond)
	got := s.actDuring(func() response {
		return send("POST", e.url("listen")+"/v1/chat/completions", salishKey, chatBody("story", 4000, true))
	}, func(id string) bool { return s.isStreaming(agents[id]) }, func(string) { e.kill() })
	is.True(got.err != nil) // A partial response is not reported as complete.
	eventually(t, "all requests are cancelled", func() bool {
		running := 0
		for _, eng := range s.engines {
			n, _, _ := eng.Counts()
			running += n
		}
		return running == 0
	})
}

// TestSlowHeaders sends request headers that never end: the entry closes the connection.
func TestSlowHeaders(t *testing.T) {
	is := is.New(t)
	s := newStack(t, "salish")
	e := s.entry("entry-1", "a")
	conn, err := net.Dial("tcp", e.addressOf("listen"))
	is.NoErr(err)
	defer conn.Close()
	_, err = conn.Write([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Slow: "))
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	_, err = io.ReadAll(conn)
	is.NoErr(err) // Closed by the entry, not by the deadline.
}

// TestHangingEngine makes an engine hang during a stream without closing the connection:
// the response continues on the other engine.
func TestHangingEngine(t *testing.T) {
	is := is.New(t)
	s, e, agents := newPair(t, "judge-model", 10*time.Millisecond)
	got := s.actDuring(func() response {
		return send("POST", e.url("listen")+"/v1/chat/completions", salishKey, chatBody("story", 300, true))
	}, func(id string) bool { return s.isStreaming(agents[id]) }, func(id string) { s.engines[id].SetFault(engine.Fault{Hang: true}) })
	text, complete := streamText(got.body)
	is.NoErr(got.err)
	is.True(complete)
	is.Equal(text, expectedText("story", 300))
}

// newTwoAgents starts an entry and two agents, each with an engine.
func newTwoAgents(t *testing.T) (*stack, *proc) {
	t.Helper()
	s := newStack(t, "salish")
	e := s.entry("entry-1", "a")
	s.agent("agent-1", "a", "judge-model")
	s.agent("agent-2", "b", "judge-model")
	s.ready()
	return s, e
}

// TestFailingEngine makes one engine fail all requests: they succeed on the other engine.
// When both fail, the retries stay within their budget.
func TestFailingEngine(t *testing.T) {
	is := is.New(t)
	s, e := newTwoAgents(t)
	s.engines["agent-1"].SetFault(engine.Fault{Fail: true})
	for i := range 30 {
		prompt := fmt.Sprint("ruling ", i)
		got := send("POST", e.url("listen")+"/v1/chat/completions", salishKey, chatBody(prompt, 5, true))
		text, complete := streamText(got.body)
		is.True(complete)
		is.Equal(text, expectedText(prompt, 5))
	}
	s.engines["agent-2"].SetFault(engine.Fault{Fail: true})
	_, one, _ := s.engines["agent-1"].Counts()
	_, two, _ := s.engines["agent-2"].Counts()
	const requestCount = 100
	for range requestCount {
		got := send("POST", e.url("listen")+"/v1/chat/completions", salishKey, chatBody("x", 5, true))
		is.True(got.status == http.StatusBadGateway || got.status == http.StatusServiceUnavailable)
	}
	_, oneNow, _ := s.engines["agent-1"].Counts()
	_, twoNow, _ := s.engines["agent-2"].Counts()
	is.True(float64(oneNow-one+twoNow-two) <= 1.2*requestCount)
}

// TestEngineRetryAfter makes one engine reject requests with a Retry-After header: its
// agent sends it no more requests, and they succeed on the other engine. Agents used to
// return or retry the rejected request and send the next one to the same engine, 20 of
// 20.
func TestEngineRetryAfter(t *testing.T) {
	is := is.New(t)
	s, e := newTwoAgents(t)
	s.engines["agent-1"].SetFault(engine.Fault{RetryAfter: 60})
	for i := range 20 {
		prompt := fmt.Sprint("ruling ", i)
		got := send("POST", e.url("listen")+"/v1/chat/completions", salishKey, chatBody(prompt, 5, true))
		text, complete := streamText(got.body)
		is.True(complete)
		is.Equal(text, expectedText(prompt, 5))
	}
	_, started, _ := s.engines["agent-1"].Counts()
	is.True(started <= 2)
	s.engines["agent-2"].SetFault(engine.Fault{RetryAfter: 60})
	for range 3 {
		send("POST", e.url("listen")+"/v1/chat/completions", salishKey, chatBody("x", 5, true))
	}
	got := send("POST", e.url("listen")+"/v1/chat/completions", salishKey, chatBody("x", 5, true))
	is.Equal(got.status, http.StatusServiceUnavailable)
	retryAfter, err := strconv.Atoi(got.header.Get("Retry-After"))
	is.NoErr(err)
	is.True(retryAfter > 30 && retryAfter <= 60)
}

// TestLostResponse makes a plain service drop the response after running a call, and
// kills an agent during another call: neither call is retried, and neither is reported as
// not run.
func TestLostResponse(t *testing.T) {
	is := is.New(t)
	s, e, agents := newPair(t, "player-app", 300*time.Millisecond)
	runs := func(ticket string) int {
		return s.services["agent-1"].Runs()[ticket] + s.services["agent-2"].Runs()[ticket]
	}
	register := func(ticket string) response {
		return send("POST", e.url("listen")+"/services/player-app/register", salishKey, `{"id":"`+ticket+`"}`)
	}
	for _, svc := range s.services {
		svc.SetFault(service.DropAnswer)
	}
	got := register("t1")
	is.Equal(got.status, http.StatusBadGateway)
	p := got.errorBody(t)
	is.True(p.Error.OutcomeUnknown)
	is.True(!p.Error.NotRun)
	is.Equal(got.header.Get("X-Should-Retry"), "false")
	is.Equal(runs("t1"), 1)

	for _, svc := range s.services {
		svc.SetFault(service.None)
	}
	got = s.actDuring(func() response { return register("t2") },
		func(id string) bool { return s.services[id].Runs()["t2"] > 0 },
		func(id string) { agents[id].kill() })
	is.True(got.errorBody(t).Error.OutcomeUnknown)
	is.Equal(runs("t2"), 1)
	is.Equal(register("t3").status, http.StatusOK)
	is.Equal(runs("t3"), 1)
}

// TestIdempotencyKey uses a key twice, and uses a key after its agent was killed.
func TestIdempotencyKey(t *testing.T) {
	is := is.New(t)
	s := newStack(t, "salish")
	e := s.entry("entry-1", "a")
	a := s.agent("agent-1", "a", "player-app")
	s.ready()
	issue := func() string {
		got := send("POST", e.url("listen")+"/v1/idempotency-keys", salishKey, `{"target":"player-app"}`)
		var k struct{ Key string }
		is.NoErr(json.Unmarshal([]byte(got.body), &k))
		return k.Key
	}
	use := func(key, ticket string) response {
		return send("POST", e.url("listen")+"/services/player-app/register", salishKey, `{"id":"`+ticket+`"}`, "Idempotency-Key", key)
	}
	key := issue()
	is.Equal(use(key, "t1").status, http.StatusOK)
	again := use(key, "t1")
	is.Equal(again.status, http.StatusConflict)
	is.Equal(again.errorBody(t).Error.Code, "already_run")
	is.Equal(s.services["agent-1"].Runs()["t1"], 1)
	other := send("POST", e.url("listen")+"/services/player-app/register", "demo-salish-hope-tables", `{"id":"t2"}`, "Idempotency-Key", issue())
	is.Equal(other.errorBody(t).Error.Code, "invalid_idempotency_key")
	key = issue()
	a.kill()
	gone := use(key, "t3")
	is.True(gone.errorBody(t).Error.OutcomeUnknown)
}

// TestGracefulShutdown shuts down an agent and an entry during streams: each stream
// completes, new requests are rejected, and both processes exit with code 0.
func TestGracefulShutdown(t *testing.T) {
	is := is.New(t)
	s := newStack(t, "salish")
	s.responseDelay = 5 * time.Millisecond
	e := s.entry("entry-1", "a")
	a := s.agent("agent-1", "a", "judge-model")
	s.ready()
	var group errgroup.Group
	for i := range 8 {
		group.Go(func() error {
			prompt := fmt.Sprintf("ruling %d", i)
			got := send("POST", e.url("listen")+"/v1/chat/completions", salishKey, chatBody(prompt, 200, true))
			if text, complete := streamText(got.body); got.err != nil || !complete || text != expectedText(prompt, 200) {
				return fmt.Errorf("stream %d is incomplete: status %d: %w", i, got.status, got.err)
			}
			return nil
		})
	}
	eventually(t, "all streams run", func() bool { running, _, _ := s.engines["agent-1"].Counts(); return running == 8 })
	a.signal(syscall.SIGTERM)
	eventually(t, "the agent is not ready", func() bool { return status(a.url("ops-listen")+"/readyz") != http.StatusOK })
	refused := send("POST", e.url("listen")+"/v1/chat/completions", salishKey, chatBody("new", 5, false))
	is.Equal(refused.status, http.StatusServiceUnavailable)
	is.True(refused.errorBody(t).Error.NotRun)
	is.True(refused.header.Get("Retry-After") != "")
	e.signal(syscall.SIGTERM)
	is.NoErr(group.Wait())
	is.Equal(a.exit(), 0)
	is.Equal(e.exit(), 0)
	_, started, dropped := s.engines["agent-1"].Counts()
	is.Equal(started, 8)
	is.Equal(dropped, 0)
}

// TestSecondSignal checks that a second signal ends the process at once, and that the log
// reports the aborted requests.
func TestSecondSignal(t *testing.T) {
	is := is.New(t)
	s := newStack(t, "salish")
	s.responseDelay = 20 * time.Millisecond
	e := s.entry("entry-1", "a")
	a := s.agent("agent-1", "a", "judge-model")
	s.ready()
	var group errgroup.Group
	group.Go(func() error {
		_ = send("POST", e.url("listen")+"/v1/chat/completions", salishKey, chatBody("x", 4000, true))
		return nil
	})
	eventually(t, "the request runs", func() bool { running, _, _ := s.engines["agent-1"].Counts(); return running == 1 })
	a.signal(syscall.SIGTERM)
	eventually(t, "the agent is not ready", func() bool { return status(a.url("ops-listen")+"/readyz") != http.StatusOK })
	a.signal(syscall.SIGTERM)
	is.Equal(a.exit(), 1)
	is.True(strings.Contains(a.output(), `"cut":1`))
	e.kill()
	_ = group.Wait()
}
