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
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
	"github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1/gladegaugev1connect"
)

// Times of calls between gateways.
const (
	// peerDial and exchangeTimeout bound a call to another gateway; gateways of a
	// region are a few milliseconds apart.
	peerDial        = 300 * time.Millisecond
	exchangeTimeout = 700 * time.Millisecond
	// peerIdle is how long a connection to another gateway is kept.
	peerIdle = 30 * time.Second
	// partnersMost is the size of a fleet up to which connections to partners of
	// exchanges are kept: in a larger one they are closed for their age before the same
	// partner comes again, and each holds buffers and goroutines on both sides.
	partnersMost = 16
)

// newTraffic returns the transport of calls to other gateways.
func newTraffic(bytes *prometheus.CounterVec) *traffic {
	dialer := &net.Dialer{Timeout: peerDial}
	return &traffic{bytes: bytes, next: &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     peerIdle,
	}}
}

// peer returns the gateway at the address.
func (s *Server) peer(address string) gladegaugev1connect.GatewayServiceClient {
	return gladegaugev1connect.NewGatewayServiceClient(s.peerClient, "http://"+address)
}

// exchangeLoop swaps what is known with one other gateway after the other. At the
// start it asks all seeds, and a little later again: by then they know those that
// started at the same time.
func (s *Server) exchangeLoop(ctx context.Context) error {
	s.exchangeWithSeeds(ctx)
	//nolint:gosec // Jitter needs no secret randomness.
	if !loop.Pause(ctx, fleet.ExchangeInterval/4+rand.N(fleet.ExchangeInterval/4)) {
		return nil
	}
	s.exchangeWithSeeds(ctx)
	for {
		//nolint:gosec // Jitter needs no secret randomness.
		if !loop.Pause(ctx, fleet.ExchangeInterval/2+rand.N(fleet.ExchangeInterval)) {
			return nil
		}
		if address, ok := s.partner(); ok {
			s.exchange(ctx, address)
		}
	}
}

// exchangeWithSeeds swaps what is known with each seed.
func (s *Server) exchangeWithSeeds(ctx context.Context) {
	for _, address := range s.o.Settings.Seeds {
		if address != s.PeersAddress() {
			s.exchange(ctx, address)
		}
	}
}

// partner returns the gateway to swap with next; false if none is known.
func (s *Server) partner() (string, bool) {
	var address string
	var ok bool
	s.control.DoWithoutCancel(func(now time.Time) {
		address, ok = s.fleet.ExchangePeer(now, rand.Uint64(), s.o.Settings.Seeds) //nolint:gosec // Any one will do.
	})
	return address, ok
}

// exchange swaps what is known with the gateway at the address.
func (s *Server) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	req := connect.NewRequest(&gladegaugev1.GatewayExchangeRequest{})
	s.control.DoWithoutCancel(func(now time.Time) {
		s.fleet.Beat()
		known := s.fleet.Known(now)
		req.Msg.Known = count32(known)
		req.Msg.Members = s.share(now, known)
	})
	if req.Msg.GetKnown() > partnersMost {
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

// share returns what the next message tells a gateway that knows so many. It runs in
// the control goroutine.
func (s *Server) share(now time.Time, known int) []*gladegaugev1.GatewayMember {
	members := s.fleet.Sample(now, known, rand.Uint64()) //nolint:gosec // A sample needs no secret randomness.
	list := make([]*gladegaugev1.GatewayMember, len(members))
	for i, m := range members {
		list[i] = encodeMember(m)
	}
	return list
}

// merge takes what another gateway knows: the retry budget follows from it. It runs in the control goroutine.
func (s *Server) merge(now time.Time, list []*gladegaugev1.GatewayMember) {
	members := make([]fleet.Member, len(list))
	for i, m := range list {
		members[i] = decodeMember(m)
	}
	s.fleet.Merge(now, members)
	s.setGateways(s.fleet.Size(now))
}

// setGateways splits the retry budget over n gateways. It runs in the control
// goroutine.
func (s *Server) setGateways(n int) {
	if n == s.gateways {
		return
	}
	if changedMuch(s.sizeLogged, n) {
		s.log.Info().Int("gateways", n).Int("before", s.sizeLogged).Msg("fleet: size changed")
		s.sizeLogged = n
	}
	s.gateways = n
	s.metrics.gateways.Set(float64(n))
	s.boundBudgets()
}

// changedMuch reports whether the size of the fleet is to be logged anew. Of a large fleet
// each gateway hears one by one: a line for each would be as many as the square of its size.
func changedMuch(logged, n int) bool {
	const part = 8
	return part*max(logged-n, n-logged) >= logged
}

// budget returns that of the pool, which is made if it is not there. It runs in the
// control goroutine.
func (s *Server) budget(pool string) *retry.Window {
	w, ok := s.budgets[pool]
	if !ok {
		w = retry.NewWindow(budgetBounds(s.promised, s.gateways))
		s.budgets[pool] = w
	}
	return w
}

// boundBudgets brings new bounds of the retries into force. It runs in the control
// goroutine.
func (s *Server) boundBudgets() {
	for pool, w := range s.budgets {
		s.budgets[pool] = w.With(budgetBounds(s.promised, s.gateways))
	}
}

// Exchange answers another gateway's swap.
func (s *Server) Exchange(_ context.Context, req *connect.Request[gladegaugev1.GatewayExchangeRequest]) (*connect.Response[gladegaugev1.GatewayExchangeResponse], error) {
	resp := &gladegaugev1.GatewayExchangeResponse{}
	s.control.DoWithoutCancel(func(now time.Time) {
		s.merge(now, req.Msg.GetMembers())
		resp.Members = s.share(now, int(req.Msg.GetKnown()))
	})
	return connect.NewResponse(resp), nil
}
