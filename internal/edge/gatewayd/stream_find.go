package gatewayd

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/internal/core/rollout"
	"github.com/gladegauge/gladegauge/internal/core/stream"
	"github.com/gladegauge/gladegauge/internal/edge/loop"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

const (
	// findTimeout bounds the search for a stream at other gateways, whose region may be 20 ms
	// away and which may have to be connected to. A refusal must not come later.
	findTimeout = 150 * time.Millisecond
	// confirmInterval is how soon a gateway that cannot prove by itself that a pool has a single
	// version asks another one. The interval doubles up to maxConfirmInterval, as after a start
	// of all gateways none can confirm it for long.
	confirmInterval    = time.Second
	maxConfirmInterval = 32 * time.Second
	// settledInterval is the least time between two questions for settled versions.
	settledInterval = 200 * time.Millisecond
)

// findElsewhere asks all gateways that may know the stream, until one knows it.
func (s *Server) findElsewhere(ctx context.Context, pool string, a stream.Attempt, k stream.Known) stream.Known {
	s.askRecorders(ctx, pool, a, func(answer stream.Answer) bool {
		k = k.With(answer)
		return k.Source != stream.Found
	})
	return k
}

// learnSettled asks other gateways at which versions of the pool streams may begin, if this one
// cannot know it because it has just started. While nobody knows, it does not ask again at once.
func (s *Server) learnSettled(ctx context.Context, pool string) {
	ask := false
	s.control.DoWithoutCancel(func(now time.Time) {
		if s.streams.KnowsSettled(now, pool) || now.Sub(s.streams.settledAskedAt) < settledInterval {
			return
		}
		s.streams.settledAskedAt = now
		ask = true
	})
	if !ask {
		return
	}
	s.askRecorders(ctx, pool, noAttempt, func(answer stream.Answer) bool {
		s.control.DoWithoutCancel(func(time.Time) { s.streams.Settle(pool, answer) })
		return len(answer.Settled) == 0
	})
}

// askRecorders asks all other gateways that may know the stream, at the same time. It calls more
// with each answer until that returns false.
func (s *Server) askRecorders(ctx context.Context, pool string, a stream.Attempt, more func(stream.Answer) bool) {
	var addresses []string
	s.control.DoWithoutCancel(func(now time.Time) { addresses = s.fleet.AllRecorders(now) })
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	var group errgroup.Group
	defer func() {
		cancel()
		_ = group.Wait() // A gateway that does not answer knows nothing.
	}()
	answers := make(chan stream.Answer, len(addresses))
	for _, address := range addresses {
		group.Go(func() error {
			answer, err := s.findAt(ctx, address, pool, a)
			answers <- answer
			return err
		})
	}
	for range addresses {
		if !more(<-answers) {
			return
		}
	}
}

// FindStream answers another gateway at which version a stream began.
func (s *Server) FindStream(_ context.Context, req *connect.Request[gladegaugev1.FindStreamRequest]) (*connect.Response[gladegaugev1.FindStreamResponse], error) {
	var a stream.Answer
	s.control.DoWithoutCancel(func(now time.Time) {
		a = s.streams.Answer(now, req.Msg.GetPool(), stream.Attempt(req.Msg.GetAttempt()))
	})
	return connect.NewResponse(encodeAnswer(a)), nil
}

// noAttempt is asked for if only the versions of a pool matter.
const noAttempt stream.Attempt = 0

// confirmLoop asks other gateways about pools of which this one has not seen enough to prove that
// they have a single version: after its start, or after it was cut off.
func (s *Server) confirmLoop(ctx context.Context) error {
	interval := confirmInterval
	for loop.Sleep(ctx, interval) {
		pools := s.unprovenPools()
		for _, pool := range pools {
			s.askToConfirm(ctx, pool)
		}
		interval = nextConfirmInterval(interval, len(pools))
	}
	return nil
}

// nextConfirmInterval returns the interval after one in which so many pools were not proven.
func nextConfirmInterval(interval time.Duration, unproven int) time.Duration {
	if unproven == 0 {
		return confirmInterval
	}
	return min(2*interval, maxConfirmInterval)
}

// unprovenPools returns the pools for which a list that is new enough shows a single version
// that is not proven.
func (s *Server) unprovenPools() []string {
	var pools []string
	s.control.DoWithoutCancel(func(now time.Time) {
		t := s.view.Load().Table
		if t == nil || !s.streams.IsListFresh(now) {
			return
		}
		for _, pool := range t.ResumablePools() {
			if state := s.streams.Pool(now, pool); state.Kind == rollout.Unproven && state.Version != rollout.Unstated {
				pools = append(pools, pool)
			}
		}
	})
	return pools
}

// askToConfirm asks a random gateway whether the pool has had a single version.
func (s *Server) askToConfirm(ctx context.Context, pool string) {
	var address string
	var ok bool
	s.control.DoWithoutCancel(func(now time.Time) {
		address, ok = s.fleet.RandomPeer(now, rand.Uint64()) //nolint:gosec // The choice needs no secret randomness.
	})
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	answer, err := s.findAt(ctx, address, pool, noAttempt)
	if err != nil {
		return
	}
	s.control.DoWithoutCancel(func(now time.Time) {
		s.streams.Confirm(now, pool, answer)
		s.updateVersionKinds(now)
	})
}

// findAt asks one gateway for a stream.
func (s *Server) findAt(ctx context.Context, address, pool string, a stream.Attempt) (stream.Answer, error) {
	req := &gladegaugev1.FindStreamRequest{Attempt: uint64(a), Pool: pool}
	resp, err := s.peer(address).FindStream(ctx, connect.NewRequest(req))
	s.metrics.peerCall("find_stream", err)
	if err != nil {
		return stream.Answer{}, errors.Wrapf(err, "find a stream at %s", address)
	}
	return decodeAnswer(resp.Msg), nil
}

// encodeAnswer converts an answer to its message.
func encodeAnswer(a stream.Answer) *gladegaugev1.FindStreamResponse {
	resp := &gladegaugev1.FindStreamResponse{
		Version:       uint32(a.Version),
		Single:        a.Single,
		SingleVersion: uint32(a.SingleVersion),
		SingleForMs:   wholeMilliseconds(a.SingleFor),
	}
	for _, v := range a.Settled {
		resp.Settled = append(resp.Settled, uint32(v))
	}
	return resp
}

// decodeAnswer returns the answer in a message.
func decodeAnswer(resp *gladegaugev1.FindStreamResponse) stream.Answer {
	a := stream.Answer{
		Version:       rollout.Version(resp.GetVersion()),
		Single:        resp.GetSingle(),
		SingleVersion: rollout.Version(resp.GetSingleVersion()),
		SingleFor:     time.Duration(resp.GetSingleForMs()) * time.Millisecond,
	}
	for _, v := range resp.GetSettled() {
		a.Settled = append(a.Settled, rollout.Version(v))
	}
	return a
}
