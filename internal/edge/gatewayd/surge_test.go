package gatewayd

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/surge"
	"github.com/gladegauge/gladegauge/platform/standin"
)

// A gateway that cannot keep up with a surge of new connections closes some of them unread,
// while calls on open connections and accepted ones are served.
func TestConnectionsClosedUnreadInSurge(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, 1, func(_ int, _ standin.Request) standin.Reply { return standin.Reply{} })
	is.Equal(w.call("/read/1").Status, http.StatusOK)
	now := w.server.now()
	w.server.guard.mu.Lock()
	w.server.guard.guard = surge.New(now.Add(-20 * time.Second))
	for i := range 20 {
		w.server.guard.guard.Admit(now.Add(time.Duration(i-20)*time.Second), 1)
	}
	w.server.guard.mu.Unlock()
	const lag = 300 * time.Millisecond
	unread, served := 0, 0
	for i := range 200 {
		w.server.recordLag(w.server.now().Add(time.Duration(i)*lagInterval), lag)
		caller := standin.NewCaller(t, w.server.CallersAddress())
		a := caller.Call(context.Background(), standin.Request{ID: "r-1", Host: "x.example", URI: "/read/1", Key: "key-a", Body: "hello", DeadlineMs: 1500})
		switch {
		case a.Err != nil:
			unread++
		case a.Status == http.StatusOK:
			served++
		}
	}
	is.True(unread > 0)
	is.True(served > 0)
	is.Equal(len(w.ran()), served+1)
	is.Equal(w.call("/read/1").Status, http.StatusOK) // on the open connection
}
