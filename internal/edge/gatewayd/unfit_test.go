package gatewayd

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/gladegauge/gladegauge/internal/core/feed"
	"github.com/gladegauge/gladegauge/platform/standin"
)

// An entry of another writer took the place of an upstream's own. The gateway went on
// by the entry before, and sent requests to what nobody names any more.
func TestOverwrittenEntry(t *testing.T) {
	w := newWorld(t, 2, fine)
	for range 3 {
		w.store.PutForeignEntry("i-a")
		w.await(func() bool { return w.upstreams() == 1 })
		w.is.Equal(w.call("/read/1").Status, http.StatusOK)
		w.store.PutReplica(w.replicas[0], "app", false)
		w.await(func() bool { return w.upstreams() == 2 })
	}
	w.is.Equal(len(w.replicas[0].Ran()), 0)
}

// Thousands of entries of another writer hide no other, and cost a bounded number of log
// lines and no memory.
func TestManyUnfitEntries(t *testing.T) {
	w := newWorld(t, 1, fine)
	const many = 3000
	for i := range many {
		w.store.PutForeignEntry(fmt.Sprintf("x-%d", i))
	}
	r := standin.NewReplica(t, "i-z", fine)
	w.store.PutReplica(r, "app", false)
	w.await(func() bool { return w.upstreams() == 2 })
	w.is.True(strings.Count(w.logs.String(), "value is faulty") < many/10)
	batch, _ := w.server.feed.Since(feed.Position{})
	w.is.True(len(batch.Entries) < many/10)
}
