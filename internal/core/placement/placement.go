// Package placement reconciles what an upstream has loaded with the configuration.
//
// The desired state of an upstream is a pure function of the configuration. Each
// agent compares it with the state that its upstream reports and issues orders for
// the difference, one at a time. Orders carry a fencing token that increases with the
// revision of the configuration and then with the incarnation of the agent, so an
// upstream that checks tokens rejects late orders of an earlier incarnation. At an
// upstream that does not check them, the next comparison reverts a late order.
//
// The agents of a pool start their orders one after another, by rank, since the
// weight store is rate-limited.
//
// # Usage
//
//	orders := placement.Orders(placement.Desired(pool), actual)
package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/member"
	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// StartInterval is the delay between the first orders of two agents of consecutive rank
// after a change.
const StartInterval = 500 * time.Millisecond

// State is the actual or desired state of an upstream.
type State struct {
	Version  string
	Adapters []string
	Role     string
}

// Desired returns the desired state of the upstreams of a pool.
func Desired(p *config.Pool) State {
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

// Order is a command to an upstream to change its state.
type Order struct {
	Kind Kind
	Name string
}

// Orders returns the orders that change the actual state into the desired one. An
// empty desired version or role leaves the actual one unchanged. Adapters are loaded
// before others are unloaded, and the role changes last.
func Orders(desired, actual State) []Order {
	var orders []Order
	if desired.Version != "" && desired.Version != actual.Version {
		orders = append(orders, Order{Kind: SetVersion, Name: desired.Version})
	}
	for _, name := range desired.Adapters {
		if !slices.Contains(actual.Adapters, name) {
			orders = append(orders, Order{Kind: LoadAdapter, Name: name})
		}
	}
	for _, name := range actual.Adapters {
		if !slices.Contains(desired.Adapters, name) {
			orders = append(orders, Order{Kind: UnloadAdapter, Name: name})
		}
	}
	if desired.Role != "" && desired.Role != actual.Role {
		orders = append(orders, Order{Kind: SetRole, Name: desired.Role})
	}
	return orders
}

// Fence returns the fencing token of orders for a revision. Tokens are ordered
// lexicographically.
func Fence(revision uint64, booted time.Time) string {
	return fmt.Sprintf("%020d-%020d", revision, booted.UnixNano())
}

// StartDelay returns the delay between a change and the first order of the agent, which
// is proportional to its rank in the pool.
func StartDelay(set *member.Set, pool, self string) time.Duration {
	var ids []string
	for _, h := range set.Agents(pool) {
		ids = append(ids, h.ID)
	}
	rank := max(0, slices.Index(rendezvous.Rank("placement/"+pool, ids), self))
	return time.Duration(rank) * StartInterval
}
