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
	// fakeGatewayAddress is the address of the gateway that sends false reports. Nothing
	// listens there.
	fakeGatewayAddress = "127.0.0.1:1"
	// falseReportInterval is the interval of its reports. It keeps them from becoming
	// stale.
	falseReportInterval = 100 * time.Millisecond
	// falseReportTimeout is the timeout of each call. Gateways are paused now and then.
	falseReportTimeout = 200 * time.Millisecond
	// claimedWitnesses is the number of gateways that it claims observed the same.
	claimedWitnesses = 1000
)

// InjectFalseReports tells all gateways, until the context ends, that every replica is
// gone, closed, failing and has a rate limit close to zero. The reports come from a fake
// gateway in an availability zone, which the others consider alive.
func (h *Harness) InjectFalseReports(ctx context.Context) {
	client := &http.Client{Timeout: falseReportTimeout}
	defer client.CloseIdleConnections()
	self := &gladegaugev1.GatewayMember{Address: fakeGatewayAddress, Zone: zoneOf(0), Start: 1}
	for loop.Sleep(ctx, falseReportInterval) {
		self.Beat++
		heartbeat := &gladegaugev1.GatewayExchangeRequest{Members: []*gladegaugev1.GatewayMember{self}, Known: uint32(len(h.procs))}
		report := &gladegaugev1.TellLoadsRequest{Gateway: fakeGatewayAddress, Loads: h.falseReports()}
		for _, p := range h.procs {
			gateway := gladegaugev1connect.NewGatewayServiceClient(client, "http://"+p.settings.Peers)
			// A gateway that is down or paused gets the next report.
			_, _ = gateway.Exchange(ctx, connect.NewRequest(heartbeat))
			_, _ = gateway.TellLoads(ctx, connect.NewRequest(report))
		}
	}
}

// falseReports returns the false report about each replica.
func (h *Harness) falseReports() []*gladegaugev1.UpstreamLoad {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []*gladegaugev1.UpstreamLoad
	for _, r := range h.replicas {
		key := balance.Instance{ID: r.ID, Born: r.Born}.IncarnationKey()
		list = append(list, &gladegaugev1.UpstreamLoad{Upstream: key, Gone: claimedWitnesses, Closed: claimedWitnesses, Failing: claimedWitnesses, Limited: claimedWitnesses, LimitLog: -claimedWitnesses})
	}
	return list
}
