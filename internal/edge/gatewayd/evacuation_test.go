package gatewayd

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// newZones starts a gateway in zone a, and a replica in each of the availability zones.
func newZones(t *testing.T, zones ...string) *world {
	t.Helper()
	w := &world{t: t, is: is.New(t), store: standin.NewStore(t)}
	w.store.PutConfig(configuration(1))
	for _, zone := range zones {
		w.listIn(zone, "i-"+zone)
	}
	w.start(boundsOfTests())
	w.await(func() bool { return w.upstreams() == len(zones) && w.readiness() == 200 })
	return w
}

// listIn starts a replica in the availability zone.
func (w *world) listIn(zone, id string) *standin.Replica {
	w.t.Helper()
	r := standin.NewReplica(w.t, id, func(int, standin.Request) standin.Reply { return standin.Reply{Body: "done"} })
	r.Zone = zone
	w.replicas = append(w.replicas, r)
	w.store.PutReplica(r, "app", false)
	return r
}

// ranIn counts what the replicas of the availability zone ran.
func (w *world) ranIn(zone string) int {
	n := 0
	for _, r := range w.replicas {
		if r.Zone == zone {
			n += len(r.Ran())
		}
	}
	return n
}

// callMany sends so many requests and returns the number that were answered.
func (w *world) callMany(n int) int {
	served := 0
	for i := range n {
		if w.call(fmt.Sprintf("/read/%d", i)).Status == 200 {
			served++
		}
	}
	return served
}

// While an availability zone is evacuated its upstreams get nothing new, also those
// that are listed only then, and whatever else is published. Requests go elsewhere.
func TestEvacuatedZoneGetsNothingNew(t *testing.T) {
	tests := []struct {
		name string
		// then is what happens after the evacuation; back is true if it ends it.
		then func(w *world)
		back bool
	}{
		{name: "evacuated"},
		{name: "asked for twice", then: func(w *world) { w.store.Evacuate("b") }},
		{name: "a configuration follows", then: func(w *world) { w.store.PutConfig(configuration(2)) }},
		{name: "its upstream begins to leave", then: func(w *world) { w.store.PutReplica(w.replicas[1], "app", true) }},
		{name: "the store forgets its history", then: func(w *world) { w.store.Compact() }},
		{name: "taken back", back: true, then: func(w *world) { w.store.EndEvacuation("b") }},
		{name: "taken back and evacuated again", then: func(w *world) {
			w.store.EndEvacuation("b")
			w.store.Evacuate("b")
		}},
		{name: "taken back while the store forgets", back: true, then: func(w *world) {
			w.store.SuppressNotifications()
			w.store.EndEvacuation("b")
			w.store.CompactSilently()
		}},
		{name: "another one overlaps, and is taken back", then: func(w *world) {
			w.listIn("c", "i-c")
			w.store.Evacuate("c")
			w.store.EndEvacuation("c")
			w.await(func() bool { return w.upstreams() == 2 })
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newZones(t, "x", "b")
			w.callMany(20)
			w.store.Evacuate("b")
			w.await(func() bool { return w.upstreams() == 1 })
			if tt.then != nil {
				tt.then(w)
			}
			w.listIn("d", "i-d") // whoever knows it knows all that came before
			w.await(func() bool { return w.openIn("d") == 1 })
			w.await(func() bool { return (w.openIn("b") > 0) == tt.back })
			before := w.ranIn("b")
			w.is.Equal(w.callMany(20), 20)
			if !tt.back {
				w.is.Equal(w.ranIn("b"), before)
				return
			}
			w.store.RemoveReplica("i-x")
			w.store.RemoveReplica("i-d")
			w.await(func() bool { return w.upstreams() == 1 })
			w.is.Equal(w.callMany(5), 5) // nobody else is left
			w.is.True(w.ranIn("b") >= before+5)
		})
	}
}

// openIn counts the upstreams of the availability zone that may get requests.
func (w *world) openIn(zone string) int {
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

// An evacuation that is taken back while the store is away holds until the store says
// so; one that began meanwhile is followed as soon as it does.
func TestEvacuationsInAnOutage(t *testing.T) {
	w := newZones(t, "x", "b", "c")
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
	w.await(func() bool { return w.openIn("b") == 1 && w.openIn("c") == 0 })
}

// storeLost reports whether the gateway noticed that the store is away.
func (w *world) storeLost() bool { return strings.Contains(w.logs.String(), "store: lost") }

// With all availability zones evacuated a request is refused: it has not run, and its
// caller learns when to come back.
func TestAllZonesEvacuated(t *testing.T) {
	w := newZones(t, "x", "b")
	w.store.Evacuate("x")
	w.store.Evacuate("b")
	w.await(func() bool { return w.upstreams() == 0 })
	a := w.call("/read/1")
	w.is.Equal(a.Status, 503)
	w.is.True(a.RetryAfter() > 0)
	w.is.Equal(len(w.ran()), 0)
}

// A gateway that never reads the store learns of evacuations from its parent, also of
// those that ended while it was not there.
func TestEvacuationsReachFollowers(t *testing.T) {
	w := newZones(t, "x", "b")
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
