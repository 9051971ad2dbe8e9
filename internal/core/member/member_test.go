package member

import (
	"testing"

	"github.com/matryer/is"

	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

func list(zone string, version uint64, ids ...string) *gladegaugev1.HostList {
	l := &gladegaugev1.HostList{Zone: zone, Version: version}
	for _, id := range ids {
		l.Hosts = append(l.Hosts, &gladegaugev1.Host{Id: id, Role: gladegaugev1.Role_ROLE_AGENT, Pool: "p", Address: "10.0.0.1:1"})
	}
	return l
}

func TestListsOnlyRise(t *testing.T) {
	tests := []struct {
		name    string
		then    *gladegaugev1.HostList
		changed bool
		agents  int
	}{
		{"newer", list("a", 6, "x", "y"), true, 2},
		{"equal", list("a", 5, "x", "y"), false, 1},
		{"older", list("a", 4, "x", "y"), false, 1},
		{"another zone", list("b", 1, "z"), true, 2},
		{"empty", list("a", 6), true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			first, _ := NewSet().With(list("a", 5, "w"))
			next, changed := first.With(tt.then)
			is.Equal(changed, tt.changed)
			is.Equal(len(next.Agents("p")), tt.agents)
			is.Equal(len(first.Agents("p")), 1) // A set is immutable.
		})
	}
}
