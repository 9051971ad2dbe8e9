package gatewayd

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// newZonesEnv starts a gateway in zone a, and a replica in each of the given availability
// zones.
func newZonesEnv(t *testing.T, zones ...string) *testEnv {
	t.Helper()
	w := &testEnv{t: t, is: is.New(t), store: standin.NewStore(t)}
	w.store.PutConfig(configuration(1))
	for _, zone := range zones {
		w.addReplicaIn(zone, "i-"+zone)
	}
	w.start(testBounds())
	w.await(func() bool { return w.upstreams() == len(zones) && w.readiness() == 200 })
	return w
}

// addReplicaIn starts a replica in the availability zone.
func (w *testEnv) addReplicaIn(zone, id string) *standin.Replica {
	w.t.Helper()
	r := standin.NewReplica(w.t, id, func(int, standin.Request) standin.Reply { return standin.Reply{Body: "done"} })
	r.Zone = zone
	w.replicas = append(w.replicas, r)
	w.store.PutReplica(r, "app", false)
	return r
}

// ranIn returns the number of requests that the replicas of the availability zone ran.
func (w *testEnv) ranIn(zone string) int {
	n := 0
	for _, r := range w.replicas {
		if r.Zone == zone {
			n += len(r.Ran())
		}
	}
	return n
}

// callMany sends n requests and returns the number of those that succeeded.
func (w *testEnv) callMany(n int) int {
	served := 0
	for i := range n {
		if w.call(fmt.Sprintf("/read/%d", i)).Status == 200 {
			served++
		}
	}
	return served
}

// The upstreams of an evacuated availability zone get no new requests, not even those
// listed after the evacuation began, whatever else is published. Requests are sent to other
// zones.
func TestEvacuatedZoneGetsNothingNew(t *testing.T) {
	tests := []struct {
		name string
		// then is what happens after the evacuation; back is true if that ends it.
		then func(w *testEnv)
		back bool
	}{
		{name: "evacuated"},
		{name: "evacuated twice", then: func(w *testEnv) { w.store.Evacuate("b") }},
		{name: "a configuration follows", then: func(w *testEnv) { w.store.PutConfig(configuration(2)) }},
		{name: "its upstream begins to leave", then: func(w *testEnv) { w.store.PutReplica(w.replicas[1], "app", true) }},
		{name: "the store compacts its history", then: func(w *testEnv) { w.store.Compact() }},
		{name: "the evacuation ends", back: true, then: func(w *testEnv) { w.store.EndEvacuation("b") }},
		{name: "ended and evacuated again", then: func(w *testEnv) {
			w.store.EndEvacuation("b")
			w.store.Evacuate("b")
		}},
		{name: "ended while the store compacts its history", back: true, then: func(w *testEnv) {
			w.store.SuppressNotifications()
			w.store.EndEvacuation("b")
			w.store.CompactSilently()
		}},
		{name: "another one overlaps and ends", then: func(w *testEnv) {
			w.addReplicaIn("c", "i-c")
			w.store.Evacuate("c")
			w.store.EndEvacuation("c")
			w.await(func() bool { return w.upstreams() == 2 })
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newZonesEnv(t, "x", "b")
			w.callMany(20)
			w.store.Evacuate("b")
			w.await(func() bool { return w.upstreams() == 1 })
			if tt.then != nil {
				tt.then(w)
			}
			w.addReplicaIn("d", "i-d") // a gateway that knows this entry knows all earlier ones
			w.await(func() bool { return w.availableIn("d") == 1 })
			w.await(func() bool { return (w.availableIn("b") > 0) == tt.back })
			before := w.ranIn("b")
			w.is.Equal(w.callMany(20), 20)
			if !tt.back {
				w.is.Equal(w.ranIn("b"), before)
				return
			}
			w.store.RemoveReplica("i-x")
			w.store.RemoveReplica("i-d")
			w.await(func() bool { return w.upstreams() == 1 })
			w.is.Equal(w.callMany(5), 5) // no other upstream is left
			w.is.True(w.ranIn("b") >= before+5)
		})
	}
}

// availableIn returns the number of upstreams in the availability zone that may get
// requests.
func (w *testEnv) availableIn(zone string) int {
	n := 0
	w.server.control.DoWithoutCancel(func(now time.Time) {
		for _, in := range w.server.roster.Current(now) {
			if in.Zone == zone && !in.Leaving && !in.Evacuated {
				n++
			}
		}
	})
	return n
}

// An evacuation that ends during an outage of the store stays in force until the store
// reports its end; one that began in the meantime is applied as soon as the store answers.
func TestEvacuationsDuringOutage(t *testing.T) {
	w := newZonesEnv(t, "x", "b", "c")
	w.store.Evacuate("b")
	w.await(func() bool { return w.upstreams() == 2 })
	w.store.SetFault(standin.Unavailable)
	w.store.EndEvacuation("b")
	w.store.Evacuate("c")
	w.await(func() bool { return w.storeLost() })
	before := w.ranIn("b")
	w.is.Equal(w.callMany(10), 10)
	w.is.Equal(w.ranIn("b"), before)
	w.store.SetFault(standin.NoFault)
	w.await(func() bool { return w.availableIn("b") == 1 && w.availableIn("c") == 0 })
}

// storeLost reports whether the gateway noticed that it lost the store.
func (w *testEnv) storeLost() bool { return strings.Contains(w.logs.String(), "store: unreachable") }

// If all availability zones are evacuated, a request is refused without being run, and its
// caller is told when to retry.
func TestAllZonesEvacuated(t *testing.T) {
	w := newZonesEnv(t, "x", "b")
	w.store.Evacuate("x")
	w.store.Evacuate("b")
	w.await(func() bool { return w.upstreams() == 0 })
	a := w.call("/read/1")
	w.is.Equal(a.Status, 503)
	w.is.True(a.RetryAfter() > 0)
	w.is.Equal(len(w.ran()), 0)
}

// A gateway that never reads the store learns from its parent which evacuations began and
// ended, also of those before its start.
func TestEvacuationsReachFollowers(t *testing.T) {
	w := newZonesEnv(t, "x", "b")
	first := startPeer(t, w.store)
	second := startPeer(t, w.store, first.PeersAddress())
	open := func(g *testPeer, zone string) bool {
		found := false
		g.control.DoWithoutCancel(func(now time.Time) {
			for _, in := range g.roster.Current(now) {
				found = found || (in.Zone == zone && !in.Evacuated)
			}
		})
		return found
	}
	w.await(func() bool { return open(first, "b") && open(second, "b") })
	w.store.Evacuate("b")
	w.await(func() bool { return !open(first, "b") && !open(second, "b") })
	third := startPeer(t, w.store, first.PeersAddress())
	w.await(func() bool { return open(third, "x") })
	w.is.True(!open(third, "b"))
	w.store.EndEvacuation("b")
	w.await(func() bool { return open(first, "b") && open(second, "b") && open(third, "b") })
}
