// Package rendezvous ranks members by rendezvous hashing (highest random weight).
//
// Every process with the same members computes the same ranking for a key, and a member
// that leaves moves only the keys that it held.
//
// # Usage
//
//	watchers := rendezvous.Top("watchers/zone-a", hosts, 2)
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of a member for a key.
func Score(key, member string) uint64 {
	return Mix(xxhash.Sum64String(key), xxhash.Sum64String(member))
}

// Mix combines two hashes into one score.
func Mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// FractionSteps is the number of different values that Fraction returns.
const FractionSteps = 1024

// Fraction maps a hash to a fraction in [0, 1), to spread simultaneous events over time.
func Fraction(hash uint64) float64 { return float64(hash%FractionSteps) / FractionSteps }

// Rank returns the members by descending score for the key.
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
