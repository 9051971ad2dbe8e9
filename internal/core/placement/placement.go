// Package placement decides which orders an agent gives to its own upstream.
//
// What an upstream should have loaded is a pure function of the configuration.
// Each agent compares it with what its upstream says it has, and orders the
// difference, one order at a time. Orders carry a fence that rises with the
// configuration's revision and then with the agent's incarnation, so that an
// upstream that checks fences refuses what a predecessor sent late. On one that
// does not, a late order is undone at the next comparison.
//
// The agents of a pool take turns by rank, since the weight store is
// rate-limited.
//
// # Usage
//
//	orders := placement.Orders(placement.Wanted(pool), actual)
package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/member"
	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// TurnLength is the time between the first orders of two agents of a pool
// after a change.
const TurnLength = 500 * time.Millisecond

// State is what an upstream has loaded, or should have.
type State struct {
	Version  string
	Adapters []string
	Role     string
}

// Wanted returns what every upstream of the pool should have loaded.
func Wanted(p *config.Pool) State {
	return State{Version: p.Version, Adapters: p.Adapters, Role: p.Role}
}

// Kind is the kind of an order.
type Kind string

// Kinds of order.
const (
	SetVersion    Kind = "version"
	LoadAdapter   Kind = "load-adapter"
	UnloadAdapter Kind = "unload-adapter"
	SetRole       Kind = "role"
)

// Order is one order to an upstream.
type Order struct {
	Kind Kind
	Name string
}

// Orders returns what turns the actual state into the wanted one. An empty
// version or role is left as it is. Nothing is unloaded before what replaces it
// is loaded, and the role changes last.
func Orders(wanted, actual State) []Order {
	var orders []Order
	if wanted.Version != "" && wanted.Version != actual.Version {
		orders = append(orders, Order{Kind: SetVersion, Name: wanted.Version})
	}
	for _, name := range wanted.Adapters {
		if !slices.Contains(actual.Adapters, name) {
			orders = append(orders, Order{Kind: LoadAdapter, Name: name})
		}
	}
	for _, name := range actual.Adapters {
		if !slices.Contains(wanted.Adapters, name) {
			orders = append(orders, Order{Kind: UnloadAdapter, Name: name})
		}
	}
	if wanted.Role != "" && wanted.Role != actual.Role {
		orders = append(orders, Order{Kind: SetRole, Name: wanted.Role})
	}
	return orders
}

// Fence returns the fence of orders under a revision. Fences compare as text.
func Fence(revision uint64, booted time.Time) string {
	return fmt.Sprintf("%020d-%020d", revision, booted.UnixNano())
}

// Turn returns how long after a change the agent gives its first order.
func Turn(set *member.Set, pool, self string) time.Duration {
	var ids []string
	for _, h := range set.Agents(pool) {
		ids = append(ids, h.ID)
	}
	rank := max(0, slices.Index(rendezvous.Rank("placement/"+pool, ids), self))
	return time.Duration(rank) * TurnLength
}
