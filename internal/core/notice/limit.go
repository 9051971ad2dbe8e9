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

// Limit is the limit that the upstream named last.
func (s State) Limit() Limit { return s.limit.Limit }

// LimitHeardAt is when the upstream last told whether it has a limit; zero if it never did.
func (s State) LimitHeardAt() time.Time { return s.limit.heardAt }
