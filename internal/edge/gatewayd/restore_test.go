package gatewayd

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/feed"
	"github.com/gladegauge/gladegauge/internal/core/reader"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
	"github.com/gladegauge/gladegauge/platform/standin"
)

// isLeaving reports whether the gateway knows that the upstream is leaving.
func (g *testPeer) isLeaving(id string) bool {
	return slices.ContainsFunc(g.listed(), func(in balance.Instance) bool { return in.ID == id && in.Leaving })
}

// listed returns the upstreams on the gateway's list.
func (g *testPeer) listed() []balance.Instance {
	var list []balance.Instance
	g.control.DoWithoutCancel(func(now time.Time) { list = g.roster.Current(now) })
	return list
}

// newRestoreEnv starts three gateways, one of which reads the store for the others. They
// know more than the backup from which the store is restored.
func newRestoreEnv(t *testing.T) (w *testEnv, all []*testPeer) {
	t.Helper()
	w = &testEnv{t: t, is: is.New(t), store: standin.NewStore(t)}
	w.store.PutConfig(configuration(1))
	r := standin.NewReplica(t, "i-a", nil)
	w.replicas = append(w.replicas, r)
	w.store.PutReplica(r, "app", false)
	first := startPeer(t, w.store)
	all = []*testPeer{first, startPeer(t, w.store, first.PeersAddress()), startPeer(t, w.store, first.PeersAddress())}
	everyone := func(ok func(g *testPeer) bool) func() bool {
		return func() bool { return !slices.ContainsFunc(all, func(g *testPeer) bool { return !ok(g) }) }
	}
	w.await(everyone(func(g *testPeer) bool {
		n, _ := g.known()
		return n == len(all) && g.version() == 1 && len(g.listed()) == 1
	}))
	w.store.Backup()
	for version := int64(2); version <= 6; version++ {
		w.store.PutConfig(configuration(version))
	}
	w.await(everyone(func(g *testPeer) bool { return g.version() == 6 }))
	return w, all
}

// A store that is restored from a backup issues its revisions again. Followers that knew a
// higher revision did not learn that an upstream was leaving; only the gateway that read
// the store did.
func TestFollowersLearnWritesAfterRestore(t *testing.T) {
	w, all := newRestoreEnv(t)
	w.store.Restore()
	w.store.PutConfig(configuration(6))
	later := time.Now()
	w.await(func() bool {
		return all[0].provedAfter(later) && all[1].provedAfter(later) && all[2].provedAfter(later)
	})
	w.store.PutReplica(w.replicas[0], "app", true)
	for _, g := range all {
		w.await(func() bool { return g.isLeaving("i-a") })
	}
}

// A gateway without the store during the restore queries it again when its revisions are
// as high as before. A watch from that position would return only what follows it.
func TestReusedRevisions(t *testing.T) {
	w := newTestEnv(t, 1, nil)
	w.store.Backup()
	w.store.PutConfig(configuration(2))
	w.await(func() bool { return w.server.view.Load().Table.Version == 2 })
	w.store.SetFault(standin.Unavailable)
	w.store.Restore()
	w.store.PutReplica(w.replicas[0], "app", true)
	w.store.PutConfig(configuration(2))
	w.store.PutConfig(configuration(2))
	w.store.SetFault(standin.NoFault)
	g := &testPeer{Server: w.server}
	w.await(func() bool { return g.isLeaving("i-a") })
}

// A gateway that starts while the store holds an older configuration than before the
// restore takes the one in force from another gateway.
func TestStartAfterRestoreIgnoresOlderConfiguration(t *testing.T) {
	w, all := newRestoreEnv(t)
	w.store.Restore()
	for _, g := range all {
		w.await(func() bool { return g.epoch() == 1 })
	}
	late := startPeerWith(t, w.store, "a", false, all[0].PeersAddress())
	w.await(func() bool { return late.version() != 0 })
	w.is.Equal(late.version(), int64(6))
}

// epoch returns the epoch of the store as the gateway knows it.
func (g *testPeer) epoch() int64 {
	var epoch int64
	g.control.DoWithoutCancel(func(time.Time) { epoch = g.feed.Position().Epoch })
	return epoch
}

// Upstreams that are leaving or removed are not revived by a restore of the store.
func TestRestoreRevivesNoUpstream(t *testing.T) {
	w := newTestEnv(t, 3, nil)
	w.store.Backup()
	w.store.PutReplica(w.replicas[0], "app", true)
	w.store.RemoveReplica(w.replicas[1].ID)
	g := &testPeer{Server: w.server}
	w.await(func() bool { return g.isLeaving("i-a") && len(g.listed()) == 2 })
	w.store.Restore()
	w.await(func() bool { return g.epoch() == 1 })
	w.is.True(g.isLeaving("i-a"))
	w.is.Equal(len(g.listed()), 2)
	families, err := g.metrics.registry.Gather()
	w.is.NoErr(err)
	w.is.Equal(valueOf(families, "gladegauge_gateway_store_epoch", nil), 1.0)
	w.is.Equal(valueOf(families, "gladegauge_gateway_store_revision", nil), 4.0)
}

// A restored store may have lost a configuration that revokes a key. The absence of
// changes proves nothing until lost writes have been repeated, or must have been.
func TestRestoredStoreProvesNothingAtOnce(t *testing.T) {
	tests := []struct {
		name string
		// write is what the operators write before the gateway queries the store again.
		write func(st *standin.Store)
		// least and most are the bounds of the time from the restore to the next proof of
		// the configuration.
		least, most time.Duration
	}{
		{"nothing is written", func(*standin.Store) {}, restoreWindowLength - time.Second, restoreWindowLength + 2*time.Second},
		{"the same one is written anew", func(st *standin.Store) {
			st.Put("else/thing", nil)
			st.PutConfig(configuration(1))
		}, 0, restoreWindowLength - time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newTestEnv(t, 1, nil)
			g := &testPeer{Server: w.server}
			w.store.Backup()
			w.store.SetFault(standin.Unavailable)
			w.store.Restore()
			tt.write(w.store)
			back := time.Now()
			w.store.SetFault(standin.NoFault)
			w.await(func() bool { return g.provedAfter(back) })
			took := time.Since(back)
			w.is.Equal(g.epoch(), int64(1))
			w.is.True(took >= tt.least)
			w.is.True(took <= tt.most)
		})
	}
}

// A starting gateway may read a listing that is seconds old. If the store was restored in
// between and has issued as many revisions since, the changes that follow hide what was
// written in place of the lost ones.
func TestStartWithListingFromBeforeRestore(t *testing.T) {
	w := &testEnv{t: t, is: is.New(t), store: standin.NewStore(t)}
	w.store.PutConfig(configuration(1))
	r := standin.NewReplica(t, "i-a", nil)
	w.store.PutReplica(r, "app", false)
	w.store.Backup()
	w.store.PutConfig(configuration(2))
	w.store.Freeze()
	w.store.Restore()
	w.store.PutReplica(r, "app", true)
	w.store.PutConfig(configuration(2))
	g := startPeer(t, w.store)
	w.await(func() bool { return g.isLeaving("i-a") })
}

// A gateway whose watch failed because the history was compacted watches again once
// another gateway has brought it further, and does not relist.
func TestWatchResumesFromPeerPosition(t *testing.T) {
	w := newTestEnv(t, 1, nil)
	w.store.SetFault(standin.Silent)
	known := feed.Position{Epoch: 1, Revision: 7}
	tests := []struct {
		name       string
		position   feed.Position
		unfollowed bool
	}{
		{"further", feed.Position{Epoch: 1, Revision: 8}, false},
		{"a later epoch", feed.Position{Epoch: 2, Revision: 3}, false},
		{"the same", known, true},
		{"an earlier epoch", feed.Position{Revision: 9}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := &follower{server: w.server, reader: reader.New(time.Now()), position: known}
			f.reader.HistoryCompacted()
			f.applyPeerAnswer(time.Now(), "parent", &gladegaugev1.FollowResponse{Epoch: tt.position.Epoch, Revision: tt.position.Revision})
			is.Equal(f.reader.NeedsRelist(), tt.unfollowed)
			is.Equal(f.position, known.Later(tt.position))
		})
	}
}
