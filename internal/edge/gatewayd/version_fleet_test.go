package gatewayd

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// versionFleet is three gateways before upstreams of several versions.
type versionFleet struct {
	t        *testing.T
	store    *standin.Store
	replicas []*standin.Replica
	// removed are the replicas, by ID, that the store no longer lists.
	removed map[string]bool
	all     []*testPeer
}

// startVersionFleet starts the gateways and upstreams, and waits until all know each other.
func startVersionFleet(t *testing.T, versions []string) *versionFleet {
	t.Helper()
	if versions == nil {
		versions = []string{"v1", "v1", "v2", "v2"}
	}
	f := &versionFleet{t: t, store: standin.NewStore(t), removed: make(map[string]bool)}
	f.store.PutConfig(configuration(1))
	f.replicas = startVersions(t, f.store, versions...)
	for range 3 {
		f.start()
	}
	return f
}

// stop stops one of the gateways.
func (f *versionFleet) stop(g *testPeer) {
	f.all = slices.DeleteFunc(f.all, func(other *testPeer) bool { return other == g })
	g.stop()
}

// awaitListed waits until the gateway has the upstreams as the store lists them, which a
// configuration that is published afterwards shows.
func (f *versionFleet) awaitListed(g *testPeer) {
	f.t.Helper()
	want := g.version() + 1
	f.store.PutConfig(configuration(want))
	w := &testEnv{t: f.t, is: is.New(f.t)}
	w.await(func() bool { return g.version() >= want })
}

// start starts another gateway for the first time and waits until all know it.
func (f *versionFleet) start() *testPeer {
	f.t.Helper()
	return f.startWith(true)
}

// startAgain is start for a gateway that ran before.
func (f *versionFleet) startAgain() *testPeer {
	f.t.Helper()
	return f.startWith(false)
}

func (f *versionFleet) startWith(first bool) *testPeer {
	f.t.Helper()
	var seeds []string
	if len(f.all) > 0 {
		seeds = append(seeds, f.all[0].PeersAddress())
	}
	g := startPeerWith(f.t, f.store, "a", first, seeds...)
	f.all = append(f.all, g)
	w := &testEnv{t: f.t, is: is.New(f.t)}
	w.await(func() bool {
		for _, g := range f.all {
			listed := 0
			g.control.DoWithoutCancel(func(time.Time) { listed = g.table.Size("app") })
			if n, _ := g.known(); n < len(f.all) || listed != len(f.replicas)-len(f.removed) {
				return false
			}
		}
		return true
	})
	w.server = g.Server
	w.await(func() bool { return w.readiness() == 200 })
	return g
}
