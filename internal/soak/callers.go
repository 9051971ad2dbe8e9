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

// Parameters of the callers.
const (
	// callTimeoutMs is the deadline of each request.
	callTimeoutMs = 2500
	callTimeout   = callTimeoutMs * time.Millisecond
	// thinkTime is the mean pause of a caller between two requests.
	thinkTime = 15 * time.Millisecond
	// leavePercent is the share of the streams that may be resumed whose callers close their
	// connection before the last event, as mobile callers do, and resume them.
	leavePercent = 20
	// pathsPerKind is the number of paths requested for each kind of request.
	pathsPerKind = 9
)

// GenerateLoad runs the callers until the context ends. Each caller keeps its connections
// until the process at the other end is gone.
func (h *Harness) GenerateLoad(ctx context.Context, seed uint64) {
	var group errgroup.Group
	for n := range callerCount {
		rng := rand.New(rand.NewPCG(seed, uint64(n)))          //nolint:gosec // Seeded on purpose.
		leaving := rand.New(rand.NewPCG(seed, uint64(1000+n))) //nolint:gosec // Seeded on purpose.
		group.Go(func() error {
			h.runCaller(ctx, n, rng, leaving)
			return nil
		})
	}
	_ = group.Wait()
}

// runCaller sends the requests of the n-th caller, one after the other. Which streams it leaves
// has a random number generator of its own.
func (h *Harness) runCaller(ctx context.Context, n int, rng, leaving *rand.Rand) {
	kinds := []string{kindRead, kindRead, kindWrite, kindChat, kindNote, kindBrief, kindBrief}
	clients := make([]*standin.Caller, len(h.procs))
	for i, p := range h.procs {
		clients[i] = standin.NewCaller(h.t, p.settings.Callers)
	}
	for i := 0; ctx.Err() == nil; i++ {
		kind, key := kinds[rng.IntN(len(kinds))], h.key(rng)
		c := Call{ID: fmt.Sprintf("%s-%d-%d", kind, n, i), Kind: kind, Key: key}
		if isResumable(kind) && leaving.IntN(100) < leavePercent {
			c.LeaveAfter = 1 + leaving.IntN(eventsPerStream-1)
		}
		c, _ = h.call(ctx, clients, rng, c)
		h.resume(ctx, clients, rng, c)
		time.Sleep(randomBelow(rng, 2*thinkTime))
	}
}

// call makes a call at a random gateway, records it and returns it with its response.
func (h *Harness) call(ctx context.Context, clients []*standin.Caller, rng *rand.Rand, c Call) (Call, standin.Answer) {
	c.Gateway = rng.IntN(len(h.procs))
	client := clients[c.Gateway]
	if n := h.concentrated.Load(); n != noGateway && rng.IntN(100) < concentrationPercent {
		c.Gateway = int(n)
		client = standin.NewCaller(h.t, h.procs[n].settings.Callers)
		defer client.Close()
	}
	c.Incarnation, c.Sent = h.procs[c.Gateway].currentIncarnation(), time.Now()
	a := send(ctx, client, newRequest(c, rng.IntN(pathsPerKind)))
	c.Done, c.Status, c.Whole, c.Sealed, c.Body = time.Now(), a.Status, a.Whole, a.Sealed(), a.Body
	c.LeavingReplica, c.LimitedReplica = a.LeavingReplica(), a.LimitedReplica()
	h.record.addCall(c)
	return c, a
}

// newRequest returns the request for a call, to a path of its kind.
func newRequest(c Call, path int) standin.Request {
	req := standin.Request{
		ID: c.ID, Host: host, URI: "/" + c.Kind + "/" + strconv.Itoa(path), Key: c.Key, Body: "x", DeadlineMs: callTimeoutMs,
		Resumes: c.Resumes, LastEvent: c.LastEvent, LeaveAfter: c.LeaveAfter,
	}
	if isStream(c.Kind) {
		req.Tokens, req.PromptParts = "100,200", "aa:60,bb:40"
	}
	return req
}

// send waits for the response even if the context ends. It gives up well after the
// caller's own deadline.
func send(ctx context.Context, client *standin.Caller, req standin.Request) standin.Answer {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*callTimeout)
	defer cancel()
	return client.Call(ctx, req)
}

// key returns the permanent key most of the time, and otherwise the last revoked key or
// the one that is revoked next.
func (h *Harness) key(rng *rand.Rand) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch roll := rng.IntN(10); {
	case roll < 7 || (roll < 9 && len(h.revokedKeys) == 0):
		return permanentKey
	case roll < 9:
		return h.revokedKeys[len(h.revokedKeys)-1]
	default:
		return h.nextRevokedKey
	}
}
