package roster

import "github.com/gladegauge/gladegauge/internal/core/balance"

// startQuorum is the number of upstreams that state their start time for each one that does
// not, from which on the latter are not used. While a pool changes from software that states
// no start time to one that does, most of its upstreams are thus used throughout.
const startQuorum = 3

// Reason is why a listed upstream gets no requests.
type Reason string

const (
	// UnknownPool is the reason if no configuration names the pool.
	UnknownPool Reason = "unknown_pool"
	// NoStartTime is the reason if the entry states no start time although those of nearly all
	// others of its pool do: another writer made it.
	NoStartTime Reason = "no_start_time"
)

// Reasons are all reasons.
var Reasons = []Reason{UnknownPool, NoStartTime}

// Unused holds the IDs of the listed upstreams that get no requests, by reason.
type Unused map[Reason][]string

// SplitUnused returns the upstreams of the list that may get requests, and the others. Named
// reports whether a configuration names the pool of an upstream.
func SplitUnused(list []balance.Instance, named func(balance.Instance) bool) ([]balance.Instance, Unused) {
	foreign := poolsThatStateStart(list)
	unused := make(Unused)
	used := make([]balance.Instance, 0, len(list))
	for _, in := range list {
		switch {
		case !named(in):
			unused[UnknownPool] = append(unused[UnknownPool], in.ID)
		case in.Born == 0 && foreign[in.Pool]:
			unused[NoStartTime] = append(unused[NoStartTime], in.ID)
		default:
			used = append(used, in)
		}
	}
	return used, unused
}

// poolsThatStateStart returns the pools of which at least startQuorum upstreams state their
// start time for each one that does not.
func poolsThatStateStart(list []balance.Instance) map[string]bool {
	stated, missing := make(map[string]int), make(map[string]int)
	for _, in := range list {
		if in.Born != 0 {
			stated[in.Pool]++
		} else {
			missing[in.Pool]++
		}
	}
	pools := make(map[string]bool)
	for pool, n := range missing {
		pools[pool] = stated[pool] >= startQuorum*n
	}
	return pools
}
