// Package rendezvous ranks members by highest random weight.
//
// Every process that knows the same members gets the same ranking for a key,
// and a member that leaves moves only what it held.
//
// # Usage
//
//	watchers := rendezvous.Top("watchers/zone-a", hosts, 2)
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score is the weight of a member for a key.
func Score(key, member string) uint64 {
	return Mix(xxhash.Sum64String(key), xxhash.Sum64String(member))
}

// Mix joins two hashes into one score.
func Mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Steps is the number of values that Part may have.
const Steps = 1024

// Part is a part by a hash, from 0 up to 1: it spreads in time what would come at once.
func Part(hash uint64) float64 { return float64(hash%Steps) / Steps }

// Rank returns the members by falling score for the key.
func Rank(key string, members []string) []string {
	type scored struct {
		member string
		score  uint64
	}
	h := xxhash.Sum64String(key)
	all := make([]scored, len(members))
	for i, m := range members {
		all[i] = scored{m, Mix(h, xxhash.Sum64String(m))}
	}
	slices.SortFunc(all, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		default:
			return 0
		}
	})
	ranked := make([]string, len(all))
	for i, s := range all {
		ranked[i] = s.member
	}
	return ranked
}

// Top returns the first n members of the ranking.
func Top(key string, members []string, n int) []string {
	ranked := Rank(key, members)
	return ranked[:min(n, len(ranked))]
}
