package balance

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/ingress"
	"github.com/gladegauge/gladegauge/internal/core/notice"
	"github.com/gladegauge/gladegauge/internal/core/rollout"
)

// versionedEngines returns a table of engines, one for each version.
func versionedEngines(t *testing.T, versions ...string) *Table {
	t.Helper()
	table := enginesWith(t, 0)
	table.SetInstances(t0, versionedInstances(versions...))
	table.pools["p"].engine = &ingress.Engine{Backups: true, Moves: true, LinkMbps: 100_000, TokenBytes: 10_000}
	return table
}

func versionedInstances(versions ...string) []Instance {
	list := make([]Instance, len(versions))
	for i, version := range versions {
		list[i] = Instance{ID: fmt.Sprintf("%s-%d", version, i), Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: "a", Pool: "p", Slots: 8, Version: version}
	}
	return list
}

// A stream that has begun goes on at its version, whatever makes other upstreams look better
// and however few there are of it.
func TestPickStaysAtVersion(t *testing.T) {
	tests := []struct {
		name   string
		change func(table *Table)
		// wants is the version of the choice; empty if there is none.
		wants string
	}{
		{"all are idle", func(*Table) {}, "v1"},
		{"its upstreams are busy", func(table *Table) {
			for i := range 40 {
				_, _ = table.Pick(t0, Request{Pool: "p", Route: "long", Version: rollout.VersionOf("p", "v1"), Prompt: prompt(uint64(i), 1), Hash: uint64(i)})
			}
		}, "v1"},
		{"its upstreams fail", func(table *Table) {
			for i := range 40 {
				c, _ := table.Pick(at(i), Request{Pool: "p", Route: "long", Version: rollout.VersionOf("p", "v1"), Hash: uint64(i)})
				table.Ended(at(i), c, Broken, Answer{})
			}
		}, "v1"},
		{"one of its upstreams leaves", func(table *Table) {
			list := versionedInstances("v1", "v1", "v2", "v2")
			list[0].Leaving = true
			table.SetInstances(t0, list)
		}, "v1"},
		{"all of its upstreams leave", func(table *Table) {
			list := versionedInstances("v1", "v1", "v2", "v2")
			list[0].Leaving, list[1].Leaving = true, true
			table.SetInstances(t0, list)
		}, ""},
		{"its upstreams started again at another version", func(table *Table) {
			list := versionedInstances("v1", "v1", "v2", "v2")
			list[0].Version, list[1].Version = "v2", "v2"
			table.SetInstances(t0, list)
		}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := versionedEngines(t, "v1", "v1", "v2", "v2")
			tt.change(table)
			for i := range 20 {
				r := Request{Pool: "p", Route: "long", Version: rollout.VersionOf("p", "v1"), Prompt: prompt(uint64(i), 2), Hash: uint64(i)}
				c, ok := table.Pick(at(100+i), r)
				is.Equal(ok, tt.wants != "")
				is.True(!ok || c.Version == tt.wants)
				is.Equal(table.HasFreeSlot(at(100+i), Request{Pool: "p", Version: r.Version}), tt.wants != "" && table.HasFreeSlot(at(100+i), r))
			}
		})
	}
}

// An upstream of a version that the request avoids is used only if there is no other one.
func TestPickAvoidsVersion(t *testing.T) {
	is := is.New(t)
	table := versionedEngines(t, "v1", "v2", "v2", "v2")
	avoid := []rollout.Version{rollout.VersionOf("p", "v2")}
	for i := range 20 {
		c, ok := table.Pick(at(i), Request{Pool: "p", Route: "long", Avoid: avoid, Prompt: prompt(uint64(i), 1), Hash: uint64(i)})
		is.True(ok)
		is.Equal(c.Version, "v1")
	}
	list := versionedInstances("v1", "v2", "v2", "v2")
	list[0].Leaving = true
	table.SetInstances(t0, list)
	c, ok := table.Pick(at(30), Request{Pool: "p", Route: "long", Avoid: avoid})
	is.True(ok)
	is.Equal(c.Version, "v2")
}

// KV cache is copied between engines of one version only: prompts, and backups of runs.
func TestKVCacheStaysAtVersion(t *testing.T) {
	is := is.New(t)
	table := versionedEngines(t, "v1", "v2", "v2", "v3", "v3", "v3")
	version := make(map[string]string)
	for _, u := range table.pools["p"].members {
		version[u.Address] = u.Version
	}
	backups, copies := 0, 0
	for i := range 60 {
		r := Request{Pool: "p", Route: "long", Hash: uint64(i), Protect: true}
		r.Prompt = Prompt{Model: 1, Tokens: 4500, OutputHint: 9000, Parts: []Part{{ID: 1, Tokens: 4000}, {ID: uint64(100 + i), Tokens: 500}}}
		c, ok := table.Pick(t0, r)
		is.True(ok)
		if c.Backup.Any() {
			backups++
			is.Equal(version[c.Backup.Address], c.Version)
			r.Version = c.SoftwareVersion()
			_, ok = table.Continue(t0, r, c.Backup)
			is.True(ok)
			r.Version = rollout.VersionOf("p", "another")
			_, ok = table.Continue(t0, r, c.Backup)
			is.True(!ok)
		}
		if c.FetchFrom != "" {
			copies++
			is.Equal(version[c.FetchFrom], c.Version)
		}
		is.True(c.Version != "v1" || !c.Backup.Any()) // there is no other one
	}
	is.True(backups > 0)
	is.True(copies > 0)
}

// Turns of limited upstreams are borrowed at the version of the stream only.
func TestBorrowStaysAtVersion(t *testing.T) {
	is := is.New(t)
	table := versionedEngines(t, "v1", "v2", "v2")
	table.holds = func(time.Time, uint64, int) bool { return false }
	for _, u := range table.pools["p"].members {
		table.Notice(t0, u.Instance, notice.Notice{Limit: notice.Limit{Announced: true, PerSecond: 1}, SentAt: t0.Add(-1)})
	}
	list := table.Borrowable(at(1), Request{Pool: "p", Version: rollout.VersionOf("p", "v2")})
	is.Equal(len(list), 2)
	for _, c := range list {
		is.True(strings.HasPrefix(c.ID, "v2"))
	}
}

// If another incarnation is listed by the time of the first event, either may have sent it.
func TestVersionAt(t *testing.T) {
	chosen := versionedInstances("v1", "v1")
	tests := []struct {
		name   string
		change func(list []Instance) []Instance
		want   rollout.Version
	}{
		{"unchanged", func(list []Instance) []Instance { return list }, rollout.VersionOf("p", "v1")},
		{"gone from the list", func(list []Instance) []Instance { return list[1:] }, rollout.VersionOf("p", "v1")},
		{"started again at another version", func(list []Instance) []Instance {
			list[0].Version = "v2"
			return list
		}, rollout.Unstated},
		{"started again", func(list []Instance) []Instance {
			list[0].Born = 2
			return list
		}, rollout.Unstated},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := New("a")
			list := versionedInstances("v1", "v1")
			list[0].Born, chosen[0].Born = 1, 1
			table.SetInstances(t0, tt.change(list))
			is.New(t).Equal(table.VersionAt(Choice{Instance: chosen[0]}), tt.want)
		})
	}
}

// A caller whose stream finds no upstream of its version is told when one of that version
// accepts requests again, although others do so now.
func TestRetryAfterByVersion(t *testing.T) {
	is := is.New(t)
	table := versionedEngines(t, "v1", "v1", "v2")
	for _, u := range table.pools["p"].members {
		if u.Version == "v1" {
			table.Notice(t0, u.Instance, notice.Notice{Backoff: 2 * time.Second, SentAt: t0.Add(-1)})
		}
	}
	r := Request{Pool: "p"}
	after, _ := table.RetryAfter(at(1), r)
	is.Equal(after, time.Duration(0))
	r.Version = rollout.VersionOf("p", "v1")
	after, _ = table.RetryAfter(at(1), r)
	is.True(after > time.Second)
	r.Version = rollout.VersionOf("p", "v2")
	after, _ = table.RetryAfter(at(1), r)
	is.Equal(after, time.Duration(0))
}
