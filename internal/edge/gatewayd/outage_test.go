package gatewayd

import (
	"context"
	"math"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/feed"
	"github.com/gladegauge/gladegauge/internal/core/reader"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
	"github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1/gladegaugev1connect"
	"github.com/gladegauge/gladegauge/platform/standin"
)

// heldPoll is a query of a follower that a gateway holds.
type heldPoll struct {
	w    *testEnv
	done chan *gladegaugev1.FollowResponse
}

// holdPoll queries the gateway as a follower that knows every entry and whose proof has
// the given age in milliseconds.
func holdPoll(w *testEnv, age uint32) *heldPoll {
	var known feed.Position
	w.server.control.DoWithoutCancel(func(time.Time) {
		known = w.server.feed.Position()
	})
	p := &heldPoll{w: w, done: make(chan *gladegaugev1.FollowResponse, 1)}
	w.group.Go(func() error {
		resp, err := w.server.Follow(context.Background(), connect.NewRequest(&gladegaugev1.FollowRequest{
			Epoch: known.Epoch, Revision: known.Revision, WaitMs: wholeMilliseconds(maxFollowWait), AgeMs: &age,
		}))
		if err != nil {
			return err
		}
		p.done <- resp.Msg
		return nil
	})
	return p
}

// answer returns the answer. It fails the test if the query is held until its end.
func (p *heldPoll) answer() *gladegaugev1.FollowResponse {
	p.w.t.Helper()
	select {
	case resp := <-p.done:
		return resp
	case <-time.After(maxFollowWait * 3 / 4):
		p.w.t.Fatal("the query was held")
		return nil
	}
}

// A follower receives a much newer proof at once. It does not have to wait for its next
// query at each level of the tree.
func TestProofIsPropagatedAtOnce(t *testing.T) {
	tests := []struct {
		name string
		// age is the age of the follower's proof at the query, in milliseconds; newer is
		// by how much the gateway's proof is newer from then on.
		age   uint32
		newer time.Duration
	}{
		{"newer when asked", 5000, 4 * time.Second},
		{"newer afterwards", 100, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newTestEnv(t, 1, nil)
			w.store.SetFault(standin.Silent)
			p := holdPoll(w, tt.age)
			w.server.control.DoWithoutCancel(func(now time.Time) {
				at := now.Add(tt.newer - time.Duration(tt.age)*time.Millisecond)
				w.server.recordProof(*w.server.view.Load(), at)
			})
			w.is.Equal(p.answer().GetVersion(), int64(1))
		})
	}
}

// A gateway that loses the store tells its followers at once, and for how long it avoids
// the store.
func TestStoreLossIsPropagated(t *testing.T) {
	w := newTestEnv(t, 1, nil)
	w.store.SetFault(standin.Silent)
	p := holdPoll(w, 0)
	var resp *gladegaugev1.FollowResponse
	w.await(func() bool {
		// A loss before the query is not reported at once.
		w.server.control.DoWithoutCancel(w.server.storeFailed)
		select {
		case resp = <-p.done:
			return true
		default:
			return false
		}
	})
	w.is.True(resp.GetHeldMs() < wholeMilliseconds(maxFollowWait))
	w.is.True(resp.GetBackoffMs() > 0)
	w.is.True(resp.FailedAgeMs != nil)
}

// A gateway that did not query the store during an outage also retains entries that
// expired in it, because others reported that their calls failed.
func TestOutageSeenByOthers(t *testing.T) {
	failed := func(ms uint32) *gladegaugev1.FollowResponse {
		return &gladegaugev1.FollowResponse{FailedAgeMs: &ms}
	}
	tests := []struct {
		name string
		resp *gladegaugev1.FollowResponse
		// age is the age of the proof when the store answers.
		age      time.Duration
		retained bool
	}{
		{"a call failed since the proof", failed(500), 4 * time.Second, true},
		{"a call failed before it", failed(5000), 4 * time.Second, false},
		{"no call failed", &gladegaugev1.FollowResponse{}, 4 * time.Second, false},
		{"a single call, and what is known is new", failed(100), 500 * time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newTestEnv(t, 1, nil)
			w.store.SetFault(standin.Silent)
			w.server.control.DoWithoutCancel(func(now time.Time) {
				w.server.storeFailedAt = time.Time{}
				view := *w.server.view.Load()
				view.NewestAt = now.Add(-tt.age)
				w.server.view.Store(&view)
				w.server.recordPeerStoreState(now, "10.0.0.9:1", tt.resp)
				w.server.storeAnswered(now)
				is.Equal(!w.server.roster.RecoveredAt().IsZero(), tt.retained)
			})
		})
	}
}

// A follower that cannot apply its parent's proof, because it cannot decode the
// configuration that the proof belongs to, stops asking for such proofs at once instead of
// querying in a loop.
func TestUnusableProof(t *testing.T) {
	w := newTestEnv(t, 1, nil)
	w.store.SetFault(standin.Silent)
	ages := make(chan *uint32, 10)
	parent := &standinParent{ages: ages}
	_, handler := gladegaugev1connect.NewGatewayServiceHandler(parent)
	server := httptest.NewServer(handler)
	defer server.Close()
	f := &follower{server: w.server, reader: reader.New(time.Now()), position: feed.Position{Revision: 1}}
	const held = 500 * time.Millisecond
	ask := func() *uint32 {
		f.queryPeer(context.Background(), reader.Query{Address: server.Listener.Addr().String(), Wait: held, Timeout: time.Second})
		return <-ages
	}
	parent.version, parent.held = 1, held
	w.is.True(ask() != nil)
	w.is.True(ask() != nil) // as usual, nothing came until the end of the wait
	parent.version, parent.held = 2, 0
	ask()
	w.is.True(ask() == nil)
	w.is.True(ask() == nil)
}

// standinParent answers at once with a proof of its version, and claims to have held the
// query for the time held.
type standinParent struct {
	gladegaugev1connect.UnimplementedGatewayServiceHandler
	version int64
	held    time.Duration
	ages    chan *uint32
}

// Follow answers, and records the reported age.
func (p *standinParent) Follow(_ context.Context, req *connect.Request[gladegaugev1.FollowRequest]) (*connect.Response[gladegaugev1.FollowResponse], error) {
	p.ages <- req.Msg.AgeMs
	return connect.NewResponse(&gladegaugev1.FollowResponse{
		Revision: 1, Version: p.version, HeldMs: wholeMilliseconds(p.held), AgeMs: math.MaxInt32,
	}), nil
}
