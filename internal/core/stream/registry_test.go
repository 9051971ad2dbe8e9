package stream

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/rollout"
)

// A stream is known for as long as its caller may resume it, and forgotten some time later.
func TestFind(t *testing.T) {
	const window = 20 * time.Second
	v1 := rollout.VersionOf("p", "v1")
	tests := []struct {
		name  string
		age   time.Duration
		known bool
	}{
		{"at once", 0, true},
		{"within the window", window - 1, true},
		{"at the end of the window", window, true},
		{"after three windows", 3 * window, false},
		{"long after", time.Hour, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1000, 0)
			r := newTestRegistry()
			r.SetWindow(window)
			r.Add(start, AttemptOf("first"), v1)
			r.Add(start, AttemptOf("unstated"), rollout.Unstated)
			for age := time.Duration(0); age < tt.age; age += window / 3 {
				r.Add(start.Add(age), AttemptOf("other"), v1)
			}
			v, known := r.Find(start.Add(tt.age), AttemptOf("first"))
			is.Equal(known, tt.known)
			is.True(!known || v == v1)
			_, known = r.Find(start.Add(tt.age), AttemptOf("unstated"))
			is.True(!known)
		})
	}
}

// The memory of the registry is bounded; the oldest streams are dropped first.
func TestBound(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := newTestRegistry()
	v1 := rollout.VersionOf("p", "v1")
	for i := range 4 * maxGeneration {
		r.Add(now, Attempt(i), v1)
	}
	is.True(r.Len() <= 2*maxGeneration)
	_, known := r.Find(now, Attempt(0))
	is.True(!known)
	_, known = r.Find(now, Attempt(4*maxGeneration-1))
	is.True(known)
	is.Equal(len(r.All(now)[v1]), r.Len())
}

// A stream for which two versions are recorded must not go on at either of them.
func TestConflict(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := newTestRegistry()
	v1, v2 := rollout.VersionOf("p", "v1"), rollout.VersionOf("p", "v2")
	for _, v := range []rollout.Version{v1, v1, v2, v2, v1} {
		r.Add(now, AttemptOf("x"), v)
	}
	_, known := r.Find(now, AttemptOf("x"))
	is.True(!known)
	is.Equal(len(r.All(now)), 0)
}

// Streams were forgotten while their callers could still resume them: routes with a timeout over a
// minute, callers that wait for longer than twice the timeout, and timeouts that were shortened.
func TestWindows(t *testing.T) {
	tests := []struct {
		name   string
		w      Windows
		record time.Duration
		proof  time.Duration
	}{
		{"no route yet", Windows{}.WithTimeout(0), minWindow, proofWindow},
		{"short timeout", Windows{}.WithTimeout(3 * time.Second), minWindow, proofWindow},
		{"usual timeout", Windows{}.WithTimeout(15 * time.Second), 30 * time.Second, proofWindow},
		{"timeout over a minute", Windows{}.WithTimeout(10 * time.Minute), 20 * time.Minute, proofWindow},
		{"timeout over an hour", Windows{}.WithTimeout(2 * time.Hour), 4 * time.Hour, 4 * time.Hour},
		{"shortened", Windows{}.WithTimeout(2 * time.Hour).WithTimeout(time.Second), 4 * time.Hour, 4 * time.Hour},
		{"caller waits longer", Windows{}.WithTimeout(15 * time.Second).WithWait(5 * time.Minute), 5 * time.Minute, proofWindow},
		{"caller does not say", Windows{}.WithTimeout(15 * time.Second).WithWait(0), 30 * time.Second, proofWindow},
		{"caller waits for a day", Windows{}.WithTimeout(15 * time.Second).WithWait(24 * time.Hour), proofWindow, proofWindow},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.w.Record, tt.record)
			is.Equal(tt.w.Proof, tt.proof)
		})
	}
}

// newTestRegistry returns a registry with the shortest window.
func newTestRegistry() *Registry {
	r := NewRegistry()
	r.SetWindow(minWindow)
	return r
}
