package spread

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/member"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

func set(perZone int, leaving ...string) *member.Set {
	s := member.NewSet()
	for _, zone := range []string{"a", "b", "c"} {
		l := &gladegaugev1.HostList{Zone: zone, Version: 1}
		for i := range perZone {
			h := &gladegaugev1.Host{Id: fmt.Sprint(zone, i), Role: gladegaugev1.Role_ROLE_ENTRY, Address: "10.0.0.1:1"}
			for _, id := range leaving {
				h.Leaving = h.Leaving || h.GetId() == id
			}
			l.Hosts = append(l.Hosts, h)
		}
		s, _ = s.With(l)
	}
	return s
}

func watchers(s *member.Set, zone string) []string {
	var ids []string
	for _, h := range s.Zone(zone) {
		if Watches(s, h) {
			ids = append(ids, h.ID)
		}
	}
	return ids
}

func TestWatchersFailOver(t *testing.T) {
	is := is.New(t)
	first := watchers(set(20), "a")
	is.Equal(len(first), Watchers)
	next := watchers(set(20, first[0]), "a")
	is.Equal(len(next), Watchers)
	is.True(next[0] != first[0] && next[1] != first[0])
	is.True(Watches(set(20), member.Host{ID: "unlisted", Zone: "a"}))
}

func TestPeers(t *testing.T) {
	is := is.New(t)
	s := set(20)
	self, _ := s.Host("a3")
	peers := Peers(s, self)
	is.Equal(len(peers), ZonePeers+OtherPeers)
	for i, p := range peers {
		is.True(p.ID != self.ID)
		is.Equal(p.Zone == self.Zone, i < ZonePeers)
	}
}

func TestFreshness(t *testing.T) {
	is := is.New(t)
	t0 := time.Unix(1_800_000_000, 0)
	var f Freshness
	is.True(!f.Ready()) // No confirmation yet.
	f.Confirmed(t0)
	is.True(f.Ready())
	for s := range 3600 {
		f.Tick(t0.Add(time.Duration(s) * time.Second))
	}
	is.True(f.Ready()) // The process kept running during an outage.
	is.True(f.Silent(t0.Add(time.Hour)))
	f.Tick(t0.Add(2 * time.Hour))
	is.True(!f.Ready()) // The process was paused.
	f.Confirmed(t0.Add(2 * time.Hour))
	is.True(f.Ready())
}
