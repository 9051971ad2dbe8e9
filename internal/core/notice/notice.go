// Package notice holds what upstreams say of themselves in their answers: that they
// leave, that they want rest, and how many requests a second they take.
//
// Such words are an upstream's own and no judgement of ours. They are of the start that
// gave the answer, hold at once, and go before whatever the platform lists.
//
// # Usage
//
//	n := notice.Notice{Leaving: true}
//	state = state.With(now, n)
//	if state.Leaving() || state.Resting(now) {
//		// nothing goes there
//	}
package notice

import "time"

// Notice is what the head of one answer says of the upstream that gave it. The zero value
// says nothing.
type Notice struct {
	// Leaving means that the upstream takes no new work until its end.
	Leaving bool
	// Rest is how long it wants nothing from this gateway; 0 if it does not say.
	Rest time.Duration
	// Limit is the limit that the answer names.
	Limit Limit
	// SentAt is when the request was sent that the answer is to; zero if that is not known,
	// as of interim answers and of those to other requests.
	SentAt time.Time
	// Unread is the text of a word that could not be read; empty if all could.
	Unread string
	// Of is the identity that the answer names; empty if it names none.
	Of string
	// Elsewhere is true if the answer is of another start than the one that was addressed.
	Elsewhere bool
}

// Any reports whether the answer says anything of its upstream.
func (n Notice) Any() bool { return n.Leaving || n.Rest > 0 || n.Limit.Named || n.Unread != "" }
