package gatewayd

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/gladegauge/gladegauge/internal/core/feed"
	"github.com/gladegauge/gladegauge/platform/standin"
)

// Another writer's entry replaces that of an upstream. The gateway kept using the previous
// entry, and sent requests to an upstream that was no longer listed.
func TestOverwrittenEntry(t *testing.T) {
	w := newTestEnv(t, 2, replyOK)
	for range 3 {
		w.store.PutForeignEntry("i-a")
		w.await(func() bool { return w.upstreams() == 1 })
		w.is.Equal(w.call("/read/1").Status, http.StatusOK)
		w.store.PutReplica(w.replicas[0], "app", false)
		w.await(func() bool { return w.upstreams() == 2 })
	}
	w.is.Equal(len(w.replicas[0].Ran()), 0)
}

// Thousands of entries of another writer hide no other entry, and cost a bounded number of
// log lines and no memory.
func TestManyInvalidEntries(t *testing.T) {
	w := newTestEnv(t, 1, replyOK)
	const many = 3000
	for i := range many {
		w.store.PutForeignEntry(fmt.Sprintf("x-%d", i))
	}
	r := standin.NewReplica(t, "i-z", replyOK)
	w.store.PutReplica(r, "app", false)
	w.await(func() bool { return w.upstreams() == 2 })
	w.is.True(strings.Count(w.logs.String(), "value is invalid") < many/10)
	batch, _ := w.server.feed.Since(feed.Position{})
	w.is.True(len(batch.Entries) < many/10)
}
