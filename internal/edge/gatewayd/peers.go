package gatewayd

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/gladegauge/gladegauge/internal/core/fleet"
	"github.com/gladegauge/gladegauge/internal/core/retry"
	"github.com/gladegauge/gladegauge/internal/edge/loop"
	"github.com/gladegauge/gladegauge/internal/edge/rpc"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
	"github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1/gladegaugev1connect"
)

// Timeouts and limits of calls between gateways.
const (
	// peerDialTimeout and exchangeTimeout bound a call to another gateway. Gateways of a
	// region are a few milliseconds apart.
	peerDialTimeout = 300 * time.Millisecond
	exchangeTimeout = 700 * time.Millisecond
	// peerIdleTimeout is how long an idle connection to another gateway is kept.
	peerIdleTimeout = 30 * time.Second
	// maxKeepAliveFleet is the fleet size up to which connections for exchanges are kept.
	// In a larger fleet they reach the idle timeout before the same gateway is picked
	// again, and each one holds buffers and goroutines on both sides.
	maxKeepAliveFleet = 16
)

// newPeerTransport returns the transport of calls to other gateways.
func newPeerTransport(bytes *prometheus.CounterVec) *peerTransport {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	return &peerTransport{bytes: bytes, next: &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    1,
		MaxResponseHeaderBytes: rpc.MaxHeaderBytes,
		IdleConnTimeout:        peerIdleTimeout,
	}}
}

// peer returns a client of the gateway at the address.
func (s *Server) peer(address string) gladegaugev1connect.GatewayServiceClient {
	return gladegaugev1connect.NewGatewayServiceClient(s.peerClient, "http://"+address, rpc.LimitResponses)
}

// exchangeLoop exchanges members with one other gateway after the other. At the start it
// calls all seeds, and once more a little later: by then they know the gateways that
// started at the same time.
func (s *Server) exchangeLoop(ctx context.Context) error {
	s.exchangeWithSeeds(ctx)
	//nolint:gosec // Jitter needs no secret randomness.
	if !loop.Sleep(ctx, fleet.ExchangeInterval/4+rand.N(fleet.ExchangeInterval/4)) {
		return nil
	}
	s.exchangeWithSeeds(ctx)
	for {
		//nolint:gosec // Jitter needs no secret randomness.
		if !loop.Sleep(ctx, fleet.ExchangeInterval/2+rand.N(fleet.ExchangeInterval)) {
			return nil
		}
		if address, ok := s.exchangePeer(); ok {
			s.exchange(ctx, address)
		}
	}
}

// exchangeWithSeeds exchanges members with each seed.
func (s *Server) exchangeWithSeeds(ctx context.Context) {
	for _, address := range s.o.Settings.Seeds {
		if address != s.PeersAddress() {
			s.exchange(ctx, address)
		}
	}
}

// exchangePeer returns the gateway of the next exchange; false if none is known.
func (s *Server) exchangePeer() (string, bool) {
	var address string
	var ok bool
	s.control.DoWithoutCancel(func(now time.Time) {
		address, ok = s.fleet.ExchangePeer(now, rand.Uint64(), s.o.Settings.Seeds) //nolint:gosec // The choice needs no secret randomness.
	})
	return address, ok
}

// exchange exchanges members with the gateway at the address.
func (s *Server) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	req := connect.NewRequest(&gladegaugev1.GatewayExchangeRequest{})
	s.control.DoWithoutCancel(func(now time.Time) {
		s.fleet.Beat()
		known := s.fleet.Known(now)
		req.Msg.Known = clampUint32(known)
		req.Msg.Members = s.sampleMembers(now, known)
	})
	if req.Msg.GetKnown() > maxKeepAliveFleet {
		req.Header().Set("Connection", "close")
	}
	resp, err := s.peer(address).Exchange(ctx, req)
	s.metrics.peerCall("exchange", err)
	s.control.DoWithoutCancel(func(now time.Time) {
		if err != nil {
			s.fleet.CallFailed(now, address)
			return
		}
		s.merge(now, resp.Msg.GetMembers())
	})
}

// sampleMembers returns the members for the next message to a gateway that knows the given
// number of gateways. It runs in the control loop.
func (s *Server) sampleMembers(now time.Time, known int) []*gladegaugev1.GatewayMember {
	members := s.fleet.Sample(now, known, rand.Uint64()) //nolint:gosec // A sample needs no secret randomness.
	list := make([]*gladegaugev1.GatewayMember, len(members))
	for i, m := range members {
		list[i] = encodeMember(m)
	}
	return list
}

// merge applies the members that another gateway knows, and adapts the retry budgets to
// the size of the fleet. It runs in the control loop.
func (s *Server) merge(now time.Time, list []*gladegaugev1.GatewayMember) {
	members := make([]fleet.Member, len(list))
	for i, m := range list {
		members[i] = decodeMember(m)
	}
	s.fleet.Merge(now, members)
	s.setGateways(s.fleet.Size(now))
}

// setGateways divides the retry budget among n gateways. It runs in the control loop.
func (s *Server) setGateways(n int) {
	if n == s.gateways {
		return
	}
	if changedSignificantly(s.loggedSize, n) {
		s.log.Info().Int("gateways", n).Int("before", s.loggedSize).Msg("fleet: size changed")
		s.loggedSize = n
	}
	s.gateways = n
	s.metrics.gateways.Set(float64(n))
	s.updateBudgets()
}

// changedSignificantly reports whether the size of the fleet is logged again. Gateways
// learn of a large fleet one by one; a line for each would add up to the square of its
// size.
func changedSignificantly(logged, n int) bool {
	const part = 8
	return part*max(logged-n, n-logged) >= logged
}

// budget returns the retry budget of the pool, which it creates if necessary. It runs in
// the control loop.
func (s *Server) budget(pool string) *retry.Window {
	w, ok := s.budgets[pool]
	if !ok {
		w = retry.NewWindow(budgetBounds(s.operatorBounds, s.gateways))
		s.budgets[pool] = w
	}
	return w
}

// updateBudgets applies new bounds to the retry budgets. It runs in the control loop.
func (s *Server) updateBudgets() {
	for pool, w := range s.budgets {
		s.budgets[pool] = w.With(budgetBounds(s.operatorBounds, s.gateways))
	}
}

// Exchange answers another gateway's exchange of members.
func (s *Server) Exchange(_ context.Context, req *connect.Request[gladegaugev1.GatewayExchangeRequest]) (*connect.Response[gladegaugev1.GatewayExchangeResponse], error) {
	resp := &gladegaugev1.GatewayExchangeResponse{}
	s.control.DoWithoutCancel(func(now time.Time) {
		s.merge(now, req.Msg.GetMembers())
		resp.Members = s.sampleMembers(now, int(req.Msg.GetKnown()))
	})
	return connect.NewResponse(resp), nil
}
