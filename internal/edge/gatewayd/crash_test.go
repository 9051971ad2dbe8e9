package gatewayd

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	dto "github.com/prometheus/client_model/go"

	"github.com/gladegauge/gladegauge/internal/core/suspect"
	"github.com/gladegauge/gladegauge/platform/standin"
)

// killer is the body of a request that ends each engine that runs it.
const killer = "end"

// crashWorld is gateways in two availability zones, and n engines, each of which ends
// under the request that kills.
type crashWorld struct {
	*world
	peers   []*testPeer
	callers []*standin.Caller
	calls   int
}

func newCrashWorld(t *testing.T, engines int) *crashWorld {
	t.Helper()
	w := &crashWorld{world: &world{t: t, is: is.New(t), store: standin.NewStore(t)}}
	cfg := configuration(1)
	cfg.Engines = true
	w.store.PutConfig(cfg)
	for i := range engines {
		r := standin.NewReplica(t, fmt.Sprintf("i-%d", i), func(_ int, r standin.Request) standin.Reply {
			return standin.Reply{Crash: r.Body == killer, Events: []string{"a", "b"}}
		})
		w.replicas = append(w.replicas, r)
		w.store.PutReplica(r, "app", false)
	}
	var seeds []string
	for _, zone := range []string{"a", "a", "b"} {
		p := startPeerIn(t, w.store, zone, seeds...)
		w.peers = append(w.peers, p)
		w.callers = append(w.callers, standin.NewCaller(t, p.CallersAddress()))
		seeds = append(seeds, p.PeersAddress())
	}
	w.await(func() bool {
		for _, p := range w.peers {
			if known, _ := p.known(); known != len(w.peers) || p.version() == 0 {
				return false
			}
		}
		return true
	})
	return w
}

// send sends a request to one of the gateways, under a new identity.
func (w *crashWorld) send(gateway int, uri, body string) standin.Answer {
	w.calls++
	ctx, cancel := context.WithTimeout(context.Background(), patienceOfTests)
	defer cancel()
	return w.callers[gateway].Call(ctx, standin.Request{
		ID: fmt.Sprintf("r-%d", w.calls), Host: "x.example", URI: uri, Key: "key-a",
		Body: body, DeadlineMs: 1500, Tokens: "10,10", PromptParts: fmt.Sprintf("%d:10", w.calls),
	})
}

// ended is the number of engines that ended.
func (w *crashWorld) ended() int {
	n := 0
	for _, r := range w.replicas {
		if r.Crashed() {
			n++
		}
	}
	return n
}

// awaitWords waits until all gateways have told what they know three times: to the
// relay, on to the other relay, and from there to everybody.
func (w *crashWorld) awaitWords() {
	w.t.Helper()
	told := func(p *testPeer) float64 {
		var m dto.Metric
		w.is.NoErr(p.metrics.peerCalls.WithLabelValues("tell_loads", "ok").Write(&m))
		return m.GetCounter().GetValue()
	}
	var before []float64
	for _, p := range w.peers {
		before = append(before, told(p))
	}
	w.await(func() bool {
		for i, p := range w.peers {
			if told(p) < before[i]+3 {
				return false
			}
		}
		return true
	})
}

// A request ended each engine that began to run it, and its caller sent it again and
// again, under new identities and to any gateway: 18 engines of a pool of twelve ended
// under a single one, eleven of them after the third. The gateways told requests apart
// by their identity alone, forgot them when they ended, and told each other nothing of
// what an engine's end took with it. In the logs, at each end one request of any gateway
// had "stream broken after 0 events: unexpected EOF" and sent 1.
func TestRequestThatEndsItsUpstreams(t *testing.T) {
	w := newCrashWorld(t, 14)
	for i := range 9 {
		w.send(i%len(w.peers), "/chat/1", killer)
		w.awaitWords()
	}
	w.is.Equal(w.ended(), 3)
}

// The caller of a request that is blocked gets an error that ordinary clients do not
// repeat, at any gateway, and is not told that coming back helps. It keeps nobody else
// out, and the logs of its gateways name it.
func TestBlockedRequest(t *testing.T) {
	w := newCrashWorld(t, 8)
	for i := range 3 {
		w.send(i, "/chat/1", killer)
		w.awaitWords()
	}
	for i := range w.peers {
		a := w.send(i, "/chat/1", killer)
		w.is.Equal(a.Status, http.StatusBadRequest)
		w.is.Equal(a.RetryAfter(), time.Duration(0))
		w.is.True(!a.Sealed())
		w.is.Equal(w.send(i, "/chat/1", "another body").Status, http.StatusOK)
		w.is.Equal(w.send(i, "/chat/2", "hello").Status, http.StatusOK)
	}
	w.is.Equal(w.ended(), 3)
}

// Answers that break off without an end of their upstream say nothing about the
// request, however often.
func TestBrokenAnswersAreNoEvidence(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3, func(n int, _ standin.Request) standin.Reply {
		return standin.Reply{Events: []string{"a", "b", "c"}, CutAfter: 1}
	})
	for range 6 {
		w.call("/chat/1")
	}
	is.Equal(len(w.ran()), 6)
	is.True(!w.server.suspects.Any())
}

// An innocent request meets an end, comes again, and is served: nothing is left of the
// suspicion.
func TestInnocentBesideAnEnd(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3, func(n int, _ standin.Request) standin.Reply {
		return standin.Reply{Crash: n < 2, Events: []string{"a", "b"}}
	})
	w.call("/chat/1")
	w.call("/chat/1")
	is.True(w.server.suspects.Any())
	verdict := func() (v suspect.Verdict) {
		w.server.control.DoWithoutCancel(func(now time.Time) {
			for p := range w.server.suspects.Prints() {
				v = w.server.suspects.Check(now, p)
			}
		})
		return v
	}
	is.Equal(verdict(), suspect.Quarantined)
	is.Equal(w.call("/chat/1").Status, http.StatusOK)
	is.Equal(verdict(), suspect.Free)
	is.True(strings.Contains(w.logs.String(), "suspect: cleared"))
}

// The gateway does not itself repeat a request under which two upstreams ended.
func TestSuspectIsSentOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 6, func(_ int, r standin.Request) standin.Reply {
		return standin.Reply{Crash: r.Body == killer}
	})
	a := w.caller.Call(context.Background(), standin.Request{ID: "r-1", Host: "x.example", URI: "/read/1", Key: "key-a", Body: killer, DeadlineMs: 1500})
	is.Equal(a.Status, http.StatusBadGateway)
	is.Equal(len(w.ran()), 2) // both attempts of the route
	a = w.caller.Call(context.Background(), standin.Request{ID: "r-2", Host: "x.example", URI: "/read/1", Key: "key-a", Body: killer, DeadlineMs: 1500})
	is.Equal(len(w.ran()), 3)
	is.Equal(a.Status, http.StatusBadRequest)
}
