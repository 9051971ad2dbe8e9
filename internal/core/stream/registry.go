// Package stream records at which software version streams began.
//
// A caller whose stream broke off resumes it under a new attempt, which names the one that
// brought the first event. A gateway finds the version of that attempt in its tracker, or asks the
// gateways that may know it: the one that began the stream reports it to a few others, as it may
// be gone by then. Only a record counts, or the proof that the pool has had a single version; a
// stream without either cannot be resumed.
//
// # Usage
//
//	t := stream.NewTracker(firstStart)
//	t.Observe(now, serving)
//	t.ListedAt(at)
//	if t.Begin(now, pool, stream.AttemptOf(id), version, wait) { // before the first event is sent
//		report(attempt, version, wait)
//	}
//	known := t.Find(now, pool, stream.AttemptOf(resumes))
//	known = known.With(answer) // of another gateway
package stream

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gladegauge/gladegauge/internal/core/rollout"
)

// Bounds of the time for which the record of a stream is kept.
const (
	// returnFactor is the multiple of the longest route timeout for which streams are kept: a
	// caller may wait for longer than one attempt may last.
	returnFactor = 2
	minWindow    = 10 * time.Second
)

// proofWindow is the time for which a single version must have served before a stream without a
// record may go on. Callers set the time for which they wait themselves, and nothing tells when a
// stream began that is not recorded.
const proofWindow = time.Hour

// maxGeneration is the maximum number of streams that are kept for one window, at about 40
// bytes each.
const maxGeneration = 1 << 15

// Windows are how long the past matters for streams that callers may resume. They only grow: a
// configuration does not shorten the time for which the callers of earlier streams wait.
type Windows struct {
	// Record is how long the record of a stream is kept after its beginning.
	Record time.Duration
	// Proof is how long a single version must have served.
	Proof time.Duration
}

// WithTimeout returns the windows for a route with streams that may be resumed and its timeout.
func (w Windows) WithTimeout(timeout time.Duration) Windows {
	w.Proof = max(w.Proof, proofWindow, returnFactor*timeout)
	w.Record = max(w.Record, minWindow, returnFactor*timeout)
	return w
}

// WithWait returns the windows for a stream whose caller waits for so long; 0 if unspecified.
func (w Windows) WithWait(wait time.Duration) Windows {
	w.Record = max(w.Record, min(wait, w.Proof))
	return w
}

// Attempt is the hash of the ID of a caller's attempt, which is the same on all gateways.
type Attempt uint64

// AttemptOf returns the hash of an attempt's ID.
func AttemptOf(id string) Attempt { return Attempt(xxhash.Sum64String(id)) }

// Registry holds the versions of streams by the attempts that brought their first events, for
// at least one window. It is not safe for concurrent use.
type Registry struct {
	window            time.Duration
	current, previous map[Attempt]rollout.Version
	// rotatedAt is when current was started.
	rotatedAt time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{current: make(map[Attempt]rollout.Version)}
}

// SetWindow sets how long streams are kept.
func (r *Registry) SetWindow(window time.Duration) { r.window = window }

// Add records the version of a stream. An unstated version is not recorded, as a stream of
// such an upstream cannot go on elsewhere. A stream that is recorded with two versions is not
// known any more: a gateway has reported something wrong, or a caller has used an ID twice.
func (r *Registry) Add(now time.Time, a Attempt, v rollout.Version) {
	if v == rollout.Unstated {
		return
	}
	r.rotate(now)
	if len(r.current) >= maxGeneration {
		r.start(now)
	}
	if before, ok := r.find(a); ok && before != v {
		v = rollout.Unstated
	}
	r.current[a] = v
}

// Find returns the version of a stream; false if it is not known.
func (r *Registry) Find(now time.Time, a Attempt) (rollout.Version, bool) {
	r.rotate(now)
	v, ok := r.find(a)
	return v, ok && v != rollout.Unstated
}

// find returns the recorded version of a stream, which is unstated if several were recorded.
func (r *Registry) find(a Attempt) (rollout.Version, bool) {
	if v, ok := r.current[a]; ok {
		return v, true
	}
	v, ok := r.previous[a]
	return v, ok
}

// All returns all streams by version.
func (r *Registry) All(now time.Time) map[rollout.Version][]Attempt {
	r.rotate(now)
	all := make(map[rollout.Version][]Attempt)
	for _, generation := range []map[Attempt]rollout.Version{r.previous, r.current} {
		for a, v := range generation {
			if v != rollout.Unstated {
				all[v] = append(all[v], a)
			}
		}
	}
	return all
}

// Len returns the number of streams.
func (r *Registry) Len() int { return len(r.current) + len(r.previous) }

// rotate drops expired streams.
func (r *Registry) rotate(now time.Time) {
	age := now.Sub(r.rotatedAt)
	if age < r.window {
		return
	}
	r.start(now)
	if age >= 2*r.window {
		r.previous = nil
	}
}

// start begins another generation.
func (r *Registry) start(now time.Time) {
	r.previous = r.current
	r.current = make(map[Attempt]rollout.Version)
	r.rotatedAt = now
}
