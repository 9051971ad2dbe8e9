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

// askPeer asks another gateway for what it knows.
func (f *follower) askPeer(ctx context.Context, q reader.Query) {
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	asked := f.server.now()
	resp, err := f.server.peer(q.Address).Follow(ctx, connect.NewRequest(&gladegaugev1.FollowRequest{
		Epoch:    f.position.Epoch,
		Revision: f.position.Revision,
		WaitMs:   wholeMilliseconds(q.Wait),
		AgeMs:    f.ageToTell(asked),
	}))
	f.server.metrics.peerCall("follow", err)
	if err != nil {
		f.peerFailed(q.Address, err)
		return
	}
	f.reader.PeerAnswered(f.server.now())
	f.server.control.DoWithoutCancel(func(now time.Time) { f.server.hearOfStore(now, q.Address, resp.Msg) })
	before := f.server.view.Load().NewestAt
	f.takeFrom(asked, q.Address, resp.Msg)
	f.stuckAt = time.Time{}
	atOnce := wholeMilliseconds(q.Wait) > resp.Msg.GetHeldMs()
	if atOnce && len(resp.Msg.GetEntries()) == 0 && f.server.view.Load().NewestAt.Equal(before) {
		f.stuckAt = before
	}
	f.noteRenewed(f.server.now(), q.Address)
}

// ageToTell is the age of the proof to tell a parent, which answers at once if it has a
// newer one; nil while such answers bring none that can be taken.
func (f *follower) ageToTell(now time.Time) *uint32 {
	if !f.stuckAt.IsZero() && f.server.view.Load().NewestAt.Equal(f.stuckAt) {
		return nil
	}
	return f.server.ageToTell(now)
}

// peerFailed notes a gateway that did not answer. One that knows nothing of the store
// yet may know it in a moment.
func (f *follower) peerFailed(address string, err error) {
	f.reader.PeerFailed(f.position.Known())
	if !f.position.Known() && connect.CodeOf(err) == connect.CodeFailedPrecondition {
		return
	}
	f.server.control.DoWithoutCancel(func(now time.Time) { f.server.fleet.CallFailed(now, address) })
}

// takeFrom brings another gateway's news into force. The answer was made at the
// moment of the question and the time that it was held, or later: no delay on the
// way makes what it proves look younger. One that has yet to learn that the store came
// back from a copy has no news, and its proof is not taken: this gateway would wait for
// it.
func (f *follower) takeFrom(asked time.Time, from string, resp *gladegaugev1.FollowResponse) {
	position := positionOf(resp)
	if position.Epoch < f.position.Epoch {
		return
	}
	made := asked.Add(time.Duration(resp.GetHeldMs()) * time.Millisecond)
	c := platform.DecodeEntries(entriesOf(f.server.now(), resp))
	f.server.report(c.Faults)
	behind := position.Before(f.position)
	f.reader.PeerStateReceived(f.position.Before(position))
	f.position = f.position.Later(position)
	s := f.server
	s.control.DoWithoutCancel(func(now time.Time) {
		if resp.GetOutage() {
			s.roster.Recovered(made.Add(-time.Duration(resp.GetOutageAgeMs()) * time.Millisecond))
		}
		s.takeEntries(now, position, c, resp.GetWhole())
		s.applyTable(c.Table, !c.ConfigFaulty(), time.Time{}, from)
		if resp.ReadAgeMs != nil && !behind {
			s.wasRead(made.Add(-time.Duration(resp.GetReadAgeMs()) * time.Millisecond))
		}
		s.takeProof(resp.GetVersion(), made.Add(-time.Duration(resp.GetAgeMs())*time.Millisecond))
	})
}

// takeEntries takes the entries of another gateway's answer, and passes them on.
// It runs in the control goroutine.
func (s *Server) takeEntries(now time.Time, p feed.Position, c platform.Changes, whole bool) {
	if len(c.Entries) == 0 && !whole {
		return
	}
	if whole {
		s.takeWhole(now, p, c)
		return
	}
	s.feedFrom(p, c.Entries, false)
	s.changeRoster(now, c)
}

// takeProof takes what another gateway proves: that its version was the newest
// then. It says nothing of another version. It runs in the control goroutine.
func (s *Server) takeProof(version int64, proof time.Time) {
	view := *s.view.Load()
	if view.Table == nil || view.Table.Version != version || s.configUnread {
		return
	}
	s.prove(view, proof)
}

// feedFrom passes what was read on to the followers. It runs in the control
// goroutine.
func (s *Server) feedFrom(p feed.Position, entries []feed.Entry, whole bool) {
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
