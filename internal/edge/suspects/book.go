// Package suspects keeps a process's register of requests under which upstreams end,
// and carries its words in messages.
//
// Package suspect of the core decides; this one logs, counts and translates.
//
// # Usage
//
//	b := suspects.New(register, log)
//	msg.Suspects = b.Tell(now, address, false)
//	b.Hear(now, address, resp.GetSuspects(), 0)
//	if b.Any() { // in any goroutine
//		print := suspect.PrintOf(content)
//	}
package suspects

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/gladegauge/gladegauge/internal/core/suspect"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// SoundFor is how long after the first event of a stream it is taken to do its upstream
// no harm. Upstreams ended 30 to 250 ms after they began to run what ended them.
const SoundFor = 2 * time.Second

// ProbeTimeout bounds the look whether an upstream that closed a connection still
// listens: its host lives, so that it answers within a round trip.
const ProbeTimeout = 100 * time.Millisecond

// Book is the register of one process. But for Any, it belongs to the control
// goroutine.
type Book struct {
	*suspect.Registry
	log zerolog.Logger
	// known is the number of requests that are remembered.
	known atomic.Int64
}

// New returns a book of the register.
func New(r *suspect.Registry, log zerolog.Logger) *Book {
	return &Book{Registry: r, log: log}
}

// Any reports whether any request is remembered: if none is, nothing needs a print. It
// is safe for concurrent use.
func (b *Book) Any() bool { return b.known.Load() > 0 }

// Lost is a request that broke off at an upstream.
type Lost struct {
	Print suspect.Print
	// Request is its identity, for the logs.
	Request      string
	Organisation string
	// Start is the start of the upstream, and Upstream its name.
	Start    uint64
	Upstream string
	// At is when the request broke off, Ran how long before it had been sent.
	At  time.Time
	Ran time.Duration
}

// EndedUnder notes that an upstream ended under the request.
func (b *Book) EndedUnder(l Lost) {
	b.RecordCrash(l.At, l.Print, l.Start, l.Ran)
	b.count()
	b.log.Warn().Str("request", l.Request).Stringer("print", l.Print).Str("upstream", l.Upstream).
		Str("organisation", l.Organisation).Dur("ran", l.Ran).
		Int("ends", b.Crashes(l.Print)).Stringer("verdict", b.Check(l.At, l.Print)).
		Msg("upstream ended under a request")
}

// Clear notes that the request was answered, or ran for long.
func (b *Book) Clear(now time.Time, p suspect.Print, request string) {
	if b.RecordSuccess(now, p) {
		b.log.Info().Str("request", request).Stringer("print", p).Msg("suspect: cleared")
	}
}

// Sweep forgets old requests, and sets the gauge of the others by verdict.
func (b *Book) Sweep(now time.Time, gauge *prometheus.GaugeVec) {
	b.Registry.Sweep(now)
	b.count()
	quarantined, blocked := b.Counts(now)
	gauge.WithLabelValues(suspect.Quarantined.String()).Set(float64(quarantined))
	gauge.WithLabelValues(suspect.Blocked.String()).Set(float64(blocked))
}

// Tell returns the next message to the process at the address; nil if it says
// nothing.
func (b *Book) Tell(now time.Time, address string, own bool) *gladegaugev1.SuspectWords {
	return encode(now, b.Registry.Tell(address, own))
}

// Hear takes a message from the process at the address, and reports whether it was
// news. Witness is the hash of one whose words are its own only; 0 for one that passes
// on words of others.
func (b *Book) Hear(now time.Time, address string, msg *gladegaugev1.SuspectWords, witness uint64) bool {
	if msg == nil {
		return false
	}
	news := b.Registry.Hear(now, address, decode(now, msg), witness)
	for _, p := range news {
		b.log.Info().Stringer("print", p).Str("from", address).
			Int("ends", b.Crashes(p)).Stringer("verdict", b.Check(now, p)).
			Msg("suspect: told")
	}
	b.count()
	return len(news) > 0
}

func (b *Book) count() { b.known.Store(int64(b.Known())) }
