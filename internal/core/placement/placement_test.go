package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/member"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

func TestOrders(t *testing.T) {
	tests := []struct {
		name            string
		desired, actual State
		want            []Order
	}{
		{"no difference", State{Version: "2", Adapters: []string{"a"}}, State{Version: "2", Adapters: []string{"a"}}, nil},
		{"no desired version", State{}, State{Version: "7"}, nil},
		{"version", State{Version: "2"}, State{Version: "1"}, []Order{{SetVersion, "2"}}},
		{"role last", State{Version: "2", Role: "decode"}, State{Version: "1", Role: "mixed"}, []Order{{SetVersion, "2"}, {SetRole, "decode"}}},
		{"adapter loaded before unload", State{Adapters: []string{"new"}}, State{Adapters: []string{"old"}}, []Order{{LoadAdapter, "new"}, {UnloadAdapter, "old"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Orders(tt.desired, tt.actual), tt.want)
		})
	}
}

func TestFencesIncrease(t *testing.T) {
	is := is.New(t)
	t0 := time.Unix(1_800_000_000, 0)
	is.True(Fence(2, t0) > Fence(1, t0.Add(time.Hour)))
	is.True(Fence(2, t0.Add(1)) > Fence(2, t0))
	is.True(Fence(10, t0) > Fence(9, t0))
}

func TestStartDelaysDiffer(t *testing.T) {
	is := is.New(t)
	list := &gladegaugev1.HostList{Zone: "a", Version: 1}
	for _, id := range []string{"x", "y", "z"} {
		list.Hosts = append(list.Hosts, &gladegaugev1.Host{Id: id, Role: gladegaugev1.Role_ROLE_AGENT, Pool: "p"})
	}
	set, _ := member.NewSet().With(list)
	seen := map[time.Duration]bool{}
	for _, id := range []string{"x", "y", "z"} {
		seen[StartDelay(set, "p", id)] = true
	}
	is.Equal(seen, map[time.Duration]bool{0: true, StartInterval: true, 2 * StartInterval: true})
}
