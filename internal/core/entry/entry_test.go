package entry

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/agent"
	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/dispatch"
	"github.com/gladegauge/gladegauge/internal/core/member"
	"github.com/gladegauge/gladegauge/internal/core/route"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

var t0 = time.Unix(1_800_000_000, 0)

func newEntry(t *testing.T, agents ...string) *Entry {
	t.Helper()
	cfg, faults := config.New(&gladegaugev1.Configuration{
		Revision: 1,
		Classes: []*gladegaugev1.Class{
			{Name: "ruling", Tier: 1, Repeatable: true, FirstTokenMs: 1000},
			{Name: "report", Tier: 5, CompletionMs: 1000, Organisations: []string{"hall"}},
		},
		Pools:         []*gladegaugev1.Pool{{Name: "p", Kind: gladegaugev1.PoolKind_POOL_KIND_MODEL, Model: "m", Slots: 1, Classes: []string{"ruling", "report"}}},
		Organisations: []*gladegaugev1.Organisation{{Name: "hall", RatePerSecond: 2, Burst: 2}, {Name: "club"}},
	})
	if cfg == nil {
		t.Fatal(faults)
	}
	e := New(Options{Route: route.Options{Entry: "e", Zone: "a"}}, cfg, rand.New(rand.NewPCG(1, 1)))
	list := &gladegaugev1.HostList{Zone: "a", Version: 1, Hosts: []*gladegaugev1.Host{{Id: "e", Role: gladegaugev1.Role_ROLE_ENTRY}}}
	for _, id := range agents {
		list.Hosts = append(list.Hosts, &gladegaugev1.Host{Id: id, Role: gladegaugev1.Role_ROLE_AGENT, Pool: "p"})
	}
	set, _ := member.NewSet().With(list)
	e.SetMembers(set)
	return e
}

func (e *Entry) callOf(organisation, class string) Call {
	o, _ := e.cfg.Organisation(organisation)
	c, _ := e.cfg.Class(class)
	p, _ := e.cfg.Pool("p")
	return Call{Organisation: o, Class: c, Pool: p}
}

func TestAdmit(t *testing.T) {
	is := is.New(t)
	e := newEntry(t, "a1", "a2")
	for range 2 {
		_, rejection := e.Admit(t0, e.callOf("hall", "ruling"))
		is.True(rejection == nil)
	}
	_, rejection := e.Admit(t0, e.callOf("hall", "ruling"))
	is.True(rejection.Limited)
	is.Equal(rejection.RetryAfter, 500*time.Millisecond)

	ticket, _ := e.Admit(t0, e.callOf("club", "ruling"))
	e.Finished(t0, ticket, "", dispatch.Outcome{Result: dispatch.NotRun, Reason: agent.Overload, RetryAfter: time.Second})
	_, rejection = e.Admit(t0, e.callOf("club", "ruling"))
	is.True(!rejection.Limited)
	is.Equal(rejection.RetryAfter, time.Second)
	e.Finished(t0, ticket, "a1", dispatch.Outcome{Result: dispatch.Completed})
	_, rejection = e.Admit(t0, e.callOf("club", "ruling"))
	is.True(rejection == nil)
}

func TestExplain(t *testing.T) {
	tests := []struct {
		name, class, organisation string
		prepare                   func(e *Entry)
		decision, reason          string
	}{
		{"offered", "ruling", "club", func(*Entry) {}, "offered", "within the target"},
		{"unknown class", "vip", "", func(*Entry) {}, "rejected", "no class"},
		{"class not open to the organisation", "report", "club", func(*Entry) {}, "rejected", "not open"},
		{"all agents are leaving", "ruling", "", func(e *Entry) {
			e.RecordReport(t0, "a1", agent.Load{Leaving: true})
			e.RecordReport(t0, "a2", agent.Load{Leaving: true})
		}, "refused", "none of 2"},
		{"expected wait above the target", "ruling", "", func(e *Entry) {
			for _, id := range []string{"a1", "a2"} {
				e.RecordReport(t0, id, agent.Load{Wait: [config.Tiers]time.Duration{time.Minute}})
			}
		}, "likely refused by the agents", "above the target"},
		{"gate", "ruling", "club", func(e *Entry) {
			ticket, _ := e.Admit(t0, e.callOf("club", "ruling"))
			e.Finished(t0, ticket, "", dispatch.Outcome{Result: dispatch.NotRun, Reason: agent.Overload, RetryAfter: time.Second})
		}, "refused at the entry", "come back in 1s"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newEntry(t, "a1", "a2")
			tt.prepare(e)
			x := e.Explain(t0, tt.class, tt.organisation)
			is.Equal(x.Decision, tt.decision)
			is.True(strings.Contains(strings.Join(x.Reasons, "\n"), tt.reason))
		})
	}
}
