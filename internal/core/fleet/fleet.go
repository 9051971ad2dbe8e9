// Package fleet tracks what a gateway knows of the other gateways.
//
// There is no central list of gateways. Each one has a few seed addresses in its
// settings, exchanges its state with one other gateway a second (gossip), and so learns
// of all of them. A gateway whose heartbeat has not risen for a while is removed. No
// guarantee depends on this package: the state may be stale or wrong, and a gateway that
// knows no other acts alone.
//
// The gateways of a region form a tree over the rendezvous order of their addresses, with
// one branch per availability zone. The first gateway reads the platform's store, and the
// others follow their parent in the tree. There is no designated leader or standby: when
// a gateway goes, those after it in the order move up.
//
// # Usage
//
//	f := fleet.New(self)
//	f.Beat()
//	f.Merge(now, members)
//	if address, ok := f.NextPeer(now, stale, random); ok {
//		follow(address)
//	}
package fleet

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// Sizes and durations of the gossip protocol.
const (
	// ExchangeInterval is the mean interval between two exchanges that a gateway starts.
	ExchangeInterval = time.Second
	// MaxSample is the largest number of gateways in one message. Each takes about 60
	// bytes, so that two exchanges a second stay within the 4 KB/s that control traffic
	// may cost a gateway.
	MaxSample = 16
	// MaxBootstrapSample is the largest number in a message to a gateway that knows less
	// than half as many as the sender, which has just started. It receives one or two
	// such messages. The same limit applies while the fleet is still discovering its
	// members.
	MaxBootstrapSample = 128
	// discoveryRatio is the fraction of new gateways in a message above which other
	// gateways are assumed to lack as many.
	discoveryRatio = 0.08
	// discoveryPeriod is how long larger messages are sent after such a message. It is
	// two exchanges.
	discoveryPeriod = 2 * time.Second
	// FanOut is the number of gateways that follow the same parent. Their polls stay
	// within 4 KB/s, and three levels below the first reach over 500 gateways.
	FanOut = 8
	// basePeerTimeout is how long a gateway is considered alive without a new heartbeat,
	// as long as one message holds all gateways. It is several exchanges.
	basePeerTimeout = 5 * time.Second
	// retentionFactor is the multiple of the peer timeout for which the last heartbeat of
	// a gateway is retained, so that an outdated message does not revive it.
	retentionFactor = 10
	// rejoinInterval is the number of exchanges of which one goes to a gateway that is
	// not known to be alive.
	rejoinInterval = 4
	// callBackoff is how long a gateway is not called after the first failed call. It is
	// shorter than basePeerTimeout: one call may be lost although the gateway is alive.
	callBackoff = 3 * time.Second
	// maxBackoffDoublings limits how often callBackoff is doubled.
	maxBackoffDoublings = 4
	// peakSizeWindow is how long the largest size of the fleet is retained: the parts
	// of a partitioned fleet must not count themselves as the whole.
	peakSizeWindow = time.Minute
)

// Fleet is one gateway's view of all gateways. It is not safe for concurrent use.
type Fleet struct {
	self  Member
	peers map[string]*peer
	// hashes holds the hashes of the peers' addresses, and byAddress the peers sorted by
	// address; both are nil after a peer was added or removed.
	hashes    []uint64
	byAddress []*peer
	// peak is the largest size within peakSizeWindow, and peakAt is when it was recorded.
	peak   int
	peakAt time.Time
	start  start
	// zones holds the availability zones of the region, in the order in which they read
	// the store.
	zones []string
	// backoffUntil is when the store backoff of this gateway ends.
	backoffUntil time.Time
	// staleQueries counts the queries since the known state became stale; lastDraw is the
	// time of the last random draw for a query to the store.
	staleQueries int
	lastDraw     time.Time
	// discoveringUntil is when messages return to their usual size.
	discoveringUntil time.Time
	// joinedAt is when the first other gateway became known; zero before.
	joinedAt time.Time
}

// New returns a fleet that holds only this gateway.
func New(self Member) *Fleet {
	return &Fleet{self: self, peers: make(map[string]*peer)}
}

// Beat advances the heartbeat of this gateway.
func (f *Fleet) Beat() { f.self.Beat++ }

// Leave announces that this gateway accepts no new callers.
func (f *Fleet) Leave() {
	f.self.Beat++
	f.self.Leaving = true
}

// Merge adds the state that another gateway sent.
func (f *Fleet) Merge(now time.Time, members []Member) {
	before := len(f.peers)
	for _, m := range members {
		if m.Address == f.self.Address && m.Start > f.self.Start {
			// The clock was ahead at an earlier start.
			f.self.Start = m.Start + 1
		}
		if m.Address == "" || m.Address == f.self.Address {
			continue
		}
		held, ok := f.peers[m.Address]
		switch {
		case !ok:
			f.peers[m.Address] = &peer{Member: m, lastHeartbeat: now, hash: xxhash.Sum64String(m.Address)}
			f.invalidate()
		case m.newer(held.Member):
			held.Member = m
			held.lastHeartbeat = now
			held.failures = 0
		}
	}
	if float64(len(f.peers)-before) > discoveryRatio*float64(len(members)) {
		f.discoveringUntil = now.Add(discoveryPeriod)
	}
	if len(f.peers) > 0 && f.joinedAt.IsZero() {
		f.joinedAt = now
	}
	f.expire(now)
	f.Size(now)
}

// peerTimeout is how long a gateway is considered alive without a new heartbeat. It grows
// with the fleet, because a heartbeat then takes longer to reach every gateway.
func (f *Fleet) peerTimeout() time.Duration {
	return basePeerTimeout * time.Duration(1+len(f.peers)/MaxSample)
}

// expire removes the gateways whose heartbeat is older than the retention time. Until
// then the last heartbeat is retained, so that outdated state that other gateways still
// pass on does not revive them.
func (f *Fleet) expire(now time.Time) {
	peerTimeout := retentionFactor * f.peerTimeout()
	for address, p := range f.peers {
		if now.Sub(p.lastHeartbeat) > peerTimeout {
			delete(f.peers, address)
			f.invalidate()
		}
	}
}

// alive returns the other gateways that are considered alive, sorted by address.
func (f *Fleet) alive(now time.Time) []*peer { return slices.Collect(f.aliveSeq(now)) }

// aliveSeq iterates over the other gateways that are considered alive, sorted by address.
func (f *Fleet) aliveSeq(now time.Time) iter.Seq[*peer] {
	peerTimeout := f.peerTimeout()
	return func(yield func(*peer) bool) {
		for _, p := range f.sorted() {
			if now.Sub(p.lastHeartbeat) <= peerTimeout && !yield(p) {
				return
			}
		}
	}
}

// sorted returns all peers by address. The result is cached: it is requested many times a
// second and changes only when a peer is added or removed.
func (f *Fleet) sorted() []*peer {
	if f.byAddress == nil {
		f.byAddress = slices.SortedFunc(maps.Values(f.peers), func(a, b *peer) int {
			return cmp.Compare(a.Address, b.Address)
		})
	}
	return f.byAddress
}

// invalidate drops the caches that depend on the set of peers.
func (f *Fleet) invalidate() {
	f.hashes = nil
	f.byAddress = nil
}

// Known returns the number of gateways that are considered alive, including this one.
func (f *Fleet) Known(now time.Time) int {
	n := 1
	for range f.aliveSeq(now) {
		n++
	}
	return n
}

// Sample returns the members for the next message to a gateway that knows the given number
// of gateways: this gateway and a random sample of the others.
func (f *Fleet) Sample(now time.Time, known int, random uint64) []Member {
	list := f.alive(now)
	maxMembers := MaxSample
	if 2*known <= len(list) || now.Before(f.discoveringUntil) {
		maxMembers = MaxBootstrapSample
	}
	slices.SortFunc(list, func(a, b *peer) int {
		return cmp.Compare(rendezvous.Mix(random, a.hash), rendezvous.Mix(random, b.hash))
	})
	members := []Member{f.self}
	for _, p := range list[:min(len(list), maxMembers-1)] {
		members = append(members, p.Member)
	}
	return members
}

// Size returns the number of gateways among which fleet-wide limits are divided: the
// largest one within peakSizeWindow.
func (f *Fleet) Size(now time.Time) int {
	n := f.Known(now)
	if n >= f.peak || now.Sub(f.peakAt) > peakSizeWindow {
		f.peak, f.peakAt = n, now
	}
	return f.peak
}
