package fleet

import (
	"slices"
	"time"
)

// The load that this answers: many gateways start at once and know nobody, so that
// each takes itself for the first of its availability zone and reads the store: 103
// gateways made 1,000 calls in four seconds, as many as in ten minutes of calm.
//
// So the seeds read the store, and everybody else asks them until it has heard of the
// fleet. When the whole fleet starts for the first time, nobody is served yet, and a
// gateway waits for a moment of its own until a seed knows something; seeds may be
// stale or down. After a restart callers wait: a gateway that gets no answer at once
// reads the store itself.

const (
	// introducedAfter is how long after its start a gateway does not take itself for
	// the first of its availability zone. Two swaps with the seeds take a second.
	introducedAfter = 3 * time.Second
	// waitLeast and waitMost bound how long a gateway that starts waits for others to
	// read the store. A seed starts at the same time and needs about 0.2 s; what the
	// longest wait adds to a start is little beside a start itself.
	waitLeast = 400 * time.Millisecond
	waitMost  = 1600 * time.Millisecond
)

// start is what a gateway knows of its own start.
type start struct {
	at time.Time
	// seeds are the addresses from the settings, without its own.
	seeds []string
	// reads is true if it reads the store from its start on: others know it from
	// their settings, or it knows nobody.
	reads bool
	// aloneAt is when it reads the store if nobody has told it anything.
	aloneAt time.Time
}

// Started notes the start of the gateway and the addresses from its settings. If the
// whole fleet starts for the first time, the roll of a dice says how long it waits for
// others.
func (f *Fleet) Started(now time.Time, seeds []string, first bool, roll uint64) {
	f.start = start{at: now, aloneAt: now}
	for _, address := range seeds {
		if address != f.self.Address {
			f.start.seeds = append(f.start.seeds, address)
		}
	}
	f.start.reads = len(seeds) == 0 || len(f.start.seeds) < len(seeds)
	if first && !f.start.reads {
		f.start.aloneAt = now.Add(waitLeast + time.Duration(roll%uint64(waitMost-waitLeast)))
	}
}

// WaitsForOthers reports whether the gateway, which knows nothing of the store yet,
// leaves the reading to others.
func (f *Fleet) WaitsForOthers(now time.Time) bool { return now.Before(f.start.aloneAt) }

// asksSeedFirst reports whether a gateway that has just read everything, and lacks the
// proof that it is the newest, asks a seed for it before it asks the store: where all
// start at once, each takes itself for the first of its zone.
func (f *Fleet) asksSeedFirst(now time.Time) bool {
	starts := !f.start.at.IsZero() && now.Sub(f.start.at) <= introducedAfter
	return starts && !f.start.reads && f.lateTurn == 1
}

// Source returns the gateway to follow, chosen by the roll of a dice where there is a
// choice; false if this one reads the store itself.
func (f *Fleet) Source(now time.Time, roll uint64) (string, bool) {
	if f.Backoff(now) > 0 {
		return f.anyReader(now, roll)
	}
	if f.start.at.IsZero() || now.Sub(f.start.at) > introducedAfter {
		return f.Parent(now)
	}
	if f.start.reads {
		return "", false
	}
	if parent, ok := f.Parent(now); ok {
		return parent, true
	}
	list := slices.DeleteFunc(slices.Clone(f.start.seeds), func(address string) bool {
		h, ok := f.others[address]
		return ok && (h.Leaving || now.Before(h.downUntil))
	})
	if len(list) == 0 {
		return "", false
	}
	return list[roll%uint64(len(list))], true
}
