package gatewayd

import (
	"net/http"
	"testing"
)

// An entry of another writer took the place of an upstream's own. The gateway went on
// by the entry before, and sent requests to what nobody names any more.
func TestOverwrittenEntry(t *testing.T) {
	w := newWorld(t, 2, fine)
	for range 3 {
		w.store.Put("servers/i-a", []byte(`{"service":"app","address":7}`))
		w.await(func() bool { return w.upstreams() == 1 })
		w.is.Equal(w.call("/read/1").Status, http.StatusOK)
		w.store.PutReplica(w.replicas[0], "app", false)
		w.await(func() bool { return w.upstreams() == 2 })
	}
	w.is.Equal(len(w.replicas[0].Ran()), 0)
}
