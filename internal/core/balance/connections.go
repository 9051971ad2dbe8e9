package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// With tens of gateways in front of tens of engines, each pair meets every few seconds, and
// an idle connection rarely lives until the next request: 29 gateways in front of 53 engines
// opened 0.42 connections per request. Upstreams with an idle connection are preferred by
// three rules: a cost, a part of the sample, and the choice of a home among several. Each
// gateway has connections to different upstreams, so that the preference does not make
// gateways choose alike.

const (
	// connectCost is the cost of opening a connection, in milliseconds: a handshake at the
	// upstream and a round trip between availability zones, each about one, and the work at
	// both ends. It is far below the cost of a wait.
	connectCost = 5.0
	// connectedHomes is the number of engines, from the beginning of the rendezvous order,
	// of which the first one with an idle connection is the home of a prompt. An engine that
	// is not the first in the order copies the shared parts from it.
	connectedHomes = 6
	// maxSharedReadMs is the time that an engine takes to read the shared parts of a prompt,
	// in milliseconds, up to which a prompt has several homes: twice the cost of a
	// connection, as the parts are mostly copied instead of read.
	maxSharedReadMs = 2 * connectCost
	// connectedDivisor divides the size of a sample to get the number of upstreams that are
	// drawn from those with an idle connection. The size of the sample, which prevents
	// herding, stays the same.
	connectedDivisor = 2
	// maxConnectedScan is the number of upstreams that are asked for an idle connection at
	// each choice, which bounds the cost of a choice among thousands.
	maxConnectedScan = 256
)

// SetConnected sets the function that reports whether this gateway has an idle connection to
// an address. Nil means that this is unknown, and no upstream is preferred.
func (t *Table) SetConnected(f func(now time.Time, address string) bool) { t.connected = f }

// prefersConnected reports whether upstreams of the pool to which this gateway has an idle
// connection are preferred. Only pools of engines with a stated connection limit have that
// preference: a plain service has few replicas, to which gateways have connections anyway, and
// a gateway with few calls would keep all of them at one replica.
func (t *Table) prefersConnected(p *pool) bool {
	return t.connected != nil && p.engine != nil && p.maxConnections > 0
}

// connectCost is the cost of the connection that a request to the upstream would open; 0 if
// an idle one can be used.
func (t *Table) connectCost(now time.Time, p *pool, u *upstream) float64 {
	if !t.prefersConnected(p) || t.connected(now, u.Address) {
		return 0
	}
	return connectCost
}

// home returns the upstream to which this gateway sends the prompt's deepest shared part, or
// nil. That is the first in the rendezvous order. If the shared parts are short and the
// engines copy cached parts from one another, it is one of the next with an idle connection if
// the first has none.
func (t *Table) home(now time.Time, p *pool, candidates []*upstream, prompt Prompt, keys []uint64) *upstream {
	shared := prompt.Shared()
	if len(shared) == 0 || !t.prefersConnected(p) || !p.copiesCache() || !p.quickToRead(shared) {
		return homeOf(candidates, prompt, keys)
	}
	homes := firstHomes(candidates, keys[len(shared)-1], connectedHomes)
	for _, u := range homes {
		if t.connected(now, u.Address) {
			return u
		}
	}
	if len(homes) == 0 {
		return nil
	}
	return homes[0]
}

// quickToRead reports whether reading the shared parts takes so little of an engine's time
// that a connection may be worth more. Long parts would otherwise be read or copied at
// several engines: the KV cache copied rose by a third.
func (p *pool) quickToRead(shared []Part) bool {
	tokens := 0
	for _, part := range shared {
		tokens += part.Tokens
	}
	return float64(tokens)/p.speed.tokensPerMs() <= maxSharedReadMs
}

// firstHomes returns the first n upstreams in the rendezvous order of the key.
func firstHomes(candidates []*upstream, key uint64, n int) []*upstream {
	type scored struct {
		*upstream
		score uint64
	}
	first := make([]scored, 0, n+1)
	for _, u := range candidates {
		score := rendezvous.Mix(key, u.hash)
		if len(first) == n && score <= first[n-1].score {
			continue
		}
		at, _ := slices.BinarySearchFunc(first, score, func(s scored, score uint64) int { return cmp.Compare(score, s.score) })
		first = slices.Insert(first, at, scored{u, score})
		first = first[:min(len(first), n)]
	}
	homes := make([]*upstream, len(first))
	for i, s := range first {
		homes[i] = s.upstream
	}
	return homes
}

// window returns maxConnectedScan upstreams of the list in a row, from a place drawn by the
// hash, or the whole list if it is shorter.
func window(list []*upstream, hash uint64) []*upstream {
	if len(list) <= maxConnectedScan {
		return list
	}
	from := rendezvous.Mix(hash, maxConnectedScan) % uint64(len(list)-maxConnectedScan+1)
	return list[from : from+maxConnectedScan]
}

// sampledConnected draws the part of a sample of n that has idle connections, by the hash of
// the request.
func (t *Table) sampledConnected(now time.Time, p *pool, list []*upstream, n int, hash uint64) []*upstream {
	if !t.prefersConnected(p) {
		return nil
	}
	var connected []*upstream
	for _, u := range window(list, hash) {
		if t.connected(now, u.Address) {
			connected = append(connected, u)
		}
	}
	sampled := make([]*upstream, min((n+connectedDivisor-1)/connectedDivisor, len(connected)))
	for i := range sampled {
		// The draws differ from those of the rest of the sample, which have lower numbers.
		sampled[i] = connected[rendezvous.Mix(hash, uint64(n+i))%uint64(len(connected))]
	}
	return sampled
}
