package gatewayd

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// Times of a poll by which one gateway follows another.
const (
	// followWait is how long a poll of the parent waits for news; each answer
	// proves the age of the view anew.
	followWait = 500 * time.Millisecond
	// leastFollowWait is the least such wait, when the view will soon be late.
	leastFollowWait = 100 * time.Millisecond
	// followWaitMost bounds what another gateway may ask for.
	followWaitMost = 2 * time.Second
	// followSlack is what an answer may take beyond its wait.
	followSlack = 400 * time.Millisecond
	// startSlack is what an answer may take that tells a gateway everything at its
	// start. The store would tell it in tens of milliseconds.
	startSlack = 200 * time.Millisecond
)

var errNothingKnown = errors.New("nothing is known of the store yet")

// Follow answers another gateway as soon as there is news for it.
func (s *Server) Follow(ctx context.Context, req *connect.Request[gladegaugev1.FollowRequest]) (*connect.Response[gladegaugev1.FollowResponse], error) {
	began := s.now()
	wait := min(time.Duration(req.Msg.GetWaitMs())*time.Millisecond, followWaitMost)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		var resp *gladegaugev1.FollowResponse
		var changed <-chan struct{}
		if !s.control.Must(func(now time.Time) { resp, changed = s.news(now, began, req.Msg.GetRevision()) }) || resp == nil {
			return nil, connect.NewError(connect.CodeFailedPrecondition, errNothingKnown)
		}
		if len(resp.GetEntries()) > 0 {
			return connect.NewResponse(resp), nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			// The proof of the age is as new as it can be.
			s.control.Must(func(now time.Time) { resp, _ = s.news(now, began, req.Msg.GetRevision()) })
			return connect.NewResponse(resp), nil
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
}

// news returns what a follower at the revision does not know; nil if nothing is
// known here. The channel is closed by the next change. It runs in the control
// goroutine.
func (s *Server) news(now, began time.Time, revision int64) (*gladegaugev1.FollowResponse, <-chan struct{}) {
	batch, ok := s.feed.Since(revision)
	if !ok {
		return nil, s.feedChanged
	}
	view := s.view.Load()
	resp := &gladegaugev1.FollowResponse{
		Revision: batch.Revision,
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
