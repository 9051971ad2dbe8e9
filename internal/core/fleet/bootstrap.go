package fleet

import (
	"slices"
	"time"
)

// Load limit: when many gateways start at once and know no other, each considers itself
// the first of its availability zone and reads the store: 103 gateways made 1,000 calls
// in four seconds, as many as in ten minutes of normal operation.
//
// Therefore only the seeds read the store, and every other gateway queries them until it
// has discovered the fleet. When the whole fleet starts for the first time, there is no
// traffic yet, and each gateway waits for a random time until a seed has the state; seeds
// may be stale or down. After a restart callers are waiting: a gateway that gets no
// immediate answer reads the store itself.

const (
	// bootstrapPeriod is how long after its start a gateway does not consider itself the
	// first of its availability zone. Two exchanges with the seeds take a second.
	bootstrapPeriod = 3 * time.Second
	// minInitialWait and maxInitialWait bound how long a starting gateway waits for
	// others to read the store. A seed starts at the same time and needs about 0.2 s; the
	// longest wait is short compared with the start itself.
	minInitialWait = 400 * time.Millisecond
	maxInitialWait = 1600 * time.Millisecond
)

// start is the state of this gateway's own start.
type start struct {
	at time.Time
	// seeds holds the seed addresses from the settings, without its own.
	seeds []string
	// readsStore is true if the gateway reads the store right from its start, because it
	// is a seed or has none.
	readsStore bool
	// readDeadline is when the gateway reads the store if no other has answered.
	readDeadline time.Time
}

// Started records the start of the gateway and the seeds from its settings. If the whole
// fleet starts for the first time, the gateway waits for others for a random time.
func (f *Fleet) Started(now time.Time, seeds []string, first bool, random uint64) {
	f.start = start{at: now, readDeadline: now}
	for _, address := range seeds {
		if address != f.self.Address {
			f.start.seeds = append(f.start.seeds, address)
		}
	}
	f.start.readsStore = len(seeds) == 0 || len(f.start.seeds) < len(seeds)
	if first && !f.start.readsStore {
		f.start.readDeadline = now.Add(minInitialWait + time.Duration(random%uint64(maxInitialWait-minInitialWait)))
	}
}

// DefersStoreRead reports whether the gateway, which has no state of the store yet, still
// leaves reading it to others.
func (f *Fleet) DefersStoreRead(now time.Time) bool { return now.Before(f.start.readDeadline) }

// queriesSeedFirst reports whether a gateway that has just read the whole state, but has
// no proof that it is current, queries a seed for the proof before the store. When all
// gateways start at once, each considers itself the first of its zone.
func (f *Fleet) queriesSeedFirst(now time.Time) bool {
	starts := !f.start.at.IsZero() && now.Sub(f.start.at) <= bootstrapPeriod
	return starts && !f.start.readsStore && f.staleQueries == 1
}

// Source returns the gateway to follow, selected at random where several qualify; false
// if this gateway reads the store itself.
func (f *Fleet) Source(now time.Time, random uint64) (string, bool) {
	if f.Backoff(now) > 0 {
		return f.randomReader(now, random)
	}
	if f.start.at.IsZero() || now.Sub(f.start.at) > bootstrapPeriod {
		return f.Parent(now)
	}
	if f.start.readsStore {
		return "", false
	}
	if parent, ok := f.Parent(now); ok {
		return parent, true
	}
	list := slices.DeleteFunc(slices.Clone(f.start.seeds), func(address string) bool {
		p, ok := f.peers[address]
		return ok && (p.Leaving || now.Before(p.downUntil))
	})
	if len(list) == 0 {
		return "", false
	}
	return list[random%uint64(len(list))], true
}
