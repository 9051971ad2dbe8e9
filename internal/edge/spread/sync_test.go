package spread

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/standin/published"
)

// propagationTime is the maximum time until a change is in force everywhere.
const propagationTime = 4 * time.Second

func TestChangePropagates(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 12, "a", "b", "c")
		f.startAll()
		defer f.stopAll()
		time.Sleep(10 * time.Second)
		before := f.platform.Calls()
		time.Sleep(time.Minute)
		// Each zone has two watchers, with two watches of 20 s each and their reads of the
		// list of zones. The 30 other processes read nothing.
		is.True(f.platform.Calls()-before <= 3*2*(2*4+3))
		want := f.change()
		time.Sleep(propagationTime)
		low, high := f.revisions()
		is.Equal(low, want)
		is.Equal(high, want)
	})
}

// TestWatchersStop stops both watchers of a zone just before a change.
func TestWatchersStop(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 6, "a", "b")
		f.startAll()
		defer f.stopAll()
		time.Sleep(5 * time.Second)
		for _, n := range f.processes {
			if n.zone == "a" && n.watches() {
				f.stop(n)
				n.cancel = nil
			}
		}
		want := f.change()
		time.Sleep(propagationTime)
		low, _ := f.revisions()
		is.Equal(low, want)
	})
}

// TestWatchersLosePlatform disconnects the watchers of all zones from the platform
// permanently. The other processes still reach the platform and the watchers.
func TestWatchersLosePlatform(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 6, "a", "b")
		f.startAll()
		defer f.stopAll()
		time.Sleep(5 * time.Second)
		lost := make(map[string]bool)
		for _, n := range f.processes {
			lost[n.id] = n.watches()
		}
		f.network.setCut(func(from, to string) bool { return to == platformHost && lost[from] })
		time.Sleep(2 * time.Minute)
		for range 5 {
			want := f.change()
			time.Sleep(propagationTime)
			low, _ := f.revisions()
			is.Equal(low, want)
			time.Sleep(time.Minute)
		}
	})
}

// TestPlatformOutage counts the calls to the platform while no process reaches it.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 12, "a", "b")
		f.startAll()
		defer f.stopAll()
		time.Sleep(5 * time.Second)
		f.platform.SetFault(published.Down)
		time.Sleep(5 * time.Minute)
		before := f.platform.Calls()
		time.Sleep(time.Minute)
		calls := f.platform.Calls() - before
		t.Logf("%d calls of %d processes in a minute", calls, len(f.processes))
		// The four watchers request two values and the list of zones once a second each;
		// every other process sends about ten requests a minute.
		is.True(calls <= 4*3*120+20*10)
	})
}

// TestZonePartition partitions one zone from the others for two minutes. After the partition
// heals, one revision must be in force everywhere within 4 s.
func TestZonePartition(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 5, "a", "b", "c")
		f.startAll()
		defer f.stopAll()
		time.Sleep(5 * time.Second)
		isC := func(name string) bool {
			for _, n := range f.processes {
				if n.zone == "c" && (n.id == name || f.address(n.id) == name) {
					return true
				}
			}
			return false
		}
		f.network.setCut(func(from, to string) bool { return isC(from) != isC(to) })
		want := f.change()
		time.Sleep(2 * time.Minute)
		low, high := f.revisions()
		is.Equal(low, uint64(1))
		is.Equal(high, want)
		for _, n := range f.processes {
			is.True(n.ready()) // Both sides keep serving with their configuration.
		}
		f.network.setCut(nil)
		time.Sleep(propagationTime)
		low, high = f.revisions()
		is.Equal(low, want)
		is.Equal(high, want)
	})
}

// TestPlatformFaults starts and runs processes during faults of the platform.
func TestPlatformFaults(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		do   func(f *fleet)
		// want is the revision that is in force at the end, everywhere.
		want uint64
	}{
		{"down for half an hour", func(f *fleet) {
			f.startAll()
			time.Sleep(5 * time.Second)
			f.platform.SetFault(published.Down)
			time.Sleep(30 * time.Minute)
		}, 1},
		{"hangs, then a change", func(f *fleet) {
			f.startAll()
			time.Sleep(5 * time.Second)
			f.platform.SetFault(published.Hang)
			time.Sleep(5 * time.Minute)
			f.platform.SetFault(published.None)
			f.change()
			time.Sleep(time.Minute)
		}, 2},
		{"returns older versions", func(f *fleet) {
			f.startAll()
			time.Sleep(5 * time.Second)
			f.change()
			time.Sleep(5 * time.Second)
			f.platform.SetFault(published.Backwards)
			time.Sleep(2 * time.Minute)
		}, 2},
		{"truncates a change", func(f *fleet) {
			f.startAll()
			time.Sleep(5 * time.Second)
			f.platform.SetFault(published.Truncate)
			f.change()
			time.Sleep(10 * time.Second)
			low, high := f.revisions()
			if low != 1 || high != 1 {
				f.t.Errorf("a truncated value is in force: %d to %d", low, high)
			}
			f.platform.SetFault(published.None)
			time.Sleep(propagationTime)
		}, 2},
		{"an invalid revision while a process starts", func(f *fleet) {
			for _, n := range f.processes[1:] {
				f.start(n)
			}
			time.Sleep(5 * time.Second)
			good := f.doc.Classes[0].Tier
			f.doc.Classes[0].Tier = 9
			f.change()
			time.Sleep(5 * time.Second)
			f.start(f.processes[0])
			time.Sleep(5 * time.Second)
			f.doc.Classes[0].Tier = good
		}, 1},
		{"an invalid revision while all processes start", func(f *fleet) {
			f.change()
			good := f.doc.Classes[0].Tier
			f.doc.Classes[0].Tier = 9
			f.change()
			f.startAll()
			time.Sleep(5 * time.Second)
			f.doc.Classes[0].Tier = good
		}, 2},
		{"down while one process starts and others run", func(f *fleet) {
			for _, n := range f.processes[1:] {
				f.start(n)
			}
			time.Sleep(5 * time.Second)
			f.platform.SetFault(published.Down)
			f.start(f.processes[0], f.address(f.processes[1].id))
			time.Sleep(5 * time.Second)
		}, 1},
		{"two documents with one revision", func(f *fleet) {
			f.startAll()
			time.Sleep(5 * time.Second)
			f.change()
			time.Sleep(5 * time.Second)
			first, _ := f.processes[0].digestAndConflicts()
			f.doc.Organisations[0].Weight = 77
			f.publish()
			time.Sleep(time.Minute)
			seen := 0
			for _, n := range f.processes {
				digest, conflicts := n.digestAndConflicts()
				if digest != first {
					f.t.Errorf("%s replaced the first document", n.id)
				}
				seen += conflicts
			}
			if seen == 0 {
				f.t.Error("no process detected the conflict")
			}
			for _, n := range f.processes {
				if n.counterValue("gladegauge_configuration_conflicts_total") == 0 {
					f.t.Errorf("%s did not count the conflict", n.id)
				}
				if lines := strings.Count(n.logText(), "another document has the revision in force"); lines != 1 {
					f.t.Errorf("%s logged the conflict %d times", n.id, lines)
				}
			}
		}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 1, "a", "b")
				defer f.stopAll()
				tt.do(f)
				low, high := f.revisions()
				is.Equal(low, tt.want)
				is.Equal(high, tt.want)
				for _, n := range f.processes {
					is.True(n.ready())
				}
			})
		})
	}
}

// TestStartWithPeers starts a process while others run: it reads the lists and the manifest
// from the platform, and the shards from a peer.
func TestStartWithPeers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4, "a", "b")
		for _, n := range f.processes[1:] {
			f.start(n)
		}
		defer f.stopAll()
		// This is between two reads of the list of zones by the watchers.
		time.Sleep(5 * time.Second)
		before := f.platform.Calls()
		last := f.processes[0]
		f.start(last)
		time.Sleep(time.Second)
		is.True(last.ready())
		// The calls are for the list of zones, two host lists and the manifest, and two
		// watches if the process becomes a watcher.
		is.True(f.platform.Calls()-before <= 1+2+1+2)
	})
}

// TestNotReadyWithoutSource starts a process that reaches neither the platform nor a peer.
// It must not become ready until the platform is back.
func TestNotReadyWithoutSource(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, "a")
		f.platform.SetFault(published.Down)
		f.startAll()
		defer f.stopAll()
		time.Sleep(5 * time.Minute)
		is.True(!f.processes[0].ready())
		f.platform.SetFault(published.None)
		time.Sleep(time.Minute)
		is.True(f.processes[0].ready())
	})
}
