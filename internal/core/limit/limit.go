// Package limit enforces the organisations' request rates.
//
// No process sees all requests, so each entry enforces its share: the rate divided by the
// number of live entries. When entries join or leave, the share changes at once and the
// tokens that an organisation has accumulated are kept.
//
// # Usage
//
//	l := limit.New()
//	wait, ok := l.Take(now, organisation, liveEntries)
package limit

import (
	"math"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
)

// sweepInterval is the number of calls between two sweeps of full buckets.
const sweepInterval = 4096

type bucket struct {
	tokens     float64
	burst      float64
	rate       float64
	refilledAt time.Time
}

// Limiter holds a token bucket for each organisation with a limit that sent requests
// recently. It is not safe for concurrent use.
type Limiter struct {
	buckets map[string]*bucket
	calls   int
}

// New returns a limiter with all buckets full.
func New() *Limiter {
	return &Limiter{buckets: make(map[string]*bucket)}
}

// Take takes one token for a request of the organisation. If none is available, it returns
// the time until the next one.
func (l *Limiter) Take(now time.Time, o *config.Organisation, entries int) (time.Duration, bool) {
	if o.Rate <= 0 {
		return 0, true
	}
	l.calls++
	if l.calls%sweepInterval == 0 {
		l.sweep(now)
	}
	b := l.bucket(now, o, max(1, entries))
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	seconds := (1 - b.tokens) / b.rate
	return time.Duration(math.Ceil(seconds*1000)) * time.Millisecond, false
}

func (l *Limiter) bucket(now time.Time, o *config.Organisation, entries int) *bucket {
	rate := o.Rate / float64(entries)
	burst := max(1, float64(o.Burst)/float64(entries))
	b, ok := l.buckets[o.Name]
	if !ok {
		b = &bucket{tokens: burst, refilledAt: now}
		l.buckets[o.Name] = b
	}
	b.rate = rate
	b.burst = burst
	b.refill(now)
	return b
}

func (b *bucket) refill(now time.Time) {
	if d := now.Sub(b.refilledAt); d > 0 {
		b.tokens += b.rate * d.Seconds()
		b.refilledAt = now
	}
	b.tokens = min(b.tokens, b.burst)
}

// sweep drops full buckets.
func (l *Limiter) sweep(now time.Time) {
	for name, b := range l.buckets {
		b.refill(now)
		if b.tokens >= b.burst {
			delete(l.buckets, name)
		}
	}
}
