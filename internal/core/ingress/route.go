package ingress

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what may be done with a request whose answer was lost.
type Kind int

// Kinds of request.
const (
	// Repeatable requests may run more than once.
	Repeatable Kind = iota + 1
	// Once requests may run at most once.
	Once
	// Stream requests are answered event by event. They may run at most once
	// unless the route is resumable.
	Stream
)

// String names the kind in logs.
func (k Kind) String() string {
	switch k {
	case Repeatable:
		return "repeatable"
	case Once:
		return "once"
	case Stream:
		return "stream"
	default:
		return "unknown"
	}
}

// Share is a pool's part of a route's traffic.
type Share struct {
	Pool   string
	Weight int
}

// Route is a set of paths that are served alike.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Shares are the pools that serve the route; their weights are positive.
	Shares []Share
	// Timeout is the longest time that a request may be held.
	Timeout time.Duration
	// Target is the time to the answer, or to the first event of a stream.
	Target time.Duration
	// PauseTarget is the longest pause between two events; 0 means none.
	PauseTarget time.Duration
	// MaxAttempts is the largest number of upstreams that one request is sent to.
	MaxAttempts int
	// Tier is the rank of the route; 0 is the highest.
	Tier int
	// Public routes need no key.
	Public bool
	// Resumable streams may be taken up by another upstream.
	Resumable bool
	// Prompted requests name a model and the parts of their prompt.
	Prompted bool
}

// MayRepeat reports whether a request may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || (r.Kind == Stream && r.Resumable)
}

// serves reports whether the pool gets requests of the route.
func (r *Route) serves(pool string) bool {
	for _, s := range r.Shares {
		if s.Pool == pool && s.Weight > 0 {
			return true
		}
	}
	return false
}

// HashID spreads request identities; equal identities get equal hashes on all
// hosts.
func HashID(id string) uint64 { return xxhash.Sum64String(id) }

// Pool returns the pool that a request with this hash goes to.
func (r *Route) Pool(hash uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	at := int(hash % uint64(total))
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Pool
		}
		at -= s.Weight
	}
	return ""
}
