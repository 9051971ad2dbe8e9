// Package rollout tracks which software versions have served each pool of upstreams.
//
// Upstreams of several versions may serve a pool side by side. What two versions write does
// not fit together: a stream may only go on at the version that began it. As long as a single
// version has served a pool, nothing has to be known of a stream to resume it. That holds
// only for a gateway that has watched the pool for as long as a caller may resume a stream, or to
// which another gateway has confirmed that time.
//
// # Usage
//
//	t := rollout.NewTracker(firstStart)
//	t.Observe(now, serving)
//	settled, recent := t.Settled(now, "pool", settling)
//	t.Interrupt(now) // changes may have been missed
//	t.Confirm(now, "pool", version, observed)
//	switch s := t.State(now, "pool", window); s.Kind {
//	case rollout.Single: // s.Version began every stream
//	case rollout.Several, rollout.Unproven: // the version of the stream has to be known
//	}
package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Version identifies a software version of one pool, on all gateways alike. Equal names in two
// pools are different versions. It is a short hash, as it is reported with each stream, and has
// to distinguish the few versions of one pool only.
type Version uint32

// Unstated is the version of an upstream that states none. Nothing is known of its software,
// so it does not match any version, not even that of another such upstream.
const Unstated Version = 0

// VersionOf returns the version with the name; Unstated if the name is empty.
func VersionOf(pool, name string) Version {
	if name == "" {
		return Unstated
	}
	return max(1, Version(xxhash.Sum64String(pool+"\x00"+name)))
}

// Kind says what is known of the versions of a pool.
type Kind int

// Kinds of knowledge about a pool.
const (
	// Unproven means that several versions may have served.
	Unproven Kind = iota
	// Single means that only one version has served.
	Single
	// Several means that more than one version has served.
	Several
)

// String names the kind in logs.
func (k Kind) String() string {
	switch k {
	case Single:
		return "single"
	case Several:
		return "several"
	default:
		return "unproven"
	}
}

// State is what is known of the versions that served a pool within a window.
type State struct {
	Kind Kind
	// Version is the one that served, if the kind is Single, and the only one that was seen if
	// it is Unproven.
	Version Version
}

// Serving is a pool and a version that an upstream serves it with.
type Serving struct {
	Pool    string
	Version Version
}

// Tracker records when each version last served. It is not safe for concurrent use.
type Tracker struct {
	// observing is true from the first observation on. since is the time from which on no
	// version was missed, and confirmedSince the same for single pools where it is earlier;
	// the zero time means that nothing was ever missed.
	observing      bool
	since          time.Time
	confirmedSince map[string]time.Time
	// current counts the upstreams of the latest observation. seen is when each version of a
	// pool was listed.
	current map[Serving]int
	seen    map[string]map[Version]period
}

// period is the time in which a version was listed.
type period struct{ first, last time.Time }

// NewTracker returns a Tracker without observations. If first is set, the whole system starts
// for the first time, so that no version has served any stream before.
func NewTracker(first bool) *Tracker {
	return &Tracker{
		observing:      first,
		confirmedSince: make(map[string]time.Time),
		current:        make(map[Serving]int),
		seen:           make(map[string]map[Version]period),
	}
}

// Interrupt records that versions may have come and gone unseen before now.
func (t *Tracker) Interrupt(now time.Time) {
	t.since = now
	clear(t.confirmedSince)
}

// Confirm records that only the given version has served the pool for the given time, as another
// gateway has observed. It is ignored if another version was seen here in that time.
func (t *Tracker) Confirm(now time.Time, pool string, v Version, observed time.Duration) {
	s := t.State(now, pool, observed)
	since, ok := t.confirmedSince[pool]
	if from := now.Add(-observed); s.Kind == Unproven && s.Version == v && (!ok || from.Before(since)) {
		t.confirmedSince[pool] = from
	}
}

// Observe replaces the list of what serves now, which has one entry for each upstream.
func (t *Tracker) Observe(now time.Time, list []Serving) {
	if !t.observing {
		t.observing = true
		t.since = now
	}
	for s := range t.current {
		t.list(now, s)
	}
	clear(t.current)
	for _, s := range list {
		t.current[s]++
		t.list(now, s)
	}
}

// list records that a version is listed now.
func (t *Tracker) list(now time.Time, s Serving) {
	versions := t.seen[s.Pool]
	if versions == nil {
		versions = make(map[Version]period)
		t.seen[s.Pool] = versions
	}
	p, ok := versions[s.Version]
	if !ok {
		p.first = now
	}
	p.last = now
	versions[s.Version] = p
}

// Settled returns the listed versions of the pool that were first listed at least the given time
// ago, and the others: those with the most upstreams first, and what is unstated last.
func (t *Tracker) Settled(now time.Time, pool string, settling time.Duration) (settled, recent []Version) {
	for version, p := range t.seen[pool] {
		switch {
		case t.current[Serving{pool, version}] == 0:
		case now.Sub(p.first) < settling:
			recent = append(recent, version)
		default:
			settled = append(settled, version)
		}
	}
	slices.SortFunc(recent, func(a, b Version) int {
		switch {
		case a == Unstated:
			return 1
		case b == Unstated:
			return -1
		}
		return cmp.Or(cmp.Compare(t.current[Serving{pool, b}], t.current[Serving{pool, a}]), cmp.Compare(a, b))
	})
	return settled, recent
}

// Settle records that another gateway has known the version for long enough.
func (t *Tracker) Settle(pool string, v Version) {
	if p, ok := t.seen[pool][v]; ok {
		p.first = time.Time{}
		t.seen[pool][v] = p
	}
}

// State returns what is known of the versions that served the pool within the window. Where no
// upstream states a version, there is none to tell apart.
func (t *Tracker) State(now time.Time, pool string, window time.Duration) State {
	var last Version
	served := 0
	for version, p := range t.seen[pool] {
		if t.current[Serving{pool, version}] > 0 || now.Sub(p.last) < window {
			last = version
			served++
		}
	}
	switch {
	case served > 1:
		return State{Kind: Several}
	case served == 0:
		return State{Kind: Unproven}
	case last != Unstated && !t.complete(now, pool, window):
		return State{Kind: Unproven, Version: last}
	default:
		return State{Kind: Single, Version: last}
	}
}

// complete reports whether no version of the pool was missed within the window.
func (t *Tracker) complete(now time.Time, pool string, window time.Duration) bool {
	confirmed, ok := t.confirmedSince[pool]
	return t.since.IsZero() || now.Sub(t.since) >= window || (ok && now.Sub(confirmed) >= window)
}

// Sweep drops the versions that have not served within the window.
func (t *Tracker) Sweep(now time.Time, window time.Duration) {
	for pool, versions := range t.seen {
		for version, p := range versions {
			if t.current[Serving{pool, version}] == 0 && now.Sub(p.last) >= window {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(t.seen, pool)
		}
	}
}
