// Package suspects holds a process's registry of requests and parts of prompts that crash
// upstreams, and converts its observations to and from messages.
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
//		q := suspect.Request{Print: suspect.PrintOf(content), Parts: parts}
//	}
package suspects

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/gladegauge/gladegauge/internal/core/suspect"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// HarmlessAfter is the time from the first event of a stream after which its request is not
// taken as the cause of a crash. Upstreams crashed 30 to 250 ms after they began to run the
// request that was the cause.
const HarmlessAfter = 2 * time.Second

// ProbeTimeout bounds the probe whether an upstream that closed a connection still listens.
// Its host is up, so it responds within a round trip.
const ProbeTimeout = 100 * time.Millisecond

// Tracker is the registry of one process. Except for Any, it must be used in the control
// goroutine only.
type Tracker struct {
	*suspect.Registry
	log zerolog.Logger
	// known is the number of fingerprints in the registry.
	known atomic.Int64
}

// New returns a Tracker of the registry.
func New(r *suspect.Registry, log zerolog.Logger) *Tracker {
	return &Tracker{Registry: r, log: log}
}

// Any reports whether the registry holds any fingerprint. If it holds none, no request needs
// to be checked. Any is safe for concurrent use.
func (t *Tracker) Any() bool { return t.known.Load() > 0 }

// Failure is a request that failed at an upstream without a complete response.
type Failure struct {
	Suspect suspect.Request
	// Request is the request's ID, for logs.
	Request      string
	Organisation string
	// Parts are the names of the first parts of its prompt that other requests may share, in
	// the order of Suspect.Parts.
	Parts []string
	// IncarnationKey identifies the upstream incarnation; Upstream is its name.
	IncarnationKey uint64
	Upstream       string
	// At is when the request failed, Ran the time from sending it to the failure.
	At  time.Time
	Ran time.Duration
	// Answered is true if the response looked complete, but ended with its connection, so that
	// the end of the upstream would look the same.
	Answered bool
}

// PartName returns the name of the part with the fingerprint; empty if it is the fingerprint of
// the whole request, or of a part whose name was not kept.
func PartName(q suspect.Request, names []string, p suspect.Print) string {
	if i := slices.Index(q.Parts, p); i >= 0 && i < len(names) {
		return names[i]
	}
	return ""
}

// ReportCrash records that an upstream crashed while running the request.
func (t *Tracker) ReportCrash(f Failure) {
	t.RecordCrash(f.At, f.Suspect, f.IncarnationKey, f.Ran)
	t.count()
	j := t.Check(f.At, f.Suspect)
	t.log.Warn().Str("request", f.Request).Stringer("print", f.Suspect.Print).Str("upstream", f.Upstream).
		Str("organisation", f.Organisation).Strs("parts", f.Parts).Dur("ran", f.Ran).Bool("answered", f.Answered).
		Int("ends", j.Crashes).Stringer("verdict", j.Verdict).
		Stringer("cause", j.Print).Str("part", PartName(f.Suspect, f.Parts, j.Print)).
		Msg("upstream crashed while running a request")
}

// ReportSuccess records that the request was answered to its end, and had been sent that long
// before.
func (t *Tracker) ReportSuccess(now time.Time, q suspect.Request, ran time.Duration, request string) {
	for _, p := range t.RecordSuccess(now, q, ran) {
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
			Int("ends", t.Crashes(now, p)).
			Msg("suspect: reported by another process")
	}
	t.count()
	return len(changed) > 0
}

func (t *Tracker) count() { t.known.Store(int64(t.Known())) }
