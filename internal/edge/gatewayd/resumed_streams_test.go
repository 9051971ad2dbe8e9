package gatewayd

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
	"github.com/gladegauge/gladegauge/platform/standin"
)

// A stream that its caller resumes goes on at the version that began it, wherever the caller
// returns and whatever became of the gateways that sent the events before.
func TestStreamIsResumedAtAnotherVersion(t *testing.T) {
	tests := []struct {
		name string
		// versions are those of the upstreams; by default two of v1 and two of v2.
		versions []string
		// path returns the gateway of the first attempt and those of the returns, of which
		// only the last one gets the rest of the stream.
		path func(f *versionFleet) []*testPeer
		// stopped is the number of gateways of the path that stop before the last return.
		stopped int
	}{
		{name: "at the same gateway", path: func(f *versionFleet) []*testPeer { return []*testPeer{f.all[0], f.all[0]} }},
		{name: "at another gateway", path: func(f *versionFleet) []*testPeer { return []*testPeer{f.all[0], f.all[1]} }},
		{name: "at a gateway that has just started", path: func(f *versionFleet) []*testPeer { return []*testPeer{f.all[1], f.start()} }},
		{name: "after the first gateway stopped", path: func(f *versionFleet) []*testPeer { return []*testPeer{f.all[2], f.all[1]} }, stopped: 1},
		{name: "at a new gateway after the first one stopped", path: func(f *versionFleet) []*testPeer { return []*testPeer{f.all[2], f.start()} }, stopped: 1},
		{
			name:     "three versions",
			versions: []string{"v1", "v1", "v2", "v2", "v3", "v3"},
			path:     func(f *versionFleet) []*testPeer { return []*testPeer{f.all[0], f.all[1]} },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := startVersionFleet(t, tt.versions)
			path := tt.path(f)
			for i := range resumedStreams {
				a := streamOf(standin.NewCaller(t, path[0].CallersAddress()), standin.Request{ID: fmt.Sprintf("s-%d", i), URI: "/brief/1"})
				is.True(!a.Whole)
				is.Equal(a.Status, 200)
			}
			for _, g := range path[:tt.stopped] {
				g.stop()
			}
			continued := 0
			last := path[len(path)-1]
			for i := range resumedStreams {
				id := fmt.Sprintf("s-%d", i)
				a := streamOf(standin.NewCaller(t, last.CallersAddress()), standin.Request{ID: id + "-again", URI: "/brief/1", LastEvent: "1", Resumes: id})
				if ran := versionsOf(f.replicas, id); isMixed(ran) {
					t.Errorf("%s ran at %v", id, ran)
				}
				if a.Status == 200 && a.Whole {
					continued++
				}
			}
			is.True(continued >= minResumed)
		})
	}
}

// resume sends a request that resumes the stream which began with the attempt.
func resume(t *testing.T, g *testPeer, attempt string) standin.Answer {
	t.Helper()
	return streamOf(standin.NewCaller(t, g.CallersAddress()), standin.Request{ID: attempt + "-again", URI: "/brief/1", LastEvent: "1", Resumes: attempt})
}

// begin sends a request for a stream that breaks off after its first event.
func begin(t *testing.T, g *testPeer, attempt string) {
	t.Helper()
	is := is.New(t)
	a := streamOf(standin.NewCaller(t, g.CallersAddress()), standin.Request{ID: attempt, URI: "/brief/1"})
	is.Equal(a.Status, 200)
	is.True(!a.Whole)
}

// runs returns the number of requests that all upstreams ran.
func runs(replicas []*standin.Replica) int {
	n := 0
	for _, r := range replicas {
		n += len(r.Ran())
	}
	return n
}

// A gateway that cannot learn at which version a stream began refuses to resume it, truthfully
// and with a time to return, unless a single version is proven to have served.
func TestStreamOfUnknownVersionIsResumed(t *testing.T) {
	both := []string{"v1", "v1", "v2", "v2"}
	single := []string{"v1", "v1"}
	tests := []struct {
		name     string
		versions []string
		// first is true if the gateway starts as one of a system that starts for the first
		// time; peer is true if another such gateway is in its fleet.
		first, peer bool
		resumes     string
		goesOn      bool
	}{
		{name: "two versions, cut off from the gateway that began it", versions: both, first: true, resumes: "s-1"},
		{name: "two versions, nobody knows it", versions: both, first: true, peer: true, resumes: "s-1"},
		{name: "two versions, no attempt named", versions: both, first: true, peer: true},
		{name: "one version, just started and alone", versions: single, resumes: "s-1"},
		{name: "one version, just started beside another gateway", versions: single, peer: true, resumes: "s-1", goesOn: true},
		{name: "one version since the first start", versions: single, first: true, resumes: "s-1", goesOn: true},
		{name: "one version, no attempt named", versions: single, first: true, goesOn: true},
		{name: "no versions stated", versions: []string{"", ""}, resumes: "s-1", goesOn: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			store := standin.NewStore(t)
			store.PutConfig(configuration(1))
			replicas := startVersions(t, store, tt.versions...)
			w := &testEnv{t: t, is: is}
			listed := func(g *testPeer) bool {
				w.server = g.Server
				fresh := false
				g.control.DoWithoutCancel(func(now time.Time) { fresh = g.streams.IsListFresh(now) })
				return fresh && w.upstreams() == len(replicas) && w.readiness() == 200
			}
			begin(t, func() *testPeer {
				g := startPeer(t, store)
				w.await(func() bool { return listed(g) })
				return g
			}(), "s-1")
			var seeds []string
			if tt.peer {
				peer := startPeer(t, store)
				w.await(func() bool { return listed(peer) })
				seeds = append(seeds, peer.PeersAddress())
			}
			g := startPeerWith(t, store, "a", tt.first, seeds...)
			w.await(func() bool { n, _ := g.known(); return listed(g) && (!tt.peer || n == 2) })
			before := runs(replicas)
			a := streamOf(standin.NewCaller(t, g.CallersAddress()), standin.Request{ID: "again", URI: "/brief/1", LastEvent: "1", Resumes: tt.resumes})
			if tt.goesOn {
				is.Equal(a.Status, 200)
				is.True(a.Whole)
				return
			}
			is.Equal(a.Status, 503)
			is.True(strings.Contains(a.Body, "version_unknown"))
			is.True(a.RetryAfter() > 0)
			is.Equal(runs(replicas), before) // not run
		})
	}
}

// While a pool has a single version, gateways exchange nothing about its streams.
func TestSingleVersionNeedsNoExchange(t *testing.T) {
	is := is.New(t)
	f := startVersionFleet(t, []string{"v1", "v1"})
	for i := range resumedStreams {
		id := fmt.Sprintf("s-%d", i)
		begin(t, f.all[0], id)
		a := resume(t, f.all[1], id)
		is.Equal(a.Status, 200)
		is.True(a.Whole)
	}
	for _, g := range f.all {
		families, err := g.metrics.registry.Gather()
		is.NoErr(err)
		for _, call := range []string{"report_streams", "find_stream"} {
			is.Equal(valueOf(families, "gladegauge_gateway_peer_calls_total", map[string]string{"call": call, "result": "ok"}), 0.0)
		}
	}
}

// A stream that begins costs two short messages, so that a gateway at which seven a second begin
// sends less than 0.3 KB a second during a rollout.
func TestStreamReportsAreSmall(t *testing.T) {
	const maxBytesPerStream = 300 / 7
	is := is.New(t)
	f := startVersionFleet(t, []string{"v1", "v1", "v2", "v2"})
	g := f.all[0]
	for i := range resumedStreams {
		begin(t, g, fmt.Sprintf("s-%d", i))
	}
	bytes := func() float64 {
		families, err := g.metrics.registry.Gather()
		is.NoErr(err)
		sum := 0.0
		for _, direction := range []string{directionSent, directionReceived} {
			sum += valueOf(families, "gladegauge_gateway_peer_bytes_total", map[string]string{"call": "report_streams", "direction": direction})
		}
		return sum
	}
	t.Logf("%.1f bytes for each stream", bytes()/resumedStreams)
	is.True(bytes() > 0)
	is.True(bytes() <= resumedStreams*maxBytesPerStream)
}

// The versions that serve may change between the first event and the return.
func TestVersionsChangeBeforeStreamIsResumed(t *testing.T) {
	replace := func(f *versionFleet, i int, version string) {
		r := f.replicas[i]
		r.Version, r.Born = version, r.Born+1
		f.store.PutReplica(r, "app", false)
	}
	tests := []struct {
		name     string
		versions []string
		// change changes the listed upstreams after the stream began, and wants are the IDs of
		// those at which it may go on.
		change func(f *versionFleet)
		wants  []string
	}{
		{
			"a rollout begins", []string{"v1", "v1"},
			func(f *versionFleet) {
				f.replicas = append(f.replicas, startVersionsFrom(f.t, f.store, 2, "v2", "v2", "v2", "v2")...)
			},
			[]string{"i-0-v1", "i-1-v1"},
		},
		{
			"a rollout ends", []string{"v1", "v2", "v2", "v2"},
			func(f *versionFleet) { f.store.RemoveReplica("i-0-v1") },
			[]string{"i-1-v2", "i-2-v2", "i-3-v2"},
		},
		{
			"a rollout goes back", []string{"v1", "v1", "v2"},
			func(f *versionFleet) { f.store.RemoveReplica("i-2-v2") },
			[]string{"i-0-v1", "i-1-v1"},
		},
		{
			"an upstream starts again at another version", []string{"v1", "v1", "v2", "v2"},
			func(f *versionFleet) { replace(f, 0, "v3") },
			[]string{"i-1-v1", "i-2-v2", "i-3-v2"},
		},
		{
			"all upstreams start again at another version", []string{"v1", "v1"},
			func(f *versionFleet) { replace(f, 0, "v3"); replace(f, 1, "v3") },
			nil,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := startVersionFleet(t, tt.versions)
			began := make(map[string]string)
			for i := range resumedStreams {
				id := fmt.Sprintf("s-%d", i)
				begin(t, f.all[0], id)
				began[id] = versionsOf(f.replicas, id)[0]
			}
			tt.change(f)
			f.awaitListed(f.all[1])
			for id, version := range began {
				before := runsByID(f.replicas)
				a := resume(t, f.all[1], id)
				ranAt := ""
				for replica, n := range runsByID(f.replicas) {
					if n > before[replica] {
						ranAt = replica
					}
				}
				allowed := slices.ContainsFunc(tt.wants, func(id string) bool { return strings.HasSuffix(id, version) })
				is.Equal(a.Status == 200, allowed)
				is.Equal(ranAt != "", allowed)
				is.True(ranAt == "" || (slices.Contains(tt.wants, ranAt) && strings.HasSuffix(ranAt, version)))
			}
		})
	}
}

// runsByID returns the number of requests that each upstream ran.
func runsByID(replicas []*standin.Replica) map[string]int {
	n := make(map[string]int)
	for _, r := range replicas {
		n[r.ID] = len(r.Ran())
	}
	return n
}

// A caller names the attempt that brought its first event, however often it resumes the stream. All
// gateways that have sent it events may be gone by then.
func TestStreamIsResumedAgain(t *testing.T) {
	is := is.New(t)
	f := startVersionFleet(t, nil)
	first, second := f.all[2], f.all[1]
	for i := range resumedStreams {
		begin(t, first, fmt.Sprintf("s-%d", i))
	}
	f.start()
	f.stop(first)
	for i := range resumedStreams {
		id := fmt.Sprintf("s-%d", i)
		a := streamOf(standin.NewCaller(t, second.CallersAddress()), standin.Request{ID: id + "-second", URI: cutPath, LastEvent: "1", Resumes: id})
		is.Equal(a.Status, 200)
	}
	last := f.start()
	f.stop(second)
	continued := 0
	for i := range resumedStreams {
		id := fmt.Sprintf("s-%d", i)
		a := streamOf(standin.NewCaller(t, last.CallersAddress()), standin.Request{ID: id + "-third", URI: "/brief/1", LastEvent: "2", Resumes: id})
		if a.Status == 200 && a.Whole {
			continued++
		}
		if ran := versionsOf(f.replicas, id); isMixed(ran) {
			t.Errorf("%s ran at %v", id, ran)
		}
	}
	is.True(continued >= minResumed)
}

// A message with too many streams is rejected; an unstated version is dropped.
func TestInvalidStreamReports(t *testing.T) {
	is := is.New(t)
	f := startVersionFleet(t, []string{"v1", "v2"})
	g := f.all[0]
	many := &gladegaugev1.ReportStreamsRequest{Streams: []*gladegaugev1.BegunStreams{{Version: 1, Attempts: make([]uint64, maxReceivedStreams+1)}}}
	_, err := f.all[1].peer(g.PeersAddress()).ReportStreams(context.Background(), connect.NewRequest(many))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "streams.attempts"))
	unstated := &gladegaugev1.ReportStreamsRequest{Streams: []*gladegaugev1.BegunStreams{{Attempts: []uint64{7}}}}
	_, err = f.all[1].peer(g.PeersAddress()).ReportStreams(context.Background(), connect.NewRequest(unstated))
	is.NoErr(err)
	g.control.DoWithoutCancel(func(time.Time) { is.Equal(g.streams.Reported(), 0) })
}

// An upstream started again under its ID between the choice and the first event: either version
// may have sent the event, and no other upstream goes on with the stream.
func TestUpstreamReplacedBeforeFirstEvent(t *testing.T) {
	tests := []struct {
		name string
		// replace is true if the new incarnation is listed before the first event.
		replace bool
		whole   bool
	}{
		{"not replaced", false, true},
		{"replaced", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			store := standin.NewStore(t)
			store.PutConfig(configuration(1))
			arrived, release := make(chan int, 1), make(chan struct{})
			var replicas []*standin.Replica
			for i := range 2 {
				r := standin.NewReplica(t, fmt.Sprintf("i-%d", i), func(n int, req standin.Request) standin.Reply {
					reply := breaksOff(n, req)
					if req.LastEvent == "" {
						arrived <- i
						reply.Hold = release
					}
					return reply
				})
				r.Version = "v1"
				store.PutReplica(r, "app", false)
				replicas = append(replicas, r)
			}
			g := startPeerWith(t, store, "a", false)
			w := &testEnv{t: t, is: is, server: g.Server}
			w.await(func() bool { return w.upstreams() == len(replicas) && w.readiness() == 200 })
			answer := make(chan standin.Answer, 1)
			var group errgroup.Group
			group.Go(func() error {
				answer <- streamOf(standin.NewCaller(t, g.CallersAddress()), standin.Request{ID: "s", URI: "/note/1"})
				return nil
			})
			if i := <-arrived; tt.replace {
				r := replicas[i]
				r.Version = "v2"
				store.PutReplica(r, "app", false)
				store.PutConfig(configuration(2))
				w.await(func() bool { return g.version() == 2 })
			}
			close(release)
			is.Equal((<-answer).Whole, tt.whole)
			is.NoErr(group.Wait())
		})
	}
}
