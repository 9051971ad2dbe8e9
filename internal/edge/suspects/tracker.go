// Package suspects holds a process's registry of requests that crash upstreams, and
// converts its observations to and from messages.
//
// The verdicts are those of the core package suspect; this package adds logs, metrics and
// the encoding.
//
// # Usage
//
//	t := suspects.New(registry, log)
//	msg.Suspects = t.NextMessage(now, address, false)
//	t.Receive(now, address, resp.GetSuspects(), 0)
//	if t.Any() { // in any goroutine
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

// Tracker is the registry of one process. Except for Any, it must be used in the control
// goroutine only.
type Tracker struct {
	*suspect.Registry
	log zerolog.Logger
	// known is the number of requests in the registry.
	known atomic.Int64
}

// New returns a Tracker of the registry.
func New(r *suspect.Registry, log zerolog.Logger) *Tracker {
	return &Tracker{Registry: r, log: log}
}

// Any reports whether the registry holds any request. If it holds none, no fingerprint needs
// to be computed. Any is safe for concurrent use.
func (t *Tracker) Any() bool { return t.known.Load() > 0 }

// Failure is a request that failed at an upstream without a complete response.
type Failure struct {
	Print suspect.Print
	// Request is the request's ID, for logs.
	Request      string
	Organisation string
	// Parts are the names of the parts of its prompt that other requests may share.
	Parts []string
	// IncarnationKey identifies the upstream incarnation; Upstream is its name.
	IncarnationKey uint64
	Upstream       string
	// At is when the request failed, Ran the time from sending it to the failure.
	At  time.Time
	Ran time.Duration
}

// ReportCrash records that an upstream crashed while running the request.
func (t *Tracker) ReportCrash(f Failure) {
	t.RecordCrash(f.At, f.Print, f.IncarnationKey, f.Ran)
	t.count()
	t.log.Warn().Str("request", f.Request).Stringer("print", f.Print).Str("upstream", f.Upstream).
		Str("organisation", f.Organisation).Strs("parts", f.Parts).Dur("ran", f.Ran).
		Int("ends", t.Crashes(f.Print)).Stringer("verdict", t.Check(f.At, f.Print)).
		Msg("upstream crashed while running a request")
}

// ReportSuccess records that the request was answered, or ran for long enough.
func (t *Tracker) ReportSuccess(now time.Time, p suspect.Print, request string) {
	if t.RecordSuccess(now, p) {
		t.log.Info().Str("request", request).Stringer("print", p).Msg("suspect: cleared")
	}
}

// Sweep drops expired requests, and sets the gauge of the others by verdict.
func (t *Tracker) Sweep(now time.Time, gauge *prometheus.GaugeVec) {
	t.Registry.Sweep(now)
	t.count()
	quarantined, blocked := t.Counts(now)
	gauge.WithLabelValues(suspect.Quarantined.String()).Set(float64(quarantined))
	gauge.WithLabelValues(suspect.Blocked.String()).Set(float64(blocked))
}

// NextMessage returns the next message to the process at the address; nil if it is empty.
// If own is set, it leaves out observations received from others.
func (t *Tracker) NextMessage(now time.Time, address string, own bool) *gladegaugev1.SuspectWords {
	return encode(now, t.Registry.NextMessage(address, own))
}

// Receive processes a message from the process at the address, and reports whether it
// contained new evidence. All its observations are attributed to witness, the hash of the
// sender, or keep their witnesses if it is 0.
func (t *Tracker) Receive(now time.Time, address string, msg *gladegaugev1.SuspectWords, witness uint64) bool {
	if msg == nil {
		return false
	}
	changed := t.Registry.Receive(now, address, decode(now, msg), witness)
	for _, p := range changed {
		t.log.Info().Stringer("print", p).Str("from", address).
			Int("ends", t.Crashes(p)).Stringer("verdict", t.Check(now, p)).
			Msg("suspect: reported by another process")
	}
	t.count()
	return len(changed) > 0
}

func (t *Tracker) count() { t.known.Store(int64(t.Known())) }
