package gatewayd

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/occupancy"
	"github.com/gladegauge/gladegauge/platform/standin"
)

// A request that would wait for most of its target is shed immediately: it does not run, the
// caller is told when to retry, and the reason is logged.
func TestBusyPoolShedsRequests(t *testing.T) {
	is := is.New(t)
	hold := make(chan struct{})
	w := &testEnv{t: t, is: is, store: standin.NewStore(t)}
	cfg := configuration(1)
	cfg.Engines = true
	w.store.PutConfig(cfg)
	r := standin.NewReplica(t, "i-a", func(int, standin.Request) standin.Reply {
		return standin.Reply{Events: []string{"one"}, Hold: hold}
	})
	w.replicas = append(w.replicas, r)
	w.store.PutReplica(r, "app", false)
	w.start(testBounds())
	w.await(func() bool { return w.upstreams() == 1 && w.readiness() == 200 })
	prompt := func(i int) standin.Request {
		return standin.Request{ID: fmt.Sprintf("r-%d", i), Host: "x.example", URI: "/chat/1", Key: "key-a", Body: "hello",
			DeadlineMs: 2000, Tokens: "9000,50", PromptParts: fmt.Sprintf("5:6000,%d:3000", 10+i)}
	}
	first := make(chan standin.Answer, 1)
	w.group.Go(func() error {
		first <- w.caller.Call(context.Background(), prompt(1))
		return nil
	})
	w.await(func() bool { return len(w.ran()) == 1 })
	sent := time.Now()
	w.server.control.DoWithoutCancel(func(now time.Time) {
		w.server.table.SetPeerLoads(now, balance.PeerLoads{
			Loads: occupancy.Loads{xxhash.Sum64String("i-a"): {Unread: 1_000_000}},
			TTL:   time.Minute, Gateways: 3,
		})
	})
	// The gateway sheds requests only after it has observed such a wait itself.
	w.await(func() bool { return time.Since(sent) > 600*time.Millisecond })
	a := w.caller.Call(context.Background(), prompt(2))
	is.Equal(a.Status, 503)
	is.True(a.RetryAfter() > time.Second)
	is.Equal(len(w.ran()), 1)
	w.await(func() bool { return strings.Contains(w.logs.String(), `"reason":"pool_busy"`) })
	is.True(strings.Contains(w.logs.String(), `"message":"pool is too busy"`))
	close(hold)
	is.Equal((<-first).Status, 200)
}
