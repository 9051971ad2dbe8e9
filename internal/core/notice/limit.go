package notice

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Limit is the number of requests a second that an upstream takes from all gateways
// together. The zero value is none.
type Limit struct {
	// Named is true if there is one.
	Named     bool
	PerSecond float64
	// Unclear is true if an answer names one that cannot be read: whether it still holds
	// is not known then.
	Unclear bool
}

// ParseLimit reads the figures of a limit, decimal numbers split by commas. The least one
// holds; a decimal comma is read as less than was meant. It reports false if there is none
// that can be read.
func ParseLimit(text string) (Limit, bool) {
	l := Limit{PerSecond: math.Inf(1)}
	for _, field := range strings.Split(text, ",") {
		if v, ok := parseRate(strings.TrimSpace(field)); ok {
			l.Named = true
			l.PerSecond = min(l.PerSecond, v)
		}
	}
	if !l.Named {
		return Limit{Unclear: true}, false
	}
	return l, true
}

// parseRate reads a finite decimal number that is not below 0.
func parseRate(text string) (float64, bool) {
	if strings.ContainsAny(text, "xX_") {
		return 0, false
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return 0, false
	}
	return v, true
}

// limitWord is what a start has said of its limit.
type limitWord struct {
	Limit
	// namedAt is when an answer that names the limit was last read, heardAt when any was
	// that tells whether there is one.
	namedAt time.Time
	heardAt time.Time
}

// with returns the word after an answer that was read now. Answers on different connections
// overtake each other, so that one takes a limit back, or raises it, only if its request was
// sent after the limit was last read. A lower one holds at once.
func (w limitWord) with(now time.Time, n Notice) limitWord {
	later := n.SentAt.After(w.namedAt)
	switch {
	case n.Limit.Unclear:
		return w
	case n.Limit.Named:
		if !w.Named || later || n.Limit.PerSecond < w.PerSecond {
			w.Limit = n.Limit
		}
		w.namedAt, w.heardAt = now, now
	case later:
		w.Limit = Limit{}
		w.heardAt = now
	}
	return w
}

const (
	// limitFreshFor is how long an answer that tells of a limit goes before what others
	// tell, and is told to them. It is about the time in which each holder of a limit of
	// one request a second gets a turn.
	limitFreshFor = 4 * time.Second
	// liftVotes is the number of other gateways whose word is taken for the end of a
	// limit. One alone may be wrong.
	liftVotes = 2
)

// LimitVotes are what the latest answers of an upstream to other gateways told of a limit.
// The zero value is nothing.
type LimitVotes struct {
	// Limited is the number of gateways to which it named one, PerSecond their mean, and
	// Free the number of those to which it named none.
	Limited   int
	PerSecond float64
	Free      int
}

// lifts reports whether the votes speak for no limit.
func (v LimitVotes) lifts() bool { return v.Free >= liftVotes && v.Free > v.Limited }

// names reports whether the votes speak for a limit.
func (v LimitVotes) names() bool { return v.Limited > 0 && v.Limited >= v.Free }

// LimitVote returns what this gateway tells others: what an answer told it lately. That
// there is no limit is told of upstreams that are said to have one.
func (s State) LimitVote(now time.Time) LimitVotes {
	switch {
	case !s.limit.fresh(now):
		return LimitVotes{}
	case s.limit.Named:
		return LimitVotes{Limited: 1, PerSecond: s.limit.PerSecond}
	default:
		return LimitVotes{Free: 1}
	}
}

// WithLimitVotes returns the state after the votes of others came, which count until then.
func (s State) WithLimitVotes(v LimitVotes, until time.Time) State {
	s.votes, s.votesUntil = v, until
	return s
}

// fresh reports whether an answer told lately whether there is a limit.
func (w limitWord) fresh(now time.Time) bool {
	return !w.heardAt.IsZero() && now.Sub(w.heardAt) < limitFreshFor
}

// Limit is the limit that the upstream has now: by its latest answer, if that is fresh;
// else by the word of others, and by its last answer if they do not agree. A gateway that
// sends nothing hears nothing, and learns from others that a limit changed or ended.
func (s State) Limit(now time.Time) Limit {
	if s.limit.fresh(now) || !now.Before(s.votesUntil) {
		return s.limit.Limit
	}
	switch {
	case s.votes.names():
		return Limit{Named: true, PerSecond: s.votes.PerSecond}
	case s.votes.lifts():
		return Limit{}
	default:
		return s.limit.Limit
	}
}

// Named is the limit that the upstream named last to this gateway.
func (s State) Named() Limit { return s.limit.Limit }

// SaidLimited reports whether a limit of the upstream is spoken of: its answers are to be
// read for that, then.
func (s State) SaidLimited() bool { return s.limit.Named || s.votes.Limited > 0 }
