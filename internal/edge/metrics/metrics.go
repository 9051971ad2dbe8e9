// Package metrics declares the metrics of entries and agents, and makes those of
// other processes.
//
// Label sets are bounded: classes, results, reasons and agents of the subset
// are labels, organisations are not.
//
// # Usage
//
//	m := metrics.New(prometheus.NewRegistry())
//	m.Requests.WithLabelValues("counter", "completed").Inc()
//
//	f := metrics.Family{Namespace: "gladegauge_gateway", Buckets: buckets}
//	resumes := f.Counter("resumes_total", "Streams taken up by another upstream.")
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// family is that of entries and agents.
// Its times are in seconds, from a first token to a long answer.
var family = Family{
	Namespace: "gladegauge",
	Buckets:   []float64{0.01, 0.05, 0.1, 0.25, 0.47, 0.75, 1, 1.5, 2, 3, 5, 10, 30, 60, 300, 600},
}

// Metrics are the metrics of one process.
type Metrics struct {
	Registry *prometheus.Registry

	Requests      *prometheus.CounterVec
	TargetMissed  *prometheus.CounterVec
	FirstToken    *prometheus.HistogramVec
	Completion    *prometheus.HistogramVec
	Attempts      *prometheus.CounterVec
	Resumes       prometheus.Counter
	Tokens        *prometheus.CounterVec
	Wasted        *prometheus.CounterVec
	Preemptions   prometheus.Counter
	Queued        *prometheus.GaugeVec
	Running       *prometheus.GaugeVec
	Revision      prometheus.Gauge
	Rejected      prometheus.Counter
	Conflicts     prometheus.Counter
	PlatformCalls *prometheus.CounterVec
	PeerCalls     *prometheus.CounterVec
	// Suspects are the requests under which upstreams ended, by verdict.
	Suspects     *prometheus.GaugeVec
	Watching     prometheus.Gauge
	Hosts        *prometheus.GaugeVec
	Orders       *prometheus.CounterVec
	CertExpiry   prometheus.Gauge
	UpstreamDown prometheus.Gauge
	Leaving      prometheus.Gauge
}

// New declares the metrics in a registry, with those of the runtime.
func New(reg *prometheus.Registry) *Metrics {
	m := &Metrics{
		Registry:      reg,
		Requests:      family.Counters("requests_total", "Requests by class and result.", "class", "result"),
		TargetMissed:  family.Counters("target_missed_total", "Requests that did not meet their latency target.", "class"),
		FirstToken:    family.Histograms("first_token_seconds", "Time to the first token.", "class"),
		Completion:    family.Histograms("completion_seconds", "Time to the complete answer.", "class"),
		Attempts:      family.Counters("attempts_total", "Attempts by result: granted, refused, lost, unanswered.", "result"),
		Resumes:       family.Counter("resumes_total", "Answers continued on another upstream."),
		Tokens:        family.Counters("tokens_total", "Tokens produced, by class.", "class"),
		Wasted:        family.Counters("wasted_tokens_total", "Tokens of answers that were cancelled or cut off, by class.", "class"),
		Preemptions:   family.Counter("preemptions_total", "Runs stopped for a higher tier."),
		Queued:        family.Gauges("queued", "Requests that wait, by class.", "class"),
		Running:       family.Gauges("running", "Requests that run, by class.", "class"),
		Revision:      family.Gauge("configuration_revision", "Revision of the configuration in force."),
		Rejected:      family.Counter("configuration_rejected_total", "Published configurations that were rejected."),
		Conflicts:     family.Counter("configuration_conflicts_total", "Documents with a revision in force and other content."),
		PlatformCalls: family.Counters("platform_calls_total", "Calls to the platform by kind and result.", "kind", "result"),
		Suspects:      family.Gauges("suspects", "Requests under which upstreams ended one after the other, by verdict.", "verdict"),
		PeerCalls:     family.Counters("peer_calls_total", "Calls to other processes by kind and result.", "kind", "result"),
		Watching:      family.Gauge("watching", "1 if the process watches the platform for its zone."),
		Hosts:         family.Gauges("hosts_known", "Hosts on the list in force, by role.", "role"),
		Orders:        family.Counters("orders_total", "Orders to the upstream by result.", "result"),
		CertExpiry:    family.Gauge("certificate_expiry_seconds", "Time at which the own certificate expires, since 1970."),
		UpstreamDown:  family.Gauge("upstream_down", "1 while the upstream cannot be reached."),
		Leaving:       family.Gauge("leaving", "1 while the process stops."),
	}
	reg.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		m.Requests, m.TargetMissed, m.FirstToken, m.Completion, m.Attempts, m.Resumes,
		m.Tokens, m.Wasted, m.Preemptions, m.Queued, m.Running, m.Revision, m.Rejected,
		m.Conflicts, m.PlatformCalls, m.PeerCalls, m.Suspects, m.Watching, m.Hosts, m.Orders,
		m.CertExpiry, m.UpstreamDown, m.Leaving,
	)
	return m
}
