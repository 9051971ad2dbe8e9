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
	// vouchInterval is how often a gateway that cannot prove by itself that a pool has a single
	// version asks another one.
	vouchInterval = time.Second
)

// findElsewhere asks all gateways that may know the stream, at the same time. The first that
// knows it decides. If none knows it, but one vouches that only the version that is also the
// only one seen here has served, that version began it.
func (s *Server) findElsewhere(ctx context.Context, pool string, a stream.Attempt, k knownStream) knownStream {
	var addresses []string
	s.control.DoWithoutCancel(func(now time.Time) { addresses = s.fleet.AllRecorders(now) })
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	var group errgroup.Group
	defer func() {
		cancel()
		_ = group.Wait() // A gateway that does not answer knows nothing.
	}()
	answers := make(chan *gladegaugev1.FindStreamResponse, len(addresses))
	for _, address := range addresses {
		group.Go(func() error {
			answer, err := s.findAt(ctx, address, pool, a)
			answers <- answer
			return err
		})
	}
	for range addresses {
		answer := <-answers
		if v := rollout.Version(answer.GetVersion()); v != rollout.Unstated {
			return knownStream{version: v, from: versionFound, single: k.single}
		}
		if answer.GetSingle() && rollout.Version(answer.GetSingleVersion()) == k.seen {
			k.version, k.from = k.seen, versionFoundSingle
		}
	}
	return k
}

// FindStream answers another gateway at which version a stream began.
func (s *Server) FindStream(_ context.Context, req *connect.Request[gladegaugev1.FindStreamRequest]) (*connect.Response[gladegaugev1.FindStreamResponse], error) {
	var k knownStream
	s.control.DoWithoutCancel(func(now time.Time) {
		k = s.findHere(now, req.Msg.GetPool(), stream.Attempt(req.Msg.GetAttempt()))
	})
	resp := &gladegaugev1.FindStreamResponse{}
	switch k.from {
	case versionOwn, versionReported:
		resp.Version = uint32(k.version)
	case versionSingle:
		resp.Single, resp.SingleVersion = true, uint32(k.version)
	}
	return connect.NewResponse(resp), nil
}

// noAttempt is asked for if only the versions of a pool matter.
const noAttempt stream.Attempt = 0

// vouchLoop asks other gateways about pools of which this one has not seen enough to prove that
// they have a single version: after its start, or after it was cut off.
func (s *Server) vouchLoop(ctx context.Context) error {
	for loop.Sleep(ctx, vouchInterval) {
		for _, pool := range s.unprovenPools() {
			s.askToVouch(ctx, pool)
		}
	}
	return nil
}

// unprovenPools returns the pools for which a list that is new enough shows a single version
// that is not proven.
func (s *Server) unprovenPools() []string {
	var pools []string
	s.control.DoWithoutCancel(func(now time.Time) {
		t := s.view.Load().Table
		if t == nil || now.Sub(s.storeReadAt) > maxVersionAge {
			return
		}
		for _, pool := range t.ResumablePools() {
			if state := s.versionState(now, pool); state.Kind == rollout.Unproven && state.Version != rollout.Unstated {
				pools = append(pools, pool)
			}
		}
	})
	return pools
}

// askToVouch asks a random gateway whether the pool has had a single version.
func (s *Server) askToVouch(ctx context.Context, pool string) {
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
	resp, err := s.findAt(ctx, address, pool, noAttempt)
	if err != nil || !resp.GetSingle() {
		return
	}
	s.control.DoWithoutCancel(func(now time.Time) {
		s.streams.versions.Vouch(now, pool, rollout.Version(resp.GetSingleVersion()), s.streams.window)
		s.updateVersionKinds(now)
	})
}

// findAt asks one gateway for a stream.
func (s *Server) findAt(ctx context.Context, address, pool string, a stream.Attempt) (*gladegaugev1.FindStreamResponse, error) {
	req := &gladegaugev1.FindStreamRequest{Attempt: uint64(a), Pool: pool}
	resp, err := s.peer(address).FindStream(ctx, connect.NewRequest(req))
	s.metrics.peerCall("find_stream", err)
	if err != nil {
		return nil, errors.Wrapf(err, "find a stream at %s", address)
	}
	return resp.Msg, nil
}
