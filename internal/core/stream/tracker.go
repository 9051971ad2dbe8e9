package stream

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/rollout"
)

// MaxListAge is the maximum age of the list of upstreams for which it proves that a single
// version serves. The list of a gateway in a large fleet is nearly as old in calm.
const MaxListAge = 3 * time.Second

// Source says how the version of a stream became known.
type Source string

// Sources of the version of a stream.
const (
	// Unknown means that the version is not known.
	Unknown Source = "unknown"
	// Own means that this gateway began the stream, or resumed it before.
	Own Source = "own"
	// Reported means that another gateway reported the stream.
	Reported Source = "reported"
	// Single means that the pool has had a single version.
	Single Source = "single"
	// Found means that another gateway answered that it knows the stream.
	Found Source = "found"
	// FoundSingle means that another gateway answered that the pool has had a single version.
	FoundSingle Source = "found_single"
)

// Known is what a gateway knows of a stream that a caller resumes.
type Known struct {
	// Version is the software version that began the stream. It is unstated if Source is
	// Unknown, or if no upstream of the pool states a version.
	Version rollout.Version
	Source  Source
	// Pool is what this gateway knows of the versions of the stream's pool.
	Pool rollout.State
	// Window is how long a single version must have served for the stream to go on without a
	// record.
	Window time.Duration
}

// Answer is what another gateway answers when it is asked for a stream.
type Answer struct {
	// Version is that of the stream; unstated if it does not know the stream.
	Version rollout.Version
	// Single is true if the pool has had a single version, which is SingleVersion, for at least
	// SingleFor.
	Single        bool
	SingleVersion rollout.Version
	SingleFor     time.Duration
	// Settled are the versions of the pool at which streams may begin.
	Settled []rollout.Version
}

// With returns what is known after another gateway answered. A gateway that knows the stream
// decides. One that confirms a single version is believed if this gateway has seen only the
// same one, and the other one has seen it for long enough.
func (k Known) With(a Answer) Known {
	switch {
	case k.Source == Found:
	case a.Version != rollout.Unstated:
		k.Version, k.Source = a.Version, Found
	case a.Single && a.SingleVersion == k.Pool.Version && a.SingleFor >= k.Window && k.Pool.Kind == rollout.Unproven:
		k.Version, k.Source = a.SingleVersion, FoundSingle
	}
	return k
}

// Tracker is what a gateway knows of streams and of the versions of their pools. It is not safe
// for concurrent use.
type Tracker struct {
	versions *rollout.Tracker
	// own are the streams that this gateway began or resumed, reported those of others.
	own, reported *Registry
	windows       Windows
	// listedAt is the time as of which the list of upstreams is complete.
	listedAt time.Time
}

// NewTracker returns an empty tracker. If first is set, the whole system starts for the first time.
func NewTracker(first bool) *Tracker {
	t := &Tracker{versions: rollout.NewTracker(first), own: NewRegistry(), reported: NewRegistry()}
	t.AddTimeout(0)
	return t
}

// AddTimeout records the timeout of a route with streams that may be resumed.
func (t *Tracker) AddTimeout(timeout time.Duration) { t.setWindows(t.windows.WithTimeout(timeout)) }

func (t *Tracker) setWindows(w Windows) {
	t.windows = w
	t.own.SetWindow(w.Record)
	t.reported.SetWindow(w.Record)
}

// Windows returns how long the past matters.
func (t *Tracker) Windows() Windows { return t.windows }

// ListedAt records that the list of upstreams is complete as of the given time. If it was older
// than MaxListAge until then, versions may have come and gone unseen.
func (t *Tracker) ListedAt(at time.Time) {
	if !t.listedAt.IsZero() && at.Sub(t.listedAt) > MaxListAge {
		t.versions.Interrupt(at)
	}
	if at.After(t.listedAt) {
		t.listedAt = at
	}
}

// Observe records which versions serve.
func (t *Tracker) Observe(now time.Time, list []rollout.Serving) { t.versions.Observe(now, list) }

// IsListFresh reports whether the list of upstreams is new enough to prove anything.
func (t *Tracker) IsListFresh(now time.Time) bool {
	return !t.listedAt.IsZero() && now.Sub(t.listedAt) <= MaxListAge
}

// Pool returns what is known of the versions that have served the pool. An old list proves
// nothing, as another version may serve by now.
func (t *Tracker) Pool(now time.Time, pool string) rollout.State {
	s := t.versions.State(now, pool, t.windows.Proof)
	if s.Kind == rollout.Single && s.Version != rollout.Unstated && !t.IsListFresh(now) {
		s.Kind = rollout.Unproven
	}
	return s
}

// Unsettled returns the versions at which no stream should begin that callers may resume. For
// as long as a list of upstreams proves anything, another gateway may not have learned of a new
// version, and take the pool for one of a single version. After a start all versions are new,
// and other gateways have to be asked; without their answer the version with the most upstreams
// counts as settled, since a version that has just begun to serve has few.
func (t *Tracker) Unsettled(now time.Time, pool string) []rollout.Version {
	settled, recent := t.versions.Settled(now, pool, MaxListAge)
	if len(settled) == 0 && len(recent) > 0 {
		return recent[1:]
	}
	return recent
}

// KnowsSettled reports whether this gateway knows by itself at which versions of the pool streams
// may begin.
func (t *Tracker) KnowsSettled(now time.Time, pool string) bool {
	settled, recent := t.versions.Settled(now, pool, MaxListAge)
	return len(settled) > 0 || len(recent) < 2
}

// Settle records the versions that another gateway answered to be settled.
func (t *Tracker) Settle(pool string, a Answer) {
	for _, v := range a.Settled {
		t.versions.Settle(pool, v)
	}
}

// Find returns what this gateway knows of a stream.
func (t *Tracker) Find(now time.Time, pool string, a Attempt) Known {
	k := Known{Source: Unknown, Pool: t.Pool(now, pool), Window: t.windows.Proof}
	if v, ok := t.own.Find(now, a); ok {
		k.Version, k.Source = v, Own
	} else if v, ok := t.reported.Find(now, a); ok {
		k.Version, k.Source = v, Reported
	} else if k.Pool.Kind == rollout.Single {
		k.Version, k.Source = k.Pool.Version, Single
	}
	return k
}

// Answer returns the answer to another gateway that asks for a stream.
func (t *Tracker) Answer(now time.Time, pool string, a Attempt) Answer {
	var answer Answer
	answer.Settled, _ = t.versions.Settled(now, pool, MaxListAge)
	switch k := t.Find(now, pool, a); k.Source {
	case Own, Reported:
		answer.Version = k.Version
	case Single:
		answer.Single, answer.SingleVersion, answer.SingleFor = true, k.Version, k.Window
	default:
	}
	return answer
}

// Begin records the version of a stream that this gateway began or resumes, and whose caller
// waits for so long; 0 if unspecified. It returns true if other gateways have to know it, because
// no single version is proven.
func (t *Tracker) Begin(now time.Time, pool string, a Attempt, v rollout.Version, wait time.Duration) bool {
	t.setWindows(t.windows.WithWait(wait))
	t.own.Add(now, a, v)
	return v != rollout.Unstated && t.Pool(now, pool).Kind != rollout.Single
}

// Record records the version of streams that another gateway reported, and whose callers wait for
// so long at most.
func (t *Tracker) Record(now time.Time, v rollout.Version, wait time.Duration, attempts ...Attempt) {
	t.setWindows(t.windows.WithWait(wait))
	for _, a := range attempts {
		t.reported.Add(now, a, v)
	}
}

// Confirm records the answer of another gateway about the versions of a pool.
func (t *Tracker) Confirm(now time.Time, pool string, a Answer) {
	if a.Single && t.IsListFresh(now) {
		t.versions.Confirm(now, pool, a.SingleVersion, a.SingleFor)
	}
}

// Own returns the streams that this gateway began or resumed, by version.
func (t *Tracker) Own(now time.Time) map[rollout.Version][]Attempt { return t.own.All(now) }

// Reported returns the number of streams that other gateways reported.
func (t *Tracker) Reported() int { return t.reported.Len() }

// Sweep drops the versions that no longer count.
func (t *Tracker) Sweep(now time.Time) { t.versions.Sweep(now, t.windows.Proof) }
