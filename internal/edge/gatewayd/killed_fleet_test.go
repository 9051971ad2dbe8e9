package gatewayd

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lateReturn is more than twice the timeout of each route, and than the time for which the records
// of their streams are kept.
const lateReturn = 11 * time.Second

// Callers resumed streams that had broken off when all gateways were stopped at once, and got the
// rest from another software version once the gateways had run for some time.
func TestStreamJoinedAfterAllGatewaysStopped(t *testing.T) {
	both := []string{"v1", "v1", "v2", "v2"}
	tests := []struct {
		name  string
		begun []string
		// remove are the versions that leave, right before the gateways stop or while they are
		// stopped; added are those that come meanwhile.
		remove      string
		beforeStop  bool
		added       []string
		returnAfter time.Duration
	}{
		{name: "the old version serves on", begun: both, returnAfter: lateReturn},
		{name: "the old version has just left", begun: both, remove: "v1", beforeStop: true, returnAfter: lateReturn},
		{name: "the old version left meanwhile", begun: both, remove: "v1", returnAfter: lateReturn},
		{name: "the old version was replaced meanwhile", begun: []string{"v1", "v1"}, remove: "v1", added: []string{"v2", "v2"}, returnAfter: lateReturn},
		{name: "the old version was replaced meanwhile, resumed at once", begun: []string{"v1", "v1"}, remove: "v1", added: []string{"v2", "v2"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startVersionFleet(t, tt.begun)
			for i := range resumedStreams {
				begin(t, f.all[i%len(f.all)], fmt.Sprintf("s-%d", i))
			}
			if tt.beforeStop {
				f.remove(tt.remove)
				f.awaitListed(f.all[0])
			}
			n := len(f.all)
			for _, g := range f.all {
				g.stop()
			}
			f.remove(tt.remove)
			f.replicas = append(f.replicas, startVersionsFrom(t, f.store, len(f.replicas), tt.added...)...)
			f.all = nil
			for range n {
				f.startAgain()
			}
			time.Sleep(tt.returnAfter)
			for i := range resumedStreams {
				id := fmt.Sprintf("s-%d", i)
				a := resume(t, f.all[i%n], id)
				is.Equal(a.Status, 503)
				is.True(strings.Contains(a.Body, "version_unknown"))
				is.Equal(len(versionsOf(f.replicas, id)), 1) // not run again
			}
			whole := 0
			for i := range resumedStreams {
				id := fmt.Sprintf("new-%d", i)
				begin(t, f.all[i%n], id)
				a := resume(t, f.all[(i+1)%n], id)
				is.True(!isMixed(versionsOf(f.replicas, id)))
				if a.Status == 200 && a.Whole {
					whole++
				}
			}
			is.True(whole >= minResumed) // what began since goes on
		})
	}
}

// remove removes the upstreams of a version from the store.
func (f *versionFleet) remove(version string) {
	for _, r := range f.replicas {
		if r.Version == version {
			f.store.RemoveReplica(r.ID)
			f.removed[r.ID] = true
		}
	}
}
