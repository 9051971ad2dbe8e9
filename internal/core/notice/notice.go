// Package notice tracks what upstreams announce about themselves in their answers: that
// they are leaving, that gateways should back off, and how many requests per second they
// accept.
//
// These announcements come from the upstream itself and are not a health verdict of the
// gateway. They belong to the incarnation that gave the answer, take effect at once, and
// take precedence over whatever the platform lists.
//
// # Usage
//
//	n := notice.Notice{Leaving: true}
//	state = state.With(now, n)
//	if state.Leaving() || state.InBackoff(now) {
//		// send nothing
//	}
package notice

import "time"

// Notice is what the header of one answer announces about the upstream that gave it. The
// zero value announces nothing.
type Notice struct {
	// Leaving means that the upstream accepts no new work until it ends.
	Leaving bool
	// Backoff is how long this gateway should back off; 0 if the answer does not say.
	Backoff time.Duration
	// Limit is the rate limit that the answer announces.
	Limit Limit
	// SentAt is when the request of this answer was sent; zero if unknown, as for interim
	// answers and answers to other requests.
	SentAt time.Time
	// Unparsed is the text of an announcement that could not be parsed; empty if all
	// could.
	Unparsed string
	// Sender is the upstream identity in the answer; empty if it has none.
	Sender string
	// Misdirected is true if the answer comes from another incarnation than the addressed
	// one.
	Misdirected bool
}

// Any reports whether the answer announces anything about its upstream.
func (n Notice) Any() bool {
	return n.Leaving || n.Backoff > 0 || n.Limit.Announced || n.Unparsed != ""
}
