package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/internal/edge/loop"
	"github.com/gladegauge/gladegauge/platform/standin"
)

const (
	// maxBadEntryPause is the maximum pause between two entries of another writer.
	maxBadEntryPause = 600 * time.Millisecond
	// badEntryID is the identity of the entry with a field that is missing or of another type,
	// unnamedPoolID that of the entry of a pool that no configuration names.
	badEntryID    = "other-1"
	unnamedPoolID = "other-2"
	unnamedPool   = "unnamed"
)

// InjectBadEntries writes entries of another writer until the context ends: ones that lack a
// field or have another type there, with the address of a server that is no replica, and ones of
// a pool that no configuration names, at the addresses of replicas.
func (h *Harness) InjectBadEntries(ctx context.Context, seed uint64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.record.addBadEntryRequest()
		http.NotFound(w, r)
	})}
	var group errgroup.Group
	group.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.WithStack(err)
		}
		return nil
	})
	entries := standin.BadEntries(l.Addr().String(), pool)
	rng := rand.New(rand.NewPCG(seed, 3000)) //nolint:gosec // Seeded on purpose.
	for loop.Sleep(ctx, randomBelow(rng, maxBadEntryPause)) {
		h.store.PutBadEntry(badEntryID, entries[rng.IntN(len(entries))])
		h.store.PutReplicaAddress(unnamedPoolID, h.randomReplicaAddress(rng), unnamedPool)
	}
	_ = server.Close()
	_ = group.Wait()
}

// randomReplicaAddress returns the listed address of a replica.
func (h *Harness) randomReplicaAddress(rng *rand.Rand) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replicas[rng.IntN(len(h.replicas))].link.Address()
}

func (r *Record) addBadEntryRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.BadEntryRequests++
}

// badEntriesAvoided: the server whose address is in entries of another writer gets no requests.
func badEntriesAvoided(r *Record) []string {
	if r.BadEntryRequests == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%d requests reached the server of such entries", r.BadEntryRequests)}
}
