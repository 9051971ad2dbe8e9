// Package spread decides who reads from the platform and who tells whom.
//
// A few watchers in each availability zone read the platform; every process
// asks a few fixed peers in turn, and tells them at once when something is
// new. Peers are chosen by rendezvous hashing, so the graph is sparse, changes
// little when hosts come and go, and needs no agreement. Nobody is set aside:
// when a watcher leaves the list, the next in rank watches.
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

// Sizes and times of the spread.
const (
	// Watchers is the number of watchers of each availability zone.
	Watchers = 2
	// ZonePeers and OtherPeers are the peers in the own zone and outside.
	ZonePeers  = 4
	OtherPeers = 2
	// ExchangeEvery is the time between two exchanges with a peer.
	ExchangeEvery = time.Second
	// SilentAfter is the time without any answer from a peer or the platform
	// after which a process reads the platform directly.
	SilentAfter = 10 * time.Second
	// ProofAfter is the age of the platform's word, as told from process to process, after
	// which a process watches the platform by itself. It is two watches, and the way
	// through a large fleet.
	ProofAfter = 45 * time.Second
	// AloneFor is how long it does so.
	AloneFor = 10 * time.Minute
	// Lease is how long a process trusts what it last confirmed after a pause.
	Lease = 10 * time.Second
)

// Watches reports whether the process is one of its zone's watchers. A process
// that is not on the list yet watches, since nobody knows it as a peer.
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

// Peers returns the processes that the given one exchanges with: some of its
// own zone and some of the others.
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

// Freshness decides whether what a process knows may be relied on.
type Freshness struct {
	confirmed time.Time
	// proved is when the platform said, to whomever, that what is known is the newest.
	proved time.Time
	// aloneUntil is until when the process watches the platform, whoever else does.
	aloneUntil time.Time
	ticked     time.Time
	stale      bool
}

// Confirmed tells that a peer or the platform answered.
func (f *Freshness) Confirmed(now time.Time) {
	f.confirmed = now
	f.ticked = now
	f.stale = false
}

// Tick lets time pass. A gap longer than the lease since the last tick means
// that the process was paused: it must ask again before it takes new work.
func (f *Freshness) Tick(now time.Time) {
	if !f.ticked.IsZero() && now.Sub(f.ticked) > Lease {
		f.stale = true
	}
	f.ticked = now
}

// Ready reports whether the process has asked since it started or woke. An
// outage that it lived through does not make it unready.
func (f *Freshness) Ready() bool {
	return !f.confirmed.IsZero() && !f.stale
}

// Proved tells that the platform said then, to whomever, that the version in force was the
// newest.
func (f *Freshness) Proved(at time.Time) {
	if at.After(f.proved) {
		f.proved = at
	}
}

// ProofAge returns the time since then; false if the platform never said so.
func (f *Freshness) ProofAge(now time.Time) (time.Duration, bool) {
	return max(0, now.Sub(f.proved)), !f.proved.IsZero()
}

// Alone reports whether the process watches the platform though it is no watcher: nobody
// that it hears of has had an answer for long. All watchers may have lost the platform at
// once, while it still answers others.
func (f *Freshness) Alone(now time.Time) bool {
	if now.Sub(f.proved) > ProofAfter {
		f.aloneUntil = now.Add(AloneFor)
	}
	return now.Before(f.aloneUntil)
}

// Silent reports whether nobody has answered for long.
func (f *Freshness) Silent(now time.Time) bool {
	return now.Sub(f.confirmed) > SilentAfter
}
