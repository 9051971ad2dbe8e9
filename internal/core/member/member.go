// Package member holds the hosts of the system: its entries and agents.
//
// The platform's lists are eventually consistent. Each availability zone has a list of
// its own with a rising version; a process keeps the highest version it has seen of each.
// A Set is immutable, and With returns the next one.
//
// # Usage
//
//	next, changed := set.With(list)
//	agents := next.Agents("judge")
package member

import (
	"cmp"
	"maps"
	"slices"

	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// Role distinguishes entries from agents.
type Role int

// Roles of a process.
const (
	Entry Role = iota + 1
	Agent
)

// Host is one process of the system.
type Host struct {
	ID      string
	Role    Role
	Address string
	Zone    string
	Pool    string
	Leaving bool
}

// zone holds the list of one availability zone.
type zone struct {
	version uint64
	hosts   []Host
	raw     *gladegaugev1.HostList
}

// Set holds the hosts of all availability zones. It is immutable.
type Set struct {
	zones   map[string]zone
	byID    map[string]Host
	pools   map[string][]Host
	entries int
}

// NewSet returns a set without hosts.
func NewSet() *Set {
	return &Set{}
}

// With returns a set that includes the list, and whether the list was newer than the one
// that the set held. An older or equal list changes nothing.
func (s *Set) With(list *gladegaugev1.HostList) (*Set, bool) {
	if held, ok := s.zones[list.GetZone()]; ok && held.version >= list.GetVersion() {
		return s, false
	}
	next := &Set{zones: maps.Clone(s.zones)}
	if next.zones == nil {
		next.zones = make(map[string]zone)
	}
	next.zones[list.GetZone()] = zone{
		version: list.GetVersion(),
		hosts:   hostsOf(list),
		raw:     list,
	}
	next.index()
	return next, true
}

func hostsOf(list *gladegaugev1.HostList) []Host {
	hosts := make([]Host, 0, len(list.GetHosts()))
	for _, h := range list.GetHosts() {
		hosts = append(hosts, Host{
			ID:      h.GetId(),
			Role:    Role(h.GetRole()),
			Address: h.GetAddress(),
			Zone:    list.GetZone(),
			Pool:    h.GetPool(),
			Leaving: h.GetLeaving(),
		})
	}
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	return hosts
}

func (s *Set) index() {
	s.byID = make(map[string]Host)
	s.pools = make(map[string][]Host)
	for _, name := range s.Zones() {
		for _, h := range s.zones[name].hosts {
			s.byID[h.ID] = h
			switch {
			case h.Role == Agent:
				s.pools[h.Pool] = append(s.pools[h.Pool], h)
			case !h.Leaving:
				s.entries++
			}
		}
	}
}

// Zones returns the names of the availability zones, sorted.
func (s *Set) Zones() []string {
	return slices.Sorted(maps.Keys(s.zones))
}

// Version returns the version of a zone's list; 0 if there is none.
func (s *Set) Version(zone string) uint64 {
	return s.zones[zone].version
}

// List returns a zone's list as it was published.
func (s *Set) List(zone string) (*gladegaugev1.HostList, bool) {
	z, ok := s.zones[zone]
	return z.raw, ok
}

// Host returns a host by identity.
func (s *Set) Host(id string) (Host, bool) {
	h, ok := s.byID[id]
	return h, ok
}

// Agents returns the agents of a pool, including leaving ones.
func (s *Set) Agents(pool string) []Host {
	return s.pools[pool]
}

// Entries returns the number of entries that are not leaving.
func (s *Set) Entries() int { return s.entries }

// All returns all hosts, sorted by zone and identity.
func (s *Set) All() []Host {
	var all []Host
	for _, name := range s.Zones() {
		all = append(all, s.zones[name].hosts...)
	}
	return all
}

// Zone returns the hosts of one availability zone.
func (s *Set) Zone(name string) []Host {
	return s.zones[name].hosts
}
