package gatewayd

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/fleet"
	"github.com/gladegauge/gladegauge/internal/core/occupancy"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
	"github.com/gladegauge/gladegauge/platform/standin"
)

// newLoadsEnv starts three gateways in two availability zones, and two replicas.
func newLoadsEnv(t *testing.T) (*testEnv, []*testPeer) {
	t.Helper()
	w := &testEnv{t: t, is: is.New(t), store: standin.NewStore(t)}
	cfg := configuration(1)
	cfg.Engines = true
	w.store.PutConfig(cfg)
	for _, id := range []string{"i-a", "i-b"} {
		w.store.PutReplica(standin.NewReplica(t, id, func(int, standin.Request) standin.Reply { return standin.Reply{Body: "ok"} }), "app", false)
	}
	var peers []*testPeer
	var seeds []string
	for _, zone := range []string{"a", "a", "b"} {
		p := startPeerIn(t, w.store, zone, seeds...)
		peers = append(peers, p)
		seeds = append(seeds, p.PeersAddress())
	}
	w.await(func() bool {
		for _, p := range peers {
			n := 0
			p.control.DoWithoutCancel(func(time.Time) { n = p.table.Size("app") })
			if known, _ := p.known(); n != 2 || known != len(peers) {
				return false
			}
		}
		return true
	})
	return w, peers
}

// pickOn picks an upstream for a prompt on the gateway.
func pickOn(p *testPeer, own uint64) balance.Choice {
	var c balance.Choice
	r := balance.Request{Pool: "app", Route: "note", Prompt: balance.Prompt{
		Model: 1, Tokens: 9000,
		Parts: []balance.Part{{ID: 5, Tokens: 6000}, {ID: own, Tokens: 3000}},
	}}
	p.control.DoWithoutCancel(func(now time.Time) { c, _ = p.table.Pick(now, r) })
	return c
}

// othersAt returns the number of requests that other gateways have at the upstream, as far
// as this gateway knows.
func othersAt(p *testPeer, c balance.Choice) int {
	n := 0
	p.control.DoWithoutCancel(func(now time.Time) {
		_, relay := p.fleet.Relay(now)
		loads, _ := p.occupancy.Others(now, relay)
		n = loads[xxhash.Sum64String(c.ID)].Requests
	})
	return n
}

// The load of a gateway at an upstream, and the prompt parts that are cached there, reach
// the gateways of its zone and of other zones. The end of a request reaches them too.
func TestLoadsReachAllGateways(t *testing.T) {
	w, peers := newLoadsEnv(t)
	c := pickOn(peers[0], 100)
	for _, p := range peers[1:] {
		w.await(func() bool { return othersAt(p, c) == 1 })
	}
	// Two reports may overtake each other: the load in one, the part in the other. A relay
	// passes on what was reported to it, also to a gateway it does not know.
	w.await(func() bool {
		known := 0
		peers[2].control.DoWithoutCancel(func(time.Time) { known = len(peers[2].partLog.For("nobody")) })
		return known > 0
	})
	next := pickOn(peers[2], 200)
	w.is.Equal(next.ID, c.ID) // the shared part is being read there
	w.is.Equal(next.Unread, 3000)
	w.await(func() bool { return othersAt(peers[0], c) == 1 && othersAt(peers[1], c) == 2 })
	peers[0].control.DoWithoutCancel(func(now time.Time) { peers[0].table.Ended(now, c, balance.Completed, balance.Answer{Tokens: 10}) })
	w.await(func() bool { return othersAt(peers[1], c) == 1 && othersAt(peers[2], c) == 0 })
}

// The load of a gateway that is gone is dropped.
func TestLoadsOfStoppedGateway(t *testing.T) {
	w, peers := newLoadsEnv(t)
	c := pickOn(peers[1], 100)
	w.await(func() bool { return othersAt(peers[2], c) == 1 })
	peers[1].stop()
	w.await(func() bool { return othersAt(peers[2], c) == 0 })
}

// Reports that arrive late, twice or out of order have no lasting effect: the latest
// report of a gateway counts, and reports do not add up.
func TestRepeatedReports(t *testing.T) {
	is := is.New(t)
	w, peers := newLoadsEnv(t)
	p := peers[2]
	report := func(n uint32) {
		_, err := p.TellLoads(context.Background(), connect.NewRequest(&gladegaugev1.TellLoadsRequest{
			Gateway: "10.9.9.9:1",
			Loads:   []*gladegaugev1.UpstreamLoad{{Upstream: 42, Requests: n}},
		}))
		is.NoErr(err)
	}
	for _, n := range []uint32{3, 3, 9, 3} {
		report(n)
	}
	var sum occupancy.Loads
	p.control.DoWithoutCancel(func(now time.Time) { sum = p.occupancy.Zone(now) })
	is.Equal(sum[42].Requests, 3)
	w.await(func() bool {
		p.control.DoWithoutCancel(func(now time.Time) { sum = p.occupancy.Zone(now) })
		return sum[42].Requests == 0
	})
}

// Only the relay of a cell reports for several gateways. Any other gateway that claims to
// do so counts as one witness.
func TestOnlyCellRelaysReportForSeveral(t *testing.T) {
	w := &testEnv{t: t, is: is.New(t), store: standin.NewStore(t)}
	w.store.PutConfig(configuration(1))
	p := startPeer(t, w.store)
	const upstream, gone = 7, 5
	var members []fleet.Member
	for i := range 3 * fleet.MaxCellSize {
		members = append(members, fleet.Member{Address: fmt.Sprint("10.0.0.", i, ":1"), Zone: "a", Start: 1, Beat: 1})
	}
	p.control.DoWithoutCancel(func(now time.Time) { p.fleet.Merge(now, members) })
	relays := 0
	for _, m := range members {
		var isRelay bool
		p.control.DoWithoutCancel(func(now time.Time) { isRelay = p.fleet.IsCellRelay(now, m.Address) })
		_, err := p.TellLoads(context.Background(), connect.NewRequest(&gladegaugev1.TellLoadsRequest{
			Gateway: m.Address, Gateways: fleet.MaxCellSize,
			Loads: []*gladegaugev1.UpstreamLoad{{Upstream: upstream, Gone: gone}},
		}))
		w.is.NoErr(err)
		want := 1
		if isRelay {
			want = gone
			relays++
		}
		p.control.DoWithoutCancel(func(now time.Time) {
			w.is.Equal(p.occupancy.Zone(now)[upstream].Gone, want)
			p.occupancy.RecordMember(now, m.Address, nil)
		})
	}
	w.is.True(relays >= 3) // four cells, one of them perhaps this gateway's own
}

// A report that arrives several times counts once, and one that arrives behind a later one has an
// effect only until the next report, or until it is too old.
func TestLoadReportsRepeatedAndReordered(t *testing.T) {
	const from = "127.0.0.1:1" // no gateway
	w, peers := newLoadsEnv(t)
	at := balance.Choice{Instance: balance.Instance{ID: "i-a"}}
	relay := slices.IndexFunc(peers, func(p *testPeer) bool {
		self := false
		p.control.DoWithoutCancel(func(now time.Time) { _, self = p.fleet.Relay(now) })
		return self
	})
	w.is.True(relay >= 0)
	p := peers[relay]
	report := func(requests int) {
		req := &gladegaugev1.TellLoadsRequest{Gateway: from, Loads: encodeLoads(occupancy.Loads{xxhash.Sum64String(at.ID): {Requests: requests}})}
		_, err := p.TellLoads(context.Background(), connect.NewRequest(req))
		w.is.NoErr(err)
	}
	tests := []struct {
		name    string
		reports []int
		want    int
	}{
		{"repeated", []int{7, 7, 7}, 7},
		{"behind a later one", []int{7, 9, 7}, 7},
		{"the next one", []int{7, 9, 7, 9}, 9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(*testing.T) {
			w.await(func() bool { // again if the reports had become too old
				for _, n := range tt.reports {
					report(n)
				}
				return othersAt(p, at) == tt.want
			})
		})
	}
	w.await(func() bool { return othersAt(p, at) == 0 })
}
