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

// scriptedAgent is an agent that grants each offer. The first run gets the head, later ones get 200.
type scriptedAgent struct {
	gladegaugev1connect.UnimplementedAgentServiceHandler
	head *gladegaugev1.Head
	body string
	runs atomic.Int64
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
	head, body := a.head, []byte("other")
	if a.runs.Add(1) > 1 {
		head, body = &gladegaugev1.Head{Status: http.StatusOK, Headers: a.head.GetHeaders()[:1]}, []byte(a.body)
	}
	n := uint64(len(body))
	for _, e := range []*gladegaugev1.AttemptEvent{
		{Event: &gladegaugev1.AttemptEvent_Head{Head: head}},
		{Event: &gladegaugev1.AttemptEvent_Chunk{Chunk: &gladegaugev1.Chunk{Data: body, Next: n}}},
		{Event: &gladegaugev1.AttemptEvent_End{End: &gladegaugev1.End{Length: n}}},
	} {
		if err := stream.Send(e); err != nil {
			return err
		}
	}
	return nil
}

// newTestServer starts an entry whose only agents, two of a plain service and two of a model, are the
// scripted one. It returns the address for callers.
func newTestServer(t *testing.T, a *scriptedAgent) (*Server, string) {
	t.Helper()
	is := is.New(t)
	o := &Options{
		Common:  program.Common{ID: "e", Zone: "a", Platform: "http://127.0.0.1:1", Keys: rpc.Keys{Plaintext: true}},
		MaxBody: 1 << 20, ReadTimeout: time.Second, Log: zerolog.Nop(),
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
	return s, callers.URL
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
					a := &scriptedAgent{body: route.body, head: &gladegaugev1.Head{
						Status: h.status, Headers: []*gladegaugev1.Header{{Name: "Content-Type", Value: route.kind}, {Name: h.field, Value: "v"}},
					}}
					s, address := newTestServer(t, a)
					status, body := post(t, address+route.path, class, route.request)
					if class == "again" {
						is.Equal(status, http.StatusOK)
						is.True(strings.Contains(body, route.want))
						is.Equal(a.runs.Load(), int64(2))
					} else {
						is.Equal(status, http.StatusBadGateway)
						is.True(strings.Contains(body, string(CodeOutcomeUnknown)))
						is.Equal(a.runs.Load(), int64(1))
					}
					is.Equal(s.inFlight.Load(), int64(0))
				})
			}
		}
	}
}

// post sends a request of the class and returns the status and the body of the response; 0 if there
// is none.
func post(t *testing.T, url, class, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set(ClassHeader, class)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Log(err)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(text)
}
