package entryd

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/member"
	"github.com/gladegauge/gladegauge/internal/edge/program"
	"github.com/gladegauge/gladegauge/internal/edge/rpc"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
	"github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1/gladegaugev1connect"
)

const testKey = "key-a"

// scriptedAgent is an agent that grants each offer and answers the nth run, counted from 0, with the
// events that run returns.
type scriptedAgent struct {
	gladegaugev1connect.UnimplementedAgentServiceHandler
	run  func(n int64) []*gladegaugev1.AttemptEvent
	runs atomic.Int64
	// reported is the number of lines that the entry has logged about invalid heads.
	reported atomic.Int64
}

// Attempt implements the service of agents.
func (a *scriptedAgent) Attempt(_ context.Context, stream *connect.BidiStream[gladegaugev1.AttemptCommand, gladegaugev1.AttemptEvent]) error {
	if _, err := stream.Receive(); err != nil {
		return err
	}
	granted := &gladegaugev1.Granted{TtlMs: 1000, Incarnation: "1"}
	if err := stream.Send(&gladegaugev1.AttemptEvent{Event: &gladegaugev1.AttemptEvent_Granted{Granted: granted}}); err != nil {
		return err
	}
	command, err := stream.Receive()
	if err != nil || command.GetRun() == nil {
		return err
	}
	for _, e := range a.run(a.runs.Add(1) - 1) {
		if err := stream.Send(e); err != nil {
			return err
		}
	}
	return nil
}

// Run implements zerolog.Hook.
func (a *scriptedAgent) Run(_ *zerolog.Event, _ zerolog.Level, message string) {
	if message == "agent sent an invalid head" {
		a.reported.Add(1)
	}
}

// headOf returns the head of a response with one field and its type.
func headOf(status uint32, kind, field string) *gladegaugev1.AttemptEvent {
	headers := []*gladegaugev1.Header{{Name: "Content-Type", Value: kind}, {Name: field, Value: "v"}}
	return &gladegaugev1.AttemptEvent{Event: &gladegaugev1.AttemptEvent_Head{Head: &gladegaugev1.Head{Status: status, Headers: headers}}}
}

// chunkOf returns the part of a response between two offsets.
func chunkOf(offset, next int, data string) *gladegaugev1.AttemptEvent {
	c := &gladegaugev1.Chunk{Offset: uint64(offset), Next: uint64(next), Data: []byte(data)}
	return &gladegaugev1.AttemptEvent{Event: &gladegaugev1.AttemptEvent_Chunk{Chunk: c}}
}

// endOf returns the end of a response of the length.
func endOf(length int) *gladegaugev1.AttemptEvent {
	return &gladegaugev1.AttemptEvent{Event: &gladegaugev1.AttemptEvent_End{End: &gladegaugev1.End{Length: uint64(length)}}}
}

// newTestServer starts an entry whose only agents, two of a plain service and two of a model, are the
// scripted one. It returns the address for callers.
func newTestServer(t *testing.T, a *scriptedAgent) string {
	t.Helper()
	is := is.New(t)
	o := &Options{
		Common:  program.Common{ID: "e", Zone: "a", Platform: "http://127.0.0.1:1", Keys: rpc.Keys{Plaintext: true}},
		MaxBody: 1 << 20, ReadTimeout: time.Second, Log: zerolog.New(io.Discard).Hook(a),
	}
	_, handler := gladegaugev1connect.NewAgentServiceHandler(a)
	agents, err := o.Keys.Server(handler)
	is.NoErr(err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s, err := New(o)
	is.NoErr(err)
	key := sha256.Sum256([]byte(testKey))
	cfg, faults := config.New(&gladegaugev1.Configuration{
		Revision: 1,
		Classes:  []*gladegaugev1.Class{{Name: "again", Tier: 1, Repeatable: true, FirstTokenMs: 1000}, {Name: "once", Tier: 1, FirstTokenMs: 1000}},
		Pools: []*gladegaugev1.Pool{
			{Name: "app", Kind: gladegaugev1.PoolKind_POOL_KIND_SERVICE, Slots: 1, Classes: []string{"again", "once"}},
			{Name: "p", Kind: gladegaugev1.PoolKind_POOL_KIND_MODEL, Model: "m", Slots: 1, Classes: []string{"again", "once"}},
		},
		Organisations: []*gladegaugev1.Organisation{{Name: "org-a", KeySha256: []string{hex.EncodeToString(key[:])}}},
	})
	is.Equal(len(faults), 0)
	list := &gladegaugev1.HostList{Zone: "a", Version: 1, Hosts: []*gladegaugev1.Host{{Id: "e", Role: gladegaugev1.Role_ROLE_ENTRY}}}
	for i, pool := range []string{"app", "app", "p", "p"} {
		list.Hosts = append(list.Hosts, &gladegaugev1.Host{Id: fmt.Sprintf("a-%d", i), Role: gladegaugev1.Role_ROLE_AGENT, Pool: pool, Address: l.Addr().String()})
	}
	members, _ := member.NewSet().With(list)

	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return o.Keys.Serve(agents, l) })
	group.Go(func() error { return s.loop.Run(ctx) })
	s.loop.DoWithoutCancel(func(now time.Time) {
		s.onMembers(now, members)
		s.onConfig(now, cfg)
	})
	s.ready.Store(true)
	callers := httptest.NewServer(s.handler())
	t.Cleanup(func() {
		callers.Close()
		_ = agents.Close()
		cancel()
		_ = group.Wait()
	})
	return callers.URL
}

// A head that HTTP does not allow, as an agent of an earlier version forwards it, ended its caller's
// connection without an answer, or was passed on.
func TestInvalidHeadOfAgent(t *testing.T) {
	const (
		chat  = `{"model":"m","messages":[{"role":"user","content":"x"}]}`
		event = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"sound\"}}]}\n\ndata: [DONE]\n\n"
	)
	routes := []struct{ path, kind, request, body, want string }{
		{"/services/app/x", "text/plain", "", "sound", "sound"},
		{"/v1/chat/completions", "text/event-stream", chat, event, `"content":"sound"`},
	}
	heads := []struct {
		name   string
		status uint32
		field  string
	}{
		{"status 0", 0, "Date"},
		{"status 20", 20, "Date"},
		{"status 600", 600, "Date"},
		{"status 1000", 1000, "Date"},
		{"blank in the name of a field", 200, "Bad Name"},
		{"control byte in the name of a field", 200, "Bad\x01"},
	}
	for _, route := range routes {
		for _, h := range heads {
			for _, class := range []string{"again", "once"} {
				t.Run(h.name+", "+class+", "+route.path, func(t *testing.T) {
					is := is.New(t)
					a := &scriptedAgent{run: func(n int64) []*gladegaugev1.AttemptEvent {
						if n == 0 {
							return []*gladegaugev1.AttemptEvent{headOf(h.status, route.kind, h.field), chunkOf(0, 1, "other"), endOf(1)}
						}
						return []*gladegaugev1.AttemptEvent{headOf(http.StatusOK, route.kind, "Date"), chunkOf(0, 1, route.body), endOf(1)}
					}}
					resp, body, err := post(t, newTestServer(t, a)+route.path, class, route.request)
					is.NoErr(err)
					if class == "again" {
						is.Equal(resp.StatusCode, http.StatusOK)
						is.True(strings.Contains(body, route.want))
						is.Equal(a.runs.Load(), int64(2))
					} else {
						is.Equal(resp.StatusCode, http.StatusBadGateway)
						is.True(strings.Contains(body, string(CodeOutcomeUnknown)))
						is.Equal(a.runs.Load(), int64(1))
					}
					is.Equal(a.reported.Load(), int64(1))
				})
			}
		}
	}
}

// The head of a run that goes on with a stream was not looked at.
func TestInvalidHeadOfResumedStream(t *testing.T) {
	const kind = "text/event-stream"
	is := is.New(t)
	failed := &gladegaugev1.AttemptEvent{Event: &gladegaugev1.AttemptEvent_Failed{Failed: &gladegaugev1.Failed{}}}
	runs := [][]*gladegaugev1.AttemptEvent{
		{headOf(http.StatusOK, kind, "Date"), chunkOf(0, 1, "data: a\n\n"), failed},
		{headOf(http.StatusOK, kind, "Bad Name"), chunkOf(1, 2, "data: other\n\n"), endOf(2)},
	}
	a := &scriptedAgent{run: func(n int64) []*gladegaugev1.AttemptEvent { return runs[n] }}
	resp, body, err := post(t, newTestServer(t, a)+"/services/app/x", "again", "")
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "data: a\n\n")
	is.True(err != nil) // a response is resumed once; this one is visibly cut
	is.Equal(a.reported.Load(), int64(1))
}

// post sends a request of the class and returns the response and its body, as far as it arrived.
func post(t *testing.T, url, class, body string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set(ClassHeader, class)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}
