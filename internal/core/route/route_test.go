package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/agent"
	"github.com/gladegauge/gladegauge/internal/core/member"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

var t0 = time.Unix(1_800_000_000, 0)

// hosts returns a set of agents spread over pools and three zones.
func hosts(agents, pools int) *member.Set {
	lists := map[string]*gladegaugev1.HostList{}
	for _, z := range []string{"a", "b", "c"} {
		lists[z] = &gladegaugev1.HostList{Zone: z, Version: 1}
	}
	for i := range agents {
		list := lists[string(rune('a'+i%3))]
		list.Hosts = append(list.Hosts, &gladegaugev1.Host{
			Id: fmt.Sprintf("agent-%d", i), Role: gladegaugev1.Role_ROLE_AGENT,
			Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), Pool: fmt.Sprintf("pool-%d", i%pools),
		})
	}
	set := member.NewSet()
	for _, z := range []string{"a", "b", "c"} {
		set, _ = set.With(lists[z])
	}
	return set
}

func newTable(set *member.Set, o Options) *Table {
	o.Entry, o.Zone = "entry-1", "a"
	t := New(o, rand.New(rand.NewPCG(1, 2)))
	t.SetMembers(set)
	return t
}

func load(wait time.Duration) agent.Load {
	l := agent.Load{FreeSlots: 1}
	for i := range l.Wait {
		l.Wait[i] = wait
	}
	return l
}

func TestPickPrefersShortWaits(t *testing.T) {
	is := is.New(t)
	tab := newTable(hosts(4, 1), Options{})
	for i := range 4 {
		tab.Answered(t0, fmt.Sprintf("agent-%d", i), load(time.Duration(4-i)*time.Second))
	}
	picks := tab.Pick(t0, Request{Pool: "pool-0", Tier: 1}, 2)
	is.Equal(picks[0].ID, "agent-3")
	is.Equal(picks[1].ID, "agent-2")
	picks = tab.Pick(t0, Request{Pool: "pool-0", Tier: 1, Exclude: []string{"agent-3", "agent-2", "agent-1", "agent-0"}}, 2)
	is.Equal(len(picks), 0)
}

// TestStaleLoadExpires checks that a load report expires: after a while an agent with a
// long wait is tried again.
func TestStaleLoadExpires(t *testing.T) {
	is := is.New(t)
	tab := newTable(hosts(2, 1), Options{})
	tab.Answered(t0, "agent-0", load(time.Minute))
	tab.Answered(t0, "agent-1", load(0))
	is.Equal(tab.Pick(t0, Request{Pool: "pool-0", Tier: 1}, 1)[0].ID, "agent-1")
	tab.OfferAnswered("agent-1")
	later := t0.Add(staleAfter)
	tab.Answered(later, "agent-1", load(time.Second))
	is.Equal(tab.Pick(later, Request{Pool: "pool-0", Tier: 1}, 1)[0].ID, "agent-0")
}

// TestEjection ejects failing agents for a time, but never most of the pool.
func TestEjection(t *testing.T) {
	is := is.New(t)
	tab := newTable(hosts(4, 1), Options{})
	for i := range 4 {
		for range ejectAfter {
			tab.Failed(t0, fmt.Sprintf("agent-%d", i))
		}
	}
	ejected := 0
	for _, st := range tab.States(t0, "pool-0", 1) {
		if st.Ejected {
			ejected++
		}
	}
	is.Equal(ejected, 2)
	is.Equal(len(tab.Pick(t0, Request{Pool: "pool-0", Tier: 1}, 4)), 2)
	is.Equal(len(tab.Pick(t0.Add(ejectBase), Request{Pool: "pool-0", Tier: 1}, 4)), 4)
	tab.Failed(t0.Add(ejectBase), "agent-0")
	is.Equal(len(tab.Pick(t0.Add(2*ejectBase), Request{Pool: "pool-0", Tier: 1}, 4)), 3)
	tab.Succeeded("agent-0")
	is.Equal(len(tab.Pick(t0.Add(2*ejectBase), Request{Pool: "pool-0", Tier: 1}, 4)), 4)
}

// TestLeaving checks that an agent's report that it is leaving applies at once, and that
// the membership list overrides it only after the lease.
func TestLeaving(t *testing.T) {
	is := is.New(t)
	tab := newTable(hosts(2, 1), Options{})
	tab.Answered(t0, "agent-0", agent.Load{Leaving: true})
	for range 20 {
		is.Equal(tab.Pick(t0, Request{Pool: "pool-0", Tier: 1}, 1)[0].ID, "agent-1")
	}
	is.Equal(len(tab.Pick(t0.Add(leavingLease), Request{Pool: "pool-0", Tier: 1}, 2)), 2)
}

// TestSubset checks that the subset prefers the entry's own zone, includes some of the
// others, and changes little when a host leaves.
func TestSubset(t *testing.T) {
	is := is.New(t)
	tab := newTable(hosts(300, 1), Options{})
	is.Equal(tab.Size("pool-0"), DefaultSubset)
	own := 0
	before := map[string]bool{}
	for _, st := range tab.States(t0, "pool-0", 1) {
		h, _ := tab.Host(st.ID)
		before[st.ID] = true
		if h.Zone == "a" {
			own++
		}
	}
	is.Equal(own, 10) // Two thirds of 16.
	tab.SetMembers(hosts(299, 1))
	changed := 0
	for _, st := range tab.States(t0, "pool-0", 1) {
		if !before[st.ID] {
			changed++
		}
	}
	is.True(changed <= 1)
}

// TestPrefixAffinity checks that requests with one prefix go to one agent while it has
// capacity, and elsewhere otherwise.
func TestPrefixAffinity(t *testing.T) {
	is := is.New(t)
	tab := newTable(hosts(8, 1), Options{})
	r := Request{Pool: "pool-0", Tier: 1, Prefix: 77}
	owner := tab.Pick(t0, r, 1)[0].ID
	for range 10 {
		tab.OfferAnswered(owner)
		is.Equal(tab.Pick(t0, r, 1)[0].ID, owner)
	}
	tab.Answered(t0, owner, load(10*time.Second))
	is.True(tab.Pick(t0, r, 1)[0].ID != owner)
}

func BenchmarkPick(b *testing.B) {
	for _, agents := range []int{36, 360, 3500, 14000} {
		b.Run(fmt.Sprintf("replicas=%d", agents), func(b *testing.B) {
			tab := newTable(hosts(agents, 36), Options{})
			r := Request{Pool: "pool-7", Tier: 1, Prefix: 9}
			b.ReportAllocs()
			for b.Loop() {
				for _, h := range tab.Pick(t0, r, 2) {
					tab.OfferAnswered(h.ID)
				}
			}
		})
	}
}
