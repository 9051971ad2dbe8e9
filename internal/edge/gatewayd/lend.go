package gatewayd

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// borrowTimeout bounds the call to a holder. It is several round trips between
// availability zones. A request that has no turn by then is refused.
const borrowTimeout = 60 * time.Millisecond

// borrow asks holders for a turn of a limited upstream, for a request that found no other
// upstream.
func (x *request) borrow(ctx context.Context) (balance.Choice, bool) {
	s := x.server
	var candidates []balance.BorrowCandidate
	s.control.DoWithoutCancel(func(now time.Time) { candidates = s.table.Borrowable(now, x.balanceRequest()) })
	for _, c := range candidates {
		if x.remaining() <= borrowTimeout {
			break
		}
		granted, err := x.borrowFrom(ctx, c)
		if err != nil {
			x.log().Err(err).Str("upstream", c.ID).Msg("could not borrow a turn")
			break
		}
		if !granted {
			continue
		}
		var choice balance.Choice
		var ok bool
		s.control.DoWithoutCancel(func(now time.Time) { choice, ok = s.table.PickBorrowed(now, x.balanceRequest(), c.Instance) })
		if ok {
			return choice, true
		}
	}
	return balance.Choice{}, false
}

// borrowFrom reports whether a holder lends a turn of the upstream. The error is that of
// the call.
func (x *request) borrowFrom(ctx context.Context, c balance.BorrowCandidate) (bool, error) {
	s := x.server
	var holder string
	var ok bool
	//nolint:gosec // The choice needs no secret randomness.
	s.control.DoWithoutCancel(func(now time.Time) { holder, ok = s.fleet.Holder(now, c.Key, c.Holders, rand.Uint64()) })
	if !ok {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	req := &gladegaugev1.BorrowTurnRequest{Upstream: c.IncarnationKey(), Least: x.balanceRequest().Least}
	resp, err := s.peer(holder).BorrowTurn(ctx, connect.NewRequest(req))
	s.metrics.peerCall("borrow_turn", err)
	if err != nil {
		return false, errors.Wrapf(err, "borrow a turn from %s", holder)
	}
	if !resp.Msg.GetGranted() {
		wait := time.Duration(resp.Msg.GetWaitMs()) * time.Millisecond
		s.control.DoWithoutCancel(func(now time.Time) { s.table.BorrowRefused(now, c.Instance, wait) })
	}
	return resp.Msg.GetGranted(), nil
}

// BorrowTurn lends another gateway a turn of a limited upstream, if this gateway has one.
func (s *Server) BorrowTurn(_ context.Context, req *connect.Request[gladegaugev1.BorrowTurnRequest]) (*connect.Response[gladegaugev1.BorrowTurnResponse], error) {
	resp := &gladegaugev1.BorrowTurnResponse{}
	s.control.DoWithoutCancel(func(now time.Time) {
		wait, ok := s.table.Lend(now, req.Msg.GetUpstream(), req.Msg.GetLeast())
		resp.Granted = ok
		resp.WaitMs = clampUint32(int(wait.Milliseconds()))
	})
	return connect.NewResponse(resp), nil
}
