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

// leaves reports whether the gateway knows that the upstream leaves.
func (g *testPeer) leaves(id string) bool {
	return slices.ContainsFunc(g.listed(), func(in balance.Instance) bool { return in.ID == id && in.Leaving })
}

// listed returns the upstreams on the gateway's list.
func (g *testPeer) listed() []balance.Instance {
	var list []balance.Instance
	g.control.DoWithoutCancel(func(now time.Time) { list = g.roster.Current(now) })
	return list
}

// restoredWorld is three gateways, one of which reads the store for the others, that know
// more of it than the copy from which it comes back.
func restoredWorld(t *testing.T) (w *world, all []*testPeer) {
	t.Helper()
	w = &world{t: t, is: is.New(t), store: standin.NewStore(t)}
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

// The store came back from a copy and gave its revisions out again. Only the gateway that
// read it learned that an upstream leaves; those that followed it knew a higher revision.
func TestFollowersLearnWhatIsWrittenAfterARestore(t *testing.T) {
	w, all := restoredWorld(t)
	w.store.Restore()
	w.store.PutConfig(configuration(6))
	later := time.Now()
	w.await(func() bool {
		return all[0].provedAfter(later) && all[1].provedAfter(later) && all[2].provedAfter(later)
	})
	w.store.PutReplica(w.replicas[0], "app", true)
	for _, g := range all {
		w.await(func() bool { return g.leaves("i-a") })
	}
}

// A gateway that was without the store while it came back from a copy, and asks again when
// its revisions are as high as before, is told only what came after.
func TestRevisionsThatAreGivenOutAgain(t *testing.T) {
	w := newWorld(t, 1, nil)
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
	w.await(func() bool { return g.leaves("i-a") })
}

// A gateway that starts while the store holds an older configuration than it had
// acknowledged takes the one in force from another gateway.
func TestStartAfterARestoreTakesNoOlderConfiguration(t *testing.T) {
	w, all := restoredWorld(t)
	w.store.Restore()
	for _, g := range all {
		w.await(func() bool { return g.epoch() == 1 })
	}
	late := startPeerWith(t, w.store, "a", false, all[0].PeersAddress())
	w.await(func() bool { return late.version() != 0 })
	w.is.Equal(late.version(), int64(6))
}

// epoch is that of the store as the gateway knows it.
func (g *testPeer) epoch() int64 {
	var epoch int64
	g.control.DoWithoutCancel(func(time.Time) { epoch = g.feed.Position().Epoch })
	return epoch
}

// Upstreams that leave or went do not come back with a copy of the store.
func TestRestoreBringsNobodyBack(t *testing.T) {
	w := newWorld(t, 3, nil)
	w.store.Backup()
	w.store.PutReplica(w.replicas[0], "app", true)
	w.store.RemoveReplica(w.replicas[1].ID)
	g := &testPeer{Server: w.server}
	w.await(func() bool { return g.leaves("i-a") && len(g.listed()) == 2 })
	w.store.Restore()
	w.await(func() bool { return g.epoch() == 1 })
	w.is.True(g.leaves("i-a"))
	w.is.Equal(len(g.listed()), 2)
	families, err := g.metrics.registry.Gather()
	w.is.NoErr(err)
	w.is.Equal(valueOf(families, "gladegauge_gateway_store_epoch", nil), 1.0)
	w.is.Equal(valueOf(families, "gladegauge_gateway_store_revision", nil), 4.0)
}

// A store that came back from a copy may have lost a configuration that takes a key away.
// Its silence proves nothing until what was lost must have been written again, or was.
func TestStoreFromACopyProvesNothingAtOnce(t *testing.T) {
	tests := []struct {
		name string
		// write is what the operators write before the gateway asks again.
		write func(st *standin.Store)
		// least and most are when the configuration is proved anew, after the return.
		least, most time.Duration
	}{
		{"nothing is written", func(*standin.Store) {}, settleFor - time.Second, settleFor + 2*time.Second},
		{"the same one is written anew", func(st *standin.Store) {
			st.Put("else/thing", nil)
			st.PutConfig(configuration(1))
		}, 0, settleFor - time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, 1, nil)
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

// A gateway that starts reads what may be seconds old. If the store came back from a copy in
// between, and gave out as many revisions since, the changes that follow hide what was
// written in place of those that were lost.
func TestStartWithAReadFromBeforeARestore(t *testing.T) {
	w := &world{t: t, is: is.New(t), store: standin.NewStore(t)}
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
	w.await(func() bool { return g.leaves("i-a") })
}

// A gateway that the store could not tell what followed its position watches again once
// another gateway has brought it further, and does not read everything.
func TestWatchesAgainFromWhatAnotherGatewayTold(t *testing.T) {
	w := newWorld(t, 1, nil)
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
			f.takeFrom(time.Now(), "parent", &gladegaugev1.FollowResponse{Epoch: tt.position.Epoch, Revision: tt.position.Revision})
			is.Equal(f.reader.NeedsRelist(), tt.unfollowed)
			is.Equal(f.position, known.Later(tt.position))
		})
	}
}
