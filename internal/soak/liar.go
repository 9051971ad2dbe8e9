package soak

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/edge/loop"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
	"github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1/gladegaugev1connect"
)

const (
	// liarAddress is what the gateway that lies calls itself; nothing listens there.
	liarAddress = "127.0.0.1:1"
	// lieEvery is the pause between its words: it keeps them fresh.
	lieEvery = 100 * time.Millisecond
	// lieTimeout is how long it waits for an answer to one; gateways stand still now and
	// then.
	lieTimeout = 200 * time.Millisecond
	// lieMost is the number of witnesses that it claims to speak for.
	lieMost = 1000
)

// Lie tells all gateways, until the context ends, that every replica is gone, closed,
// failing and limited to next to nothing. It speaks as one more gateway of an availability zone, which the others take for
// alive.
func (w *World) Lie(ctx context.Context) {
	client := &http.Client{Timeout: lieTimeout}
	defer client.CloseIdleConnections()
	self := &gladegaugev1.GatewayMember{Address: liarAddress, Zone: zoneOf(0), Start: 1}
	for loop.Sleep(ctx, lieEvery) {
		self.Beat++
		hello := &gladegaugev1.GatewayExchangeRequest{Members: []*gladegaugev1.GatewayMember{self}, Known: gateways}
		lie := &gladegaugev1.TellLoadsRequest{Gateway: liarAddress, Loads: w.lies()}
		for _, p := range w.procs {
			gateway := gladegaugev1connect.NewGatewayServiceClient(client, "http://"+p.settings.Peers)
			// A gateway that is down, or stands still, hears it another time.
			_, _ = gateway.Exchange(ctx, connect.NewRequest(hello))
			_, _ = gateway.TellLoads(ctx, connect.NewRequest(lie))
		}
	}
}

// lies are what the gateway that lies says of each replica.
func (w *World) lies() []*gladegaugev1.UpstreamLoad {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*gladegaugev1.UpstreamLoad
	for _, r := range w.replicas {
		start := balance.Instance{ID: r.ID, Born: r.Born}.IncarnationKey()
		list = append(list, &gladegaugev1.UpstreamLoad{Upstream: start, Gone: lieMost, Closed: lieMost, Failing: lieMost, Limited: lieMost, LimitLog: -lieMost})
	}
	return list
}
