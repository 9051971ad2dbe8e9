package gatewayd

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/gateway"
	"github.com/gladegauge/gladegauge/platform/standin"
)

// What a refusal says of the upstream, by its status.
func TestOutcomesOfRefusals(t *testing.T) {
	tests := []struct {
		status int
		want   balance.Outcome
	}{
		{http.StatusServiceUnavailable, balance.Refused},
		{http.StatusTooManyRequests, balance.Throttled},
		{http.StatusBadRequest, balance.Declined},
		{http.StatusRequestTimeout, balance.Declined},
		{http.StatusRequestEntityTooLarge, balance.Declined},
	}
	for _, tt := range tests {
		is := is.New(t)
		is.Equal(outcomeOfAnswer(gateway.NotRun, nil, tt.status), tt.want)
	}
}

const (
	// refusalCallers send so many requests each, one after the other.
	refusalCallers  = 6
	refusalRequests = 20
	// refusalWork is how long a sound upstream works on each.
	refusalWork = 20 * time.Millisecond
)

// Three tenths of a pool refused nine of ten requests with 429, and 450 requests ended
// unserved, where 39 do if they refuse with 503. Every refusal but a 503 was taken for the
// request's own fault: an upstream that refused with 429 stayed in each "picked" line's
// candidates, had nothing in flight beside others that worked, and got 90 of 120 requests,
// 3 if it refused with 503.
func TestUpstreamThatRefusesIsLeftOut(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			is := is.New(t)
			w := newTestEnv(t, 2, func(int, standin.Request) standin.Reply {
				done := make(chan struct{})
				time.AfterFunc(refusalWork, func() { close(done) })
				return standin.Reply{Hold: done}
			})
			refuses := standin.NewReplica(t, "i-z", func(int, standin.Request) standin.Reply {
				return standin.Reply{Refuse: true, Status: status}
			})
			w.store.PutReplica(refuses, "app", false)
			w.await(func() bool { return w.upstreams() == 3 })
			var group errgroup.Group
			for range refusalCallers {
				caller := standin.NewCaller(t, w.server.CallersAddress())
				group.Go(func() error {
					for range refusalRequests {
						caller.Call(context.Background(), standin.Request{ID: "r", Host: "x.example", URI: "/write/1", Key: "key-a", DeadlineMs: 1500})
					}
					return nil
				})
			}
			is.NoErr(group.Wait())
			t.Logf("%d of %d requests were sent there", len(refuses.Received()), refusalCallers*refusalRequests)
			is.True(len(refuses.Received()) <= refusalCallers*refusalRequests/6)
		})
	}
}
