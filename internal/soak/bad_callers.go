package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/internal/edge/loop"
	"github.com/gladegauge/gladegauge/platform/standin"
)

// Parameters of the callers that do not keep to the protocol.
const (
	badCallerCount = 3
	// badPrefix begins the IDs of their requests, of which none may run.
	badPrefix = "bad-"
	// badCallerTimeout is the time after which such a caller leaves.
	badCallerTimeout = 5 * time.Second
	// slowByte is the pause between two bytes of a slow caller.
	slowByte = 300 * time.Millisecond
	// idleConnections is the number of connections that a caller opens without a request.
	idleConnections = 40
)

// badCaller is a caller that does not keep to the protocol. It sends on a new connection.
type badCaller struct {
	name string
	send func(ctx context.Context, c *standin.Upload, r standin.Request)
}

// badCallers are the kinds of such callers. What they send can fail, as gateways may close the
// connection at any time.
var badCallers = []badCaller{
	{"stops in the head", func(_ context.Context, c *standin.Upload, _ standin.Request) {
		_ = c.Raw("POST /write/1 HTTP/1.1\r\nHost: " + host + "\r\nX-")
	}},
	{"sends a head slowly", func(ctx context.Context, c *standin.Upload, r standin.Request) {
		for _, b := range "POST " + r.URI + " HTTP/1.1\r\nHost: " + host {
			if c.Raw(string(b)) != nil || !loop.Sleep(ctx, slowByte) {
				return
			}
		}
	}},
	{"stops in a short body", func(_ context.Context, c *standin.Upload, r standin.Request) {
		_ = c.Begin(r, 1000)
		_ = c.Send("not all of it")
	}},
	{"two lengths", func(_ context.Context, c *standin.Upload, r standin.Request) {
		r.Header = map[string][]string{"Content-Length": {"9"}}
		_ = c.Begin(r, 3)
		_ = c.Send("body")
	}},
	{"a malformed chunk", func(_ context.Context, c *standin.Upload, r standin.Request) {
		_ = c.Begin(r, -1)
		_ = c.Raw("zz\r\nPOST /write/1 HTTP/1.1\r\nHost: " + host + "\r\n\r\n")
	}},
	{"a head without end", func(_ context.Context, c *standin.Upload, r standin.Request) {
		r.Header = map[string][]string{"X-Long": {strings.Repeat("x", 200_000)}}
		_ = c.Begin(r, 0)
	}},
	{"another protocol", func(_ context.Context, c *standin.Upload, _ standin.Request) {
		_ = c.Raw("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00")
	}},
}

// SendBadRequests runs the callers that do not keep to the protocol until the context ends, and
// one that keeps many connections idle.
func (h *Harness) SendBadRequests(ctx context.Context, seed uint64) {
	var group errgroup.Group
	for n := range badCallerCount {
		rng := rand.New(rand.NewPCG(seed, uint64(2000+n))) //nolint:gosec // Seeded on purpose.
		group.Go(func() error {
			for i := 0; ctx.Err() == nil; i++ {
				h.sendBad(ctx, rng, fmt.Sprintf("%s%d-%d", badPrefix, n, i))
				time.Sleep(randomBelow(rng, 2*thinkTime))
			}
			return nil
		})
	}
	group.Go(func() error {
		h.keepIdle(ctx)
		return nil
	})
	_ = group.Wait()
}

// sendBad lets one caller send its request to a random gateway and waits until the gateway
// closes the connection.
func (h *Harness) sendBad(ctx context.Context, rng *rand.Rand, id string) {
	kind, gateway := badCallers[rng.IntN(len(badCallers))], rng.IntN(len(h.procs))
	c, err := standin.DialUpload(h.procs[gateway].settings.Callers)
	if err != nil {
		return
	}
	defer context.AfterFunc(ctx, c.Close)()
	defer c.Close()
	c.SetDeadline(time.Now().Add(badCallerTimeout))
	kind.send(ctx, c, standin.Request{ID: id, Host: host, URI: "/" + kindWrite + "/1", Key: permanentKey, DeadlineMs: callTimeoutMs})
	for c.Answer().Err == nil {
		continue // until the connection ends
	}
}

// keepIdle keeps connections to the gateways without sending anything, and replaces them each
// badCallerTimeout, whether or not the gateways have closed them.
func (h *Harness) keepIdle(ctx context.Context) {
	for ctx.Err() == nil {
		var idle []*standin.Upload
		for i := range idleConnections {
			if c, err := standin.DialUpload(h.procs[i%len(h.procs)].settings.Callers); err == nil {
				idle = append(idle, c)
			}
		}
		loop.Sleep(ctx, badCallerTimeout)
		for _, c := range idle {
			c.Close()
		}
	}
}

// badRequestsNotRun: requests that are malformed or not whole never run.
func badRequestsNotRun(r *Record) []string {
	var violations []string
	for _, run := range r.Runs {
		if strings.HasPrefix(run.ID, badPrefix) {
			violations = append(violations, fmt.Sprintf("%s ran on %s", run.ID, run.Replica))
		}
	}
	return violations
}
