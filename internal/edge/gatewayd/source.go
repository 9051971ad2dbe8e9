package gatewayd

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/gladegauge/gladegauge/internal/core/feed"
	"github.com/gladegauge/gladegauge/internal/core/reader"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
	"github.com/gladegauge/gladegauge/platform"
)

// queryPeer queries another gateway for its state.
func (f *follower) queryPeer(ctx context.Context, q reader.Query) {
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	asked := f.server.now()
	resp, err := f.server.peer(q.Address).Follow(ctx, connect.NewRequest(&gladegaugev1.FollowRequest{
		Epoch:    f.position.Epoch,
		Revision: f.position.Revision,
		WaitMs:   wholeMilliseconds(q.Wait),
		AgeMs:    f.proofAge(asked),
	}))
	f.server.metrics.peerCall("follow", err)
	if err != nil {
		f.peerFailed(q.Address, err)
		return
	}
	f.reader.PeerAnswered(f.server.now())
	f.server.control.DoWithoutCancel(func(now time.Time) { f.server.recordPeerStoreState(now, q.Address, resp.Msg) })
	before := f.server.view.Load().NewestAt
	f.applyPeerAnswer(asked, q.Address, resp.Msg)
	f.stalledProofAt = time.Time{}
	atOnce := wholeMilliseconds(q.Wait) > resp.Msg.GetHeldMs()
	if atOnce && len(resp.Msg.GetEntries()) == 0 && f.server.view.Load().NewestAt.Equal(before) {
		f.stalledProofAt = before
	}
	f.logRenewed(f.server.now(), q.Address)
}

// proofAge returns the age of the proof to report to a parent, which answers at once if it
// has a newer one. It is nil while such answers bring no proof that can be applied.
func (f *follower) proofAge(now time.Time) *uint32 {
	if !f.stalledProofAt.IsZero() && f.server.view.Load().NewestAt.Equal(f.stalledProofAt) {
		return nil
	}
	return f.server.proofAge(now)
}

// peerFailed records that a gateway did not answer. One that does not know the store's
// state yet may know it soon, and does not count as failed.
func (f *follower) peerFailed(address string, err error) {
	f.reader.PeerFailed(f.position.Known())
	if !f.position.Known() && connect.CodeOf(err) == connect.CodeFailedPrecondition {
		return
	}
	f.server.control.DoWithoutCancel(func(now time.Time) { f.server.fleet.CallFailed(now, address) })
}

// applyPeerAnswer applies the state of another gateway. The answer was made at the time of
// the query plus the time it was held, or later, so that no network delay makes its proof
// look younger. A gateway that has not learned yet that the store was restored from a backup
// has nothing new, and its proof is ignored: this gateway would otherwise wait for it.
func (f *follower) applyPeerAnswer(asked time.Time, from string, resp *gladegaugev1.FollowResponse) {
	position := positionOf(resp)
	if position.Epoch < f.position.Epoch {
		return
	}
	answeredAt := asked.Add(time.Duration(resp.GetHeldMs()) * time.Millisecond)
	c := platform.DecodeEntries(entriesOf(f.server.now(), resp))
	f.server.logFaults(c.Faults)
	behind := position.Before(f.position)
	f.reader.PeerStateReceived(f.position.Before(position))
	f.position = f.position.Later(position)
	s := f.server
	s.control.DoWithoutCancel(func(now time.Time) {
		if resp.GetOutage() {
			s.roster.Recovered(answeredAt.Add(-time.Duration(resp.GetOutageAgeMs()) * time.Millisecond))
		}
		s.applyEntries(now, position, c, resp.GetWhole())
		s.applyTable(c.Table, !c.ConfigFaulty(), time.Time{}, from)
		if resp.ReadAgeMs != nil && !behind {
			s.recordRead(answeredAt.Add(-time.Duration(resp.GetReadAgeMs()) * time.Millisecond))
		}
		s.applyPeerProof(resp.GetVersion(), answeredAt.Add(-time.Duration(resp.GetAgeMs())*time.Millisecond))
	})
}

// applyEntries applies the entries of another gateway's answer and passes them on to
// followers. It runs in the control loop.
func (s *Server) applyEntries(now time.Time, p feed.Position, c platform.Changes, whole bool) {
	if len(c.Entries) == 0 && !whole {
		return
	}
	if whole {
		s.applySnapshot(now, p, c)
		return
	}
	s.addToFeed(p, c.Entries, false)
	s.changeRoster(now, c)
}

// applyPeerProof applies another gateway's proof that its version was the newest at that
// time. It proves nothing about other versions. It runs in the control loop.
func (s *Server) applyPeerProof(version int64, proof time.Time) {
	view := *s.view.Load()
	if view.Table == nil || view.Table.Version != version || s.configUnreadable {
		return
	}
	s.recordProof(view, proof)
}

// addToFeed passes the entries on to the followers. It runs in the control loop.
func (s *Server) addToFeed(p feed.Position, entries []feed.Entry, whole bool) {
	if whole {
		s.feed.Replace(p, entries)
	} else {
		s.feed.Add(p, entries)
	}
	known := s.feed.Position()
	s.metrics.epoch.Set(float64(known.Epoch))
	s.metrics.revision.Set(float64(known.Revision))
	s.wakeFollowers()
}
