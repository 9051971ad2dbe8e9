package gatewayd

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// Numbers of streams in one row of a test. If upstreams were chosen by chance, all of them
// would go on at the right one of two versions in less than one of a thousand tests.
const (
	// answeredStreams go on within one answer. The retry budget allows as many.
	answeredStreams = 8
	takenUpStreams  = 16
	// minTakenUp is the minimum number of those taken up that must go on.
	minTakenUp = takenUpStreams * 9 / 10
)

// wholeStream is the body of a complete stream.
const wholeStream = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"

// breaksOff sends one event of a new stream, and the rest of one that is resumed.
func breaksOff(_ int, r standin.Request) standin.Reply {
	reply := standin.Reply{Events: []string{"1", "2", "3"}}
	if r.LastEvent == "" {
		reply.CutAfter = 1
	}
	return reply
}

// startVersions starts and lists one upstream for each version.
func startVersions(t *testing.T, store *standin.Store, versions ...string) []*standin.Replica {
	t.Helper()
	var list []*standin.Replica
	for i, version := range versions {
		r := standin.NewReplica(t, fmt.Sprintf("i-%d-%s", i, version), breaksOff)
		r.Version = version
		store.PutReplica(r, "app", false)
		list = append(list, r)
	}
	return list
}

// versionsOf returns the versions of the upstreams that ran the stream which began with the
// attempt, with one entry for each run. Upstreams without a version are told apart.
func versionsOf(replicas []*standin.Replica, attempt string) []string {
	var versions []string
	for _, r := range replicas {
		version := r.Version
		if version == "" {
			version = "none at " + r.ID
		}
		for _, run := range r.Ran() {
			if run.ID == attempt || run.Resumes == attempt {
				versions = append(versions, version)
			}
		}
	}
	return versions
}

// isMixed reports whether a stream holds events of several versions.
func isMixed(versions []string) bool {
	for _, v := range versions {
		if v != versions[0] {
			return true
		}
	}
	return false
}

// streamOf sends a request for a stream.
func streamOf(c *standin.Caller, r standin.Request) standin.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	r.Host, r.Key, r.Body, r.DeadlineMs = "x.example", "key-a", "hello", 1900
	return c.Call(ctx, r)
}

// After an upstream broke off in the middle of a stream, the gateway goes on at an upstream of
// the same software version, as what two versions write does not fit together.
func TestStreamGoesOnAtAnotherVersion(t *testing.T) {
	tests := []struct {
		name     string
		versions []string
		uri      string
		// engines makes the pool one of engines, which keep backups of streams that may run
		// only once.
		engines bool
	}{
		{"two versions", []string{"v1", "v1", "v2", "v2"}, "/note/1", false},
		{"three versions", []string{"v1", "v1", "v2", "v2", "v3", "v3"}, "/note/1", false},
		{"versions not stated by some", []string{"v1", "v1", "", ""}, "/note/1", false},
		{"from a backup", []string{"v1", "v1", "v2", "v2"}, "/chat/1", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			store := standin.NewStore(t)
			cfg := configuration(1)
			cfg.Engines = tt.engines
			store.PutConfig(cfg)
			replicas := startVersions(t, store, tt.versions...)
			g := startPeer(t, store)
			w := &testEnv{t: t, is: is, server: g.Server}
			w.await(func() bool { return w.upstreams() == len(replicas) && w.readiness() == 200 })
			caller := standin.NewCaller(t, g.CallersAddress())
			whole, stated := 0, 0
			for i := range answeredStreams {
				id := fmt.Sprintf("s-%d", i)
				r := standin.Request{ID: id, URI: tt.uri}
				if tt.engines {
					r.Tokens, r.PromptParts = "300,400", "5c1e:200,91bd:100"
				}
				a := streamOf(caller, r)
				ran := versionsOf(replicas, id)
				if isMixed(ran) {
					t.Errorf("%s ran at %v", id, ran)
				}
				if strings.HasPrefix(ran[0], "v") {
					stated++
					if a.Whole && a.Body == wholeStream {
						whole++
					}
				}
			}
			is.True(10*whole >= 9*stated) // the share that goes on
		})
	}
}

// A stream that its caller takes up goes on at the version that began it, wherever the caller
// returns and whatever became of the gateways that sent the events before.
func TestStreamIsTakenUpAtAnotherVersion(t *testing.T) {
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
			for i := range takenUpStreams {
				a := streamOf(standin.NewCaller(t, path[0].CallersAddress()), standin.Request{ID: fmt.Sprintf("s-%d", i), URI: "/brief/1"})
				is.True(!a.Whole)
				is.Equal(a.Status, 200)
			}
			for _, g := range path[:tt.stopped] {
				g.stop()
			}
			goneOn := 0
			last := path[len(path)-1]
			for i := range takenUpStreams {
				id := fmt.Sprintf("s-%d", i)
				a := streamOf(standin.NewCaller(t, last.CallersAddress()), standin.Request{ID: id + "-again", URI: "/brief/1", LastEvent: "1", Resumes: id})
				if ran := versionsOf(f.replicas, id); isMixed(ran) {
					t.Errorf("%s ran at %v", id, ran)
				}
				if a.Status == 200 && a.Whole {
					goneOn++
				}
			}
			is.True(goneOn >= minTakenUp)
		})
	}
}

// versionFleet is three gateways before upstreams of several versions.
type versionFleet struct {
	t        *testing.T
	store    *standin.Store
	replicas []*standin.Replica
	all      []*testPeer
}

// startVersionFleet starts the gateways and upstreams, and waits until all know each other.
func startVersionFleet(t *testing.T, versions []string) *versionFleet {
	t.Helper()
	if versions == nil {
		versions = []string{"v1", "v1", "v2", "v2"}
	}
	f := &versionFleet{t: t, store: standin.NewStore(t)}
	f.store.PutConfig(configuration(1))
	f.replicas = startVersions(t, f.store, versions...)
	for range 3 {
		f.start()
	}
	return f
}

// start starts another gateway and waits until all know it.
func (f *versionFleet) start() *testPeer {
	f.t.Helper()
	var seeds []string
	if len(f.all) > 0 {
		seeds = append(seeds, f.all[0].PeersAddress())
	}
	g := startPeer(f.t, f.store, seeds...)
	f.all = append(f.all, g)
	w := &testEnv{t: f.t, is: is.New(f.t)}
	w.await(func() bool {
		for _, g := range f.all {
			listed := 0
			g.control.DoWithoutCancel(func(time.Time) { listed = g.table.Size("app") })
			if n, _ := g.known(); n < len(f.all) || listed != len(f.replicas) {
				return false
			}
		}
		return true
	})
	w.server = g.Server
	w.await(func() bool { return w.readiness() == 200 })
	return g
}
