package gatewayd

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/core/feed"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// followWaitMost bounds how long another gateway may ask to be held.
const followWaitMost = 2 * time.Second

var errNothingKnown = errors.New("nothing is known of the store yet")

// renewAfter is by how much a proof has to be newer than a follower's to answer it at
// once: the age of a view then does not grow with the levels of the tree.
const renewAfter = 400 * time.Millisecond

// Follow answers another gateway as soon as there is news for it.
func (s *Server) Follow(ctx context.Context, req *connect.Request[gladegaugev1.FollowRequest]) (*connect.Response[gladegaugev1.FollowResponse], error) {
	began := s.now()
	known := feed.Position{Epoch: req.Msg.GetEpoch(), Revision: req.Msg.GetRevision()}
	wait := min(time.Duration(req.Msg.GetWaitMs())*time.Millisecond, followWaitMost)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		var resp *gladegaugev1.FollowResponse
		var changed <-chan struct{}
		var tell bool
		if !s.control.DoWithoutCancel(func(now time.Time) {
			resp, changed = s.news(now, began, known)
			tell = resp != nil && s.worthTelling(began, req.Msg, resp)
		}) || resp == nil {
			return nil, connect.NewError(connect.CodeFailedPrecondition, errNothingKnown)
		}
		if tell {
			return connect.NewResponse(resp), nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			// The proof of the age is as new as it can be.
			s.control.DoWithoutCancel(func(now time.Time) { resp, _ = s.news(now, began, known) })
			return connect.NewResponse(resp), nil
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
}

// worthTelling reports whether the follower is to learn at once what the answer says: new
// entries, a much newer proof, or that this gateway lost the store meanwhile. It runs in
// the control goroutine.
func (s *Server) worthTelling(began time.Time, req *gladegaugev1.FollowRequest, resp *gladegaugev1.FollowResponse) bool {
	if len(resp.GetEntries()) > 0 || s.storeLostAt.After(began) {
		return true
	}
	if req.AgeMs == nil || resp.GetVersion() == 0 {
		return false
	}
	theirs := began.Add(-time.Duration(req.GetAgeMs()) * time.Millisecond)
	return s.view.Load().NewestAt.Sub(theirs) > renewAfter
}

// news returns what a follower at the position does not know; nil if nothing is
// known here. The channel is closed by the next change. It runs in the control
// goroutine.
func (s *Server) news(now, began time.Time, known feed.Position) (*gladegaugev1.FollowResponse, <-chan struct{}) {
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
		// Rounded up: an age may be overstated, never understated.
		resp.AgeMs = wholeMilliseconds(view.Age(now)) + 1
	}
	if at := s.roster.RecoveredAt(); !at.IsZero() {
		resp.Outage = true
		resp.OutageAgeMs = wholeMilliseconds(now.Sub(at))
	}
	resp.BackoffMs = wholeMilliseconds(s.fleet.Backoff(now))
	resp.FailedAgeMs = millisecondsSince(now, s.storeFailedAt)
	resp.ReadAgeMs = millisecondsSince(now, s.readAt)
	for _, e := range batch.Entries {
		resp.Entries = append(resp.Entries, encodeEntry(now, e))
	}
	return resp, s.feedChanged
}

// wakeFollowers tells the followers that there is news. It runs in the control
// goroutine.
func (s *Server) wakeFollowers() {
	close(s.feedChanged)
	s.feedChanged = make(chan struct{})
}
