package notice

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Limit is the number of requests per second that an upstream accepts from all gateways
// together. The zero value is no limit.
type Limit struct {
	// Announced is true if there is a limit.
	Announced bool
	PerSecond float64
	// Malformed is true if an answer announces a limit that cannot be parsed: it is
	// unknown then whether the previous one still holds.
	Malformed bool
}

// ParseLimit parses the values of a limit, decimal numbers separated by commas, and
// returns the lowest one. A decimal comma therefore yields less than was meant. It
// reports false if no value can be parsed.
func ParseLimit(text string) (Limit, bool) {
	l := Limit{PerSecond: math.Inf(1)}
	for _, field := range strings.Split(text, ",") {
		if v, ok := parseRate(strings.TrimSpace(field)); ok {
			l.Announced = true
			l.PerSecond = min(l.PerSecond, v)
		}
	}
	if !l.Announced {
		return Limit{Malformed: true}, false
	}
	return l, true
}

// parseRate parses a finite, non-negative decimal number.
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

// limitState is what one incarnation has announced about its limit.
type limitState struct {
	Limit
	// announcedAt is when an answer with a limit was last received, reportedAt when an
	// answer was last received that shows whether there is one.
	announcedAt time.Time
	reportedAt  time.Time
}

// with returns the state after an answer that is received now. Answers on different
// connections can be reordered, so an answer removes or raises a limit only if its
// request was sent after the limit was last announced. A lower limit applies at once.
func (l limitState) with(now time.Time, n Notice) limitState {
	later := n.SentAt.After(l.announcedAt)
	switch {
	case n.Limit.Malformed:
		return l
	case n.Limit.Announced:
		if !l.Announced || later || n.Limit.PerSecond < l.PerSecond {
			l.Limit = n.Limit
		}
		l.announcedAt, l.reportedAt = now, now
	case later:
		l.Limit = Limit{}
		l.reportedAt = now
	}
	return l
}

const (
	// limitFreshness is how long the limit in an own answer takes precedence over the
	// reports of other gateways and is reported to them. It is about the time in which
	// each holder of a limit of one request per second gets a turn.
	limitFreshness = 4 * time.Second
	// minLiftVotes is the number of other gateways that must report that a limit has
	// ended. A single one may be wrong.
	minLiftVotes = 2
)

// LimitVotes is what the latest answers of an upstream to other gateways said about a
// limit. The zero value has no votes.
type LimitVotes struct {
	// Limited is the number of gateways to which it announced a limit, PerSecond the mean
	// of these limits, and Free the number of gateways to which it answered without one.
	Limited   int
	PerSecond float64
	Free      int
}

// againstLimit reports whether the votes are that there is no limit.
func (v LimitVotes) againstLimit() bool { return v.Free >= minLiftVotes && v.Free > v.Limited }

// forLimit reports whether the votes are that there is a limit.
func (v LimitVotes) forLimit() bool { return v.Limited > 0 && v.Limited >= v.Free }

// LimitVote returns the vote of this gateway, from a recent answer. Callers report that
// there is no limit only for upstreams that are said to have one.
func (s State) LimitVote(now time.Time) LimitVotes {
	switch {
	case !s.limit.fresh(now):
		return LimitVotes{}
	case s.limit.Announced:
		return LimitVotes{Limited: 1, PerSecond: s.limit.PerSecond}
	default:
		return LimitVotes{Free: 1}
	}
}

// WithLimitVotes returns the state with the votes of other gateways, which are valid
// until the given time.
func (s State) WithLimitVotes(v LimitVotes, until time.Time) State {
	s.votes, s.votesUntil = v, until
	return s
}

// fresh reports whether a recent answer showed whether there is a limit.
func (l limitState) fresh(now time.Time) bool {
	return !l.reportedAt.IsZero() && now.Sub(l.reportedAt) < limitFreshness
}

// Limit is the limit that applies now: the one of the latest own answer if that is
// recent, else the one that the other gateways report, or that of the last own answer if
// they disagree. A gateway that sends no requests gets no answers and learns from others
// that a limit changed or ended.
func (s State) Limit(now time.Time) Limit {
	if s.limit.fresh(now) || !now.Before(s.votesUntil) {
		return s.limit.Limit
	}
	switch {
	case s.votes.forLimit():
		return Limit{Announced: true, PerSecond: s.votes.PerSecond}
	case s.votes.againstLimit():
		return Limit{}
	default:
		return s.limit.Limit
	}
}

// Announced is the limit that the upstream last announced to this gateway.
func (s State) Announced() Limit { return s.limit.Limit }

// LimitReported reports whether this or other gateways know of a limit of the upstream;
// its answers must be checked for limits then.
func (s State) LimitReported() bool { return s.limit.Announced || s.votes.Limited > 0 }
