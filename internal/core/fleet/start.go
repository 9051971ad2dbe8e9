package fleet

import (
	"slices"
	"time"
)

// The load that this answers: many gateways start at once and know nobody, so that
// each takes itself for the first of its availability zone and reads the store: 103
// gateways made 1,000 calls in four seconds, as many as in ten minutes of calm.
//
// So the seeds read the store, and everybody else waits for a moment and asks them,
// until it has heard of the fleet. Seeds may be stale or down: then the moment ends,
// at a time of its own for each, and the first that reads serves the others.

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
	at    time.Time
	seeds []string
	// aloneAt is when it reads the store if nobody has told it anything.
	aloneAt time.Time
}

// Started notes the start of the gateway and the addresses from its settings; the
// roll of a dice says how long it waits for others.
func (f *Fleet) Started(now time.Time, seeds []string, roll uint64) {
	f.start = start{at: now, aloneAt: now}
	for _, address := range seeds {
		if address != f.self.Address {
			f.start.seeds = append(f.start.seeds, address)
		}
	}
	if len(f.start.seeds) == len(seeds) && len(seeds) > 0 {
		f.start.aloneAt = now.Add(waitLeast + time.Duration(roll%uint64(waitMost-waitLeast)))
	}
}

// isSeed reports whether others know this gateway from their settings.
func (f *Fleet) isSeed() bool { return f.start.aloneAt.Equal(f.start.at) }

// WaitsForOthers reports whether the gateway, which knows nothing of the store yet,
// leaves the reading to others.
func (f *Fleet) WaitsForOthers(now time.Time) bool { return now.Before(f.start.aloneAt) }

// Source returns the gateway to follow, chosen by the roll of a dice where there is a
// choice; false if this one reads the store itself.
func (f *Fleet) Source(now time.Time, roll uint64) (string, bool) {
	if f.start.at.IsZero() || now.Sub(f.start.at) > introducedAfter {
		return f.Parent(now)
	}
	if f.isSeed() {
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
