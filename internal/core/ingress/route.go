package ingress

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says whether a request may be repeated after its response was lost.
type Kind int

// Kinds of request.
const (
	// Repeatable requests may run more than once.
	Repeatable Kind = iota + 1
	// Once requests may run at most once.
	Once
	// Stream requests are answered with an event stream. They may run at most once unless
	// the route is resumable.
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

// Route is a set of paths with the same configuration.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Shares are the pools that serve the route; their weights are positive.
	Shares []Share
	// Timeout is the maximum time to hold a request.
	Timeout time.Duration
	// Target is the target time to the response, or to the first event of a stream.
	Target time.Duration
	// EventGapTarget is the target for the longest gap between two events; 0 means none.
	EventGapTarget time.Duration
	// MaxAttempts is the maximum number of upstreams that one request is sent to.
	MaxAttempts int
	// Tier is the rank of the route; 0 is the highest.
	Tier int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued by another upstream.
	Resumable bool
	// Prompted requests name a model and the parts of their prompt.
	Prompted bool
}

// MayRepeat reports whether a request may run more than once.
func (r *Route) MayRepeat() bool { return r.Kind == Repeatable || r.MayResume() }

// MayResume reports whether the route has streams that another upstream may go on with.
func (r *Route) MayResume() bool { return r.Kind == Stream && r.Resumable }

// serves reports whether the route sends requests to the pool.
func (r *Route) serves(pool string) bool {
	for _, s := range r.Shares {
		if s.Pool == pool && s.Weight > 0 {
			return true
		}
	}
	return false
}

// HashID returns the hash of a request identity, which is the same on all hosts.
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
