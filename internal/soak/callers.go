package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// What callers do.
const (
	// callTimeoutMs is the callers' patience.
	callTimeoutMs = 2500
	// thinkTime is the mean pause of a caller between two requests.
	thinkTime = 15 * time.Millisecond
	// paths is the number of paths that are asked for of each kind.
	paths = 9
)

// Load lets callers send requests until the context ends. They keep using their
// connections until the process is gone.
func (w *World) Load(ctx context.Context, seed uint64) {
	var group errgroup.Group
	for n := range callers {
		rng := rand.New(rand.NewPCG(seed, uint64(n))) //nolint:gosec // Seeded on purpose.
		group.Go(func() error {
			w.callMany(ctx, n, rng)
			return nil
		})
	}
	_ = group.Wait()
}

// callMany sends the n-th caller's requests, one after the other.
func (w *World) callMany(ctx context.Context, n int, rng *rand.Rand) {
	kinds := []string{kindRead, kindRead, kindWrite, kindChat, kindNote}
	clients := make([]*standin.Caller, len(w.procs))
	for i, p := range w.procs {
		clients[i] = standin.NewCaller(w.t, p.settings.Callers)
	}
	for i := 0; ctx.Err() == nil; i++ {
		kind, key, to := kinds[rng.IntN(len(kinds))], w.key(rng), rng.IntN(len(w.procs))
		c := Call{ID: fmt.Sprintf("%s-%d-%d", kind, n, i), Kind: kind, Key: key, Gateway: to, Life: w.procs[to].lifeNow(), Sent: time.Now()}
		a := send(ctx, clients[to], requestOf(c, rng.IntN(paths)))
		c.Done, c.Status, c.Whole, c.Sealed, c.Body = time.Now(), a.Status, a.Whole, a.Sealed(), a.Body
		c.LeavingReplica, c.LimitedReplica = a.LeavingReplica(), a.LimitedReplica()
		w.record.call(c)
		time.Sleep(upTo(rng, 2*thinkTime))
	}
}

// requestOf is the request of a call to one of its kind's paths.
func requestOf(c Call, path int) standin.Request {
	req := standin.Request{
		ID: c.ID, Host: host, URI: "/" + c.Kind + "/" + strconv.Itoa(path), Key: c.Key, Body: "x", DeadlineMs: callTimeoutMs,
	}
	if streams(c.Kind) {
		req.Tokens, req.PromptParts = "100,200", "aa:60,bb:40"
	}
	return req
}

// send waits for the answer, also after the end of the load. The caller gives up
// well after its own deadline.
func send(ctx context.Context, client *standin.Caller, req standin.Request) standin.Answer {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*callTimeoutMs*time.Millisecond)
	defer cancel()
	return client.Call(ctx, req)
}

// key is mostly the lasting one, and now and then one that may be revoked.
func (w *World) key(rng *rand.Rand) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch dice := rng.IntN(10); {
	case dice < 7 || (dice < 9 && len(w.oldKeys) == 0):
		return lastingKey
	case dice < 9:
		return w.oldKeys[len(w.oldKeys)-1]
	default:
		return w.spareKey
	}
}
