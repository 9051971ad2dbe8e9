// Package spread selects the processes that read from the platform and the peers that
// exchange what they know.
//
// A few watchers in each availability zone read the platform. Every process polls a few
// fixed peers in turn, and notifies them at once of anything new. Peers are chosen by
// rendezvous hashing, so the graph is sparse, changes little when hosts join or leave, and
// needs no coordination. When a watcher leaves the list, the next in rank takes over.
//
// # Usage
//
//	if spread.Watches(set, self) {
//		watchThePlatform()
//	}
//	peers := spread.Peers(set, self)
package spread

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/member"
	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// Sizes and intervals of dissemination.
const (
	// Watchers is the number of watchers in each availability zone.
	Watchers = 2
	// ZonePeers and OtherPeers are the numbers of peers inside and outside the process's
	// own zone.
	ZonePeers  = 4
	OtherPeers = 2
	// ExchangeInterval is the time between two exchanges with a peer.
	ExchangeInterval = time.Second
	// SilentAfter is the time without a response from any peer or the platform after which
	// a process reads the platform directly.
	SilentAfter = 10 * time.Second
	// MaxProofAge is the age of the platform's latest confirmation, as relayed between
	// processes, from which a process watches the platform itself: two watch intervals plus
	// the propagation time in a large fleet.
	MaxProofAge = 45 * time.Second
	// DirectWatchPeriod is how long it then watches the platform.
	DirectWatchPeriod = 10 * time.Minute
	// Lease is the longest pause after which a process still trusts its last confirmation.
	Lease = 10 * time.Second
)

// Watches reports whether the process is one of its zone's watchers. A process that is not
// on the list yet watches too, since no other process has it as a peer.
func Watches(set *member.Set, self member.Host) bool {
	live, listed := liveIDs(set.Zone(self.Zone), self.ID)
	if !listed {
		return true
	}
	for _, id := range rendezvous.Top("watchers/"+self.Zone, live, Watchers) {
		if id == self.ID {
			return true
		}
	}
	return false
}

func liveIDs(hosts []member.Host, self string) (ids []string, listed bool) {
	for _, h := range hosts {
		if h.ID == self {
			listed = true
		}
		if !h.Leaving {
			ids = append(ids, h.ID)
		}
	}
	return ids, listed
}

// Peers returns the processes that the given one exchanges with: some in its own zone and
// some in others.
func Peers(set *member.Set, self member.Host) []member.Host {
	var own, others []string
	for _, h := range set.All() {
		switch {
		case h.ID == self.ID || h.Leaving:
		case h.Zone == self.Zone:
			own = append(own, h.ID)
		default:
			others = append(others, h.ID)
		}
	}
	ids := rendezvous.Top("peers/"+self.ID, own, ZonePeers)
	ids = append(ids, rendezvous.Top("peers/"+self.ID, others, OtherPeers)...)
	peers := make([]member.Host, 0, len(ids))
	for _, id := range ids {
		if h, ok := set.Host(id); ok {
			peers = append(peers, h)
		}
	}
	return peers
}

// Freshness tracks whether the knowledge of a process is recent enough to be used.
type Freshness struct {
	confirmedAt time.Time
	// provenAt is the latest time at which the platform confirmed to any process that the
	// known version is the newest.
	provenAt time.Time
	// directUntil is until when the process watches the platform although it is no watcher.
	directUntil time.Time
	lastTick    time.Time
	paused      bool
}

// Confirmed records a response of a peer or the platform.
func (f *Freshness) Confirmed(now time.Time) {
	f.confirmedAt = now
	f.lastTick = now
	f.paused = false
}

// Tick records that the process is running. A gap longer than the lease since the last tick
// means that the process was paused: it must get a new confirmation before it accepts new
// work.
func (f *Freshness) Tick(now time.Time) {
	if !f.lastTick.IsZero() && now.Sub(f.lastTick) > Lease {
		f.paused = true
	}
	f.lastTick = now
}

// Ready reports whether the process has been confirmed since it started or resumed. An
// outage of the others while it kept running does not make it unready.
func (f *Freshness) Ready() bool {
	return !f.confirmedAt.IsZero() && !f.paused
}

// Proved records that the platform confirmed at that time, to any process, that the version
// in force was the newest.
func (f *Freshness) Proved(at time.Time) {
	if at.After(f.provenAt) {
		f.provenAt = at
	}
}

// ProofAge returns the time since the latest such confirmation; false if there was none.
func (f *Freshness) ProofAge(now time.Time) (time.Duration, bool) {
	return max(0, now.Sub(f.provenAt)), !f.provenAt.IsZero()
}

// WatchesDirectly reports whether the process watches the platform although it is no
// watcher, because no process that it exchanges with has had a response for long. All
// watchers may have lost the platform at the same time while it still serves others.
func (f *Freshness) WatchesDirectly(now time.Time) bool {
	if now.Sub(f.provenAt) > MaxProofAge {
		f.directUntil = now.Add(DirectWatchPeriod)
	}
	return now.Before(f.directUntil)
}

// Silent reports whether there has been no response for longer than SilentAfter.
func (f *Freshness) Silent(now time.Time) bool {
	return now.Sub(f.confirmedAt) > SilentAfter
}
