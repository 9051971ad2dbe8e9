package gatewayd

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/feed"
	"github.com/gladegauge/gladegauge/internal/core/fleet"
	"github.com/gladegauge/gladegauge/internal/core/reader"
	"github.com/gladegauge/gladegauge/platform/standin"
)

// After a failed call a gateway that knows others avoids the store. It queries the store
// again before that time is over if its view is too old.
func TestStoreAvoidanceIsBounded(t *testing.T) {
	w := newTestEnv(t, 1, nil)
	w.store.SetFault(standin.Silent)
	f := &follower{server: w.server, reader: reader.New(w.now()), position: feed.Position{Revision: 1}}
	w.server.control.DoWithoutCancel(func(now time.Time) {
		w.server.fleet.Merge(now, []fleet.Member{{Address: "10.0.0.9:1", Zone: "b", Start: 1, Beat: 1}})
		view := *w.server.view.Load()
		view.NewestAt = now.Add(-10 * time.Second)
		w.server.view.Store(&view)
	})
	w.is.Equal(f.next().Kind, reader.Watch)
	w.server.control.DoWithoutCancel(func(now time.Time) {
		w.server.storeFailed(now)
		f.reader.StoreFailed(now, 0)
	})
	w.is.True(f.next().Kind != reader.Watch)
	w.suspend(testBounds().ConfigWithin)
	w.is.Equal(f.next().Kind, reader.Watch)
}

// A configuration that cannot be decoded proves nothing as long as it is the newest. The
// gateways keep watching the store for the next one, one of them for all, and do not query
// it again right after each answer.
func TestCallsDuringUnreadableConfiguration(t *testing.T) {
	w := &testEnv{t: t, is: is.New(t), store: standin.NewStore(t)}
	w.store.PutConfig(configuration(1))
	first := startPeer(t, w.store)
	all := []*testPeer{first, startPeer(t, w.store, first.PeersAddress()), startPeer(t, w.store, first.PeersAddress())}
	allUnreadable := func() bool {
		n := 0
		for _, g := range all {
			g.control.DoWithoutCancel(func(time.Time) {
				if g.configUnreadable && g.view.Load().Table != nil {
					n++
				}
			})
		}
		return n == len(all)
	}
	w.await(func() bool { return all[0].version() == 1 && all[1].version() == 1 && all[2].version() == 1 })
	w.store.PutRawConfig([]byte("{"))
	w.await(allUnreadable)
	bounds := first.readerBounds()
	late := time.Now().Add(2 * bounds.MaxConfigDelay)
	w.await(func() bool { return time.Now().After(late) })
	before := w.store.Calls()
	end := time.Now().Add(2 * bounds.MaxConfigDelay)
	w.await(func() bool { return time.Now().After(end) })
	calls := w.store.Calls() - before
	t.Logf("%d calls", calls)
	w.is.True(calls <= 8) // a watch takes at least half of that time
	w.store.PutConfig(configuration(2))
	w.await(func() bool { return all[0].version() == 2 && all[1].version() == 2 && all[2].version() == 2 })
}
