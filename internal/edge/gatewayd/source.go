package gatewayd

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	"github.com/gladegauge/gladegauge/internal/core/feed"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
	"github.com/gladegauge/gladegauge/platform"
)

// lateFactor is the number of watches within which a parent must prove the age of
// the view; after that a gateway asks the store. With two watches in the time for
// which keys are honoured, a quarter of that time is left for it.
const lateFactor = 1.5

// source returns the gateway to ask next; false if it is the store's turn. After
// a call to the store has failed, any other gateway may know more.
func (f *follower) source() (string, bool) {
	var address string
	var ok bool
	f.server.control.Must(func(now time.Time) {
		roll := rand.Uint64() //nolint:gosec // Any one will do.
		if f.tryPeer {
			address, ok = f.server.fleet.Other(now, roll)
			return
		}
		address, ok = f.server.fleet.Next(now, f.late(now), roll)
	})
	f.tryPeer = false
	return address, ok
}

// late reports whether the view is too old to wait for a parent. A parent that has
// lost the store goes on answering until its own watch has timed out.
func (f *follower) late(now time.Time) bool {
	return f.server.view.Load().Table != nil && f.untilLate(now) < 0
}

// untilLate is the time until the view is too old to wait for a parent.
func (f *follower) untilLate(now time.Time) time.Duration {
	limit := time.Duration(lateFactor * float64(f.usualWait()))
	if age := f.server.bounds.Load().ListAge; age > 0 {
		limit = min(limit, age)
	}
	return limit - f.server.view.Load().Age(now)
}

// poll is how long a poll of a parent may be held, and how long it may take. Near the
// time when the view is late both are short: a parent that is held up, or that says
// nothing, must not make it later.
func (f *follower) poll(now time.Time) (wait, timeout time.Duration) {
	switch {
	case !f.position.Known():
		return 0, startSlack
	case f.tryPeer:
		return 0, followSlack
	}
	left := f.untilLate(now)
	wait = min(followWait, max(left-followSlack, leastFollowWait))
	return wait, min(wait+followSlack, max(left, leastFollowWait)+leastFollowWait/2)
}

// askPeer asks the gateway at the address for what it knows. It reports false if
// there was no answer.
func (f *follower) askPeer(ctx context.Context, address string, wait, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	asked := f.server.now()
	resp, err := f.server.peer(address).Follow(ctx, connect.NewRequest(&gladegaugev1.FollowRequest{
		Epoch:    f.position.Epoch,
		Revision: f.position.Revision,
		WaitMs:   wholeMilliseconds(wait),
		AgeMs:    f.ageToTell(asked),
	}))
	f.server.metrics.peerCall("follow", err)
	if err != nil {
		f.peerFailed(address, err)
		return false
	}
	f.contact.answeredByPeer(f.server.now())
	f.server.control.Must(func(now time.Time) { f.server.hearOfStore(now, address, resp.Msg) })
	before := f.server.view.Load().NewestAt
	f.takeFrom(asked, address, resp.Msg)
	f.stuckAt = time.Time{}
	atOnce := wholeMilliseconds(wait) > resp.Msg.GetHeldMs()
	if atOnce && len(resp.Msg.GetEntries()) == 0 && f.server.view.Load().NewestAt.Equal(before) {
		f.stuckAt = before
	}
	return true
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
	if !f.position.Known() && connect.CodeOf(err) == connect.CodeFailedPrecondition {
		return
	}
	f.server.control.Must(func(now time.Time) { f.server.fleet.Down(now, address) })
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
	if f.position.Before(position) {
		f.position = position
		f.unfollowed = false
	}
	f.listed = false
	s := f.server
	s.control.Must(func(now time.Time) {
		if resp.GetOutage() {
			s.roster.Recovered(made.Add(-time.Duration(resp.GetOutageAgeMs()) * time.Millisecond))
		}
		s.takeEntries(now, position, c, resp.GetWhole())
		s.applyTable(c.Table, !c.ConfigFaulty(), time.Time{}, from)
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
