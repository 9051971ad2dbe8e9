// Package suspects holds a process's registry of requests that crash upstreams, and
// converts its observations to and from messages.
//
// The verdicts are those of the core package suspect; this package adds logs, metrics and
// the encoding.
//
// # Usage
//
//	b := suspects.New(registry, log)
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

// HarmlessAfter is the time from the first event of a stream after which its request counts
// as harmless. Upstreams crashed 30 to 250 ms after they began to run the request that was
// the cause.
const HarmlessAfter = 2 * time.Second

// ProbeTimeout bounds the probe whether an upstream that closed a connection still listens.
// Its host is up, so it responds within a round trip.
const ProbeTimeout = 100 * time.Millisecond

// Book is the registry of one process. Except for Any, it must be used in the control
// goroutine only.
type Book struct {
	*suspect.Registry
	log zerolog.Logger
	// known is the number of requests in the registry.
	known atomic.Int64
}

// New returns a Book of the registry.
func New(r *suspect.Registry, log zerolog.Logger) *Book {
	return &Book{Registry: r, log: log}
}

// Any reports whether the registry holds any request. If it holds none, no fingerprint needs
// to be computed. Any is safe for concurrent use.
func (b *Book) Any() bool { return b.known.Load() > 0 }

// Failure is a request that failed at an upstream without a complete response.
type Failure struct {
	Print suspect.Print
	// Request is the request's ID, for logs.
	Request      string
	Organisation string
	// Start identifies the upstream instance; Upstream is its name.
	Start    uint64
	Upstream string
	// At is when the request failed, Ran the time from sending it to the failure.
	At  time.Time
	Ran time.Duration
}

// ReportCrash records that an upstream crashed while running the request.
func (b *Book) ReportCrash(f Failure) {
	b.RecordCrash(f.At, f.Print, f.Start, f.Ran)
	b.count()
	b.log.Warn().Str("request", f.Request).Stringer("print", f.Print).Str("upstream", f.Upstream).
		Str("organisation", f.Organisation).Dur("ran", f.Ran).
		Int("ends", b.Crashes(f.Print)).Stringer("verdict", b.Check(f.At, f.Print)).
		Msg("upstream crashed while running a request")
}

// ReportSuccess records that the request was answered, or ran for long enough.
func (b *Book) ReportSuccess(now time.Time, p suspect.Print, request string) {
	if b.RecordSuccess(now, p) {
		b.log.Info().Str("request", request).Stringer("print", p).Msg("suspect: cleared")
	}
}

// Sweep drops expired requests, and sets the gauge of the others by verdict.
func (b *Book) Sweep(now time.Time, gauge *prometheus.GaugeVec) {
	b.Registry.Sweep(now)
	b.count()
	quarantined, blocked := b.Counts(now)
	gauge.WithLabelValues(suspect.Quarantined.String()).Set(float64(quarantined))
	gauge.WithLabelValues(suspect.Blocked.String()).Set(float64(blocked))
}

// Tell returns the next message to the process at the address; nil if it is empty. If own is
// set, it leaves out observations received from others.
func (b *Book) Tell(now time.Time, address string, own bool) *gladegaugev1.SuspectWords {
	return encode(now, b.Registry.Tell(address, own))
}

// Hear processes a message from the process at the address, and reports whether it contained
// new evidence. All its observations are attributed to witness, the hash of the sender, or
// keep their witnesses if it is 0.
func (b *Book) Hear(now time.Time, address string, msg *gladegaugev1.SuspectWords, witness uint64) bool {
	if msg == nil {
		return false
	}
	changed := b.Registry.Hear(now, address, decode(now, msg), witness)
	for _, p := range changed {
		b.log.Info().Stringer("print", p).Str("from", address).
			Int("ends", b.Crashes(p)).Stringer("verdict", b.Check(now, p)).
			Msg("suspect: reported by another process")
	}
	b.count()
	return len(changed) > 0
}

func (b *Book) count() { b.known.Store(int64(b.Known())) }
