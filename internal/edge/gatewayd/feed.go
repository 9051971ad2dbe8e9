package gatewayd

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/core/feed"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// maxFollowWait bounds how long another gateway's query may be held.
const maxFollowWait = 2 * time.Second

var errNoStoreState = errors.New("nothing is known of the store yet")

// proofUpdateThreshold is by how much a proof must be newer than that of a follower to
// answer it at once. The age of a view thus does not grow with the depth of the tree.
const proofUpdateThreshold = 400 * time.Millisecond

// Follow answers another gateway as soon as there are updates for it.
func (s *Server) Follow(ctx context.Context, req *connect.Request[gladegaugev1.FollowRequest]) (*connect.Response[gladegaugev1.FollowResponse], error) {
	began := s.now()
	known := feed.Position{Epoch: req.Msg.GetEpoch(), Revision: req.Msg.GetRevision()}
	wait := min(time.Duration(req.Msg.GetWaitMs())*time.Millisecond, maxFollowWait)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		var resp *gladegaugev1.FollowResponse
		var changed <-chan struct{}
		var answerNow bool
		if !s.control.DoWithoutCancel(func(now time.Time) {
			resp, changed = s.updateFor(now, began, known)
			answerNow = resp != nil && s.shouldAnswer(began, req.Msg, resp)
		}) || resp == nil {
			return nil, connect.NewError(connect.CodeFailedPrecondition, errNoStoreState)
		}
		if answerNow {
			return connect.NewResponse(resp), nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			// The answer carries the proof as of now, not as of the last change.
			s.control.DoWithoutCancel(func(now time.Time) { resp, _ = s.updateFor(now, began, known) })
			return connect.NewResponse(resp), nil
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
}

// shouldAnswer reports whether the follower must receive the answer at once: it contains
// new entries or a much newer proof, or this gateway has lost the store in the meantime.
// It runs in the control loop.
func (s *Server) shouldAnswer(began time.Time, req *gladegaugev1.FollowRequest, resp *gladegaugev1.FollowResponse) bool {
	if len(resp.GetEntries()) > 0 || s.ownStoreFailedAt.After(began) {
		return true
	}
	if req.AgeMs == nil || resp.GetVersion() == 0 {
		return false
	}
	followerProof := began.Add(-time.Duration(req.GetAgeMs()) * time.Millisecond)
	return s.view.Load().NewestAt.Sub(followerProof) > proofUpdateThreshold
}

// updateFor returns what a follower at the position does not know; nil if this gateway
// knows nothing of the store. The channel is closed at the next change. It runs in the
// control loop.
func (s *Server) updateFor(now, began time.Time, known feed.Position) (*gladegaugev1.FollowResponse, <-chan struct{}) {
	batch, ok := s.feed.Since(known)
	if !ok {
		return nil, s.feedChanged
	}
	view := s.view.Load()
	resp := &gladegaugev1.FollowResponse{
		Epoch:    batch.Position.Epoch,
		Revision: batch.Position.Revision,
		Whole:    batch.Whole,
		HeldMs:   wholeMilliseconds(now.Sub(began)),
	}
	if view.Table != nil && !view.NewestAt.IsZero() {
		resp.Version = view.Table.Version
		// The age is rounded up, because it may be overstated but never understated.
		resp.AgeMs = wholeMilliseconds(view.Age(now)) + 1
	}
	if at := s.roster.RecoveredAt(); !at.IsZero() {
		resp.Outage = true
		resp.OutageAgeMs = wholeMilliseconds(now.Sub(at))
	}
	resp.BackoffMs = wholeMilliseconds(s.fleet.Backoff(now))
	resp.FailedAgeMs = millisecondsSince(now, s.storeFailedAt)
	resp.ReadAgeMs = millisecondsSince(now, s.storeReadAt)
	for _, e := range batch.Entries {
		resp.Entries = append(resp.Entries, encodeEntry(now, e))
	}
	return resp, s.feedChanged
}

// wakeFollowers wakes the held queries of followers. It runs in the control loop.
func (s *Server) wakeFollowers() {
	close(s.feedChanged)
	s.feedChanged = make(chan struct{})
}
