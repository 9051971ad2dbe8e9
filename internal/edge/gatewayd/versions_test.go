package gatewayd

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// Numbers of streams in one row of a test. If upstreams were chosen by chance, all of them
// would go on at the right one of two versions in less than one of a thousand tests.
const (
	// answeredStreams go on within one answer. The retry budget allows as many.
	answeredStreams = 8
	resumedStreams  = 16
	// minResumed is the minimum number of those resumed that must go on.
	minResumed = resumedStreams * 9 / 10
)

// wholeStream is the body of a complete stream.
const wholeStream = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"

// cutPath is the path of streams that break off again after they were resumed.
const cutPath = "/brief/cut"

// breaksOff sends one event of a new stream, and the rest of one that is resumed.
func breaksOff(_ int, r standin.Request) standin.Reply {
	reply := standin.Reply{Events: []string{"1", "2", "3"}}
	switch {
	case r.LastEvent == "":
		reply.CutAfter = 1
	case r.URI == cutPath:
		reply.CutAfter = 2
	}
	return reply
}

// startVersions starts and lists one upstream for each version.
func startVersions(t *testing.T, store *standin.Store, versions ...string) []*standin.Replica {
	t.Helper()
	return startVersionsFrom(t, store, 0, versions...)
}

// startVersionsFrom is startVersions with the number of the first upstream.
func startVersionsFrom(t *testing.T, store *standin.Store, first int, versions ...string) []*standin.Replica {
	t.Helper()
	var list []*standin.Replica
	for i, version := range versions {
		r := standin.NewReplica(t, fmt.Sprintf("i-%d-%s", first+i, version), breaksOff)
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

// hadBackup reports whether an upstream was told to keep a backup of the stream. Not every
// stream is worth one.
func hadBackup(replicas []*standin.Replica, attempt string) bool {
	for _, r := range replicas {
		for _, run := range r.Ran() {
			if run.ID == attempt && run.BackupAt != "" {
				return true
			}
		}
	}
	return false
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
			whole, able := 0, 0
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
				if strings.HasPrefix(ran[0], "v") && (!tt.engines || hadBackup(replicas, id)) {
					able++
					if a.Whole && a.Body == wholeStream {
						whole++
					}
				}
			}
			is.True(able > 0)
			is.True(10*whole >= 9*able) // the share that goes on
		})
	}
}
