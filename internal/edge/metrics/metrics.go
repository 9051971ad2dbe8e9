// Package metrics declares the metrics of entries and agents, and creates those of other
// processes.
//
// Label sets are bounded: classes, results, reasons and agents of the subset
// are labels, organisations are not.
//
// # Usage
//
//	m := metrics.New(prometheus.NewRegistry())
//	m.Requests.WithLabelValues("counter", "completed").Inc()
//
//	f := metrics.Factory{Namespace: "gladegauge_gateway", Buckets: buckets}
//	resumes := f.Counter("resumes_total", "Streams taken up by another upstream.")
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// factory creates the metrics of entries and agents. Its buckets, in seconds, cover times
// from a first token to a long answer.
var factory = Factory{
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
	// Suspects counts the requests that crashed upstreams, by verdict.
	Suspects     *prometheus.GaugeVec
	Watching     prometheus.Gauge
	Hosts        *prometheus.GaugeVec
	Orders       *prometheus.CounterVec
	CertExpiry   prometheus.Gauge
	UpstreamDown prometheus.Gauge
	Leaving      prometheus.Gauge
}

// New registers the metrics in a registry, along with those of the Go runtime and the
// process.
func New(reg *prometheus.Registry) *Metrics {
	m := &Metrics{
		Registry:      reg,
		Requests:      factory.Counters("requests_total", "Requests by class and result.", "class", "result"),
		TargetMissed:  factory.Counters("target_missed_total", "Requests that did not meet their latency target.", "class"),
		FirstToken:    factory.Histograms("first_token_seconds", "Time to the first token.", "class"),
		Completion:    factory.Histograms("completion_seconds", "Time to the complete answer.", "class"),
		Attempts:      factory.Counters("attempts_total", "Attempts by result: granted, refused, lost, unanswered.", "result"),
		Resumes:       factory.Counter("resumes_total", "Answers continued on another upstream."),
		Tokens:        factory.Counters("tokens_total", "Tokens produced, by class.", "class"),
		Wasted:        factory.Counters("wasted_tokens_total", "Tokens of answers that were cancelled or cut off, by class.", "class"),
		Preemptions:   factory.Counter("preemptions_total", "Runs stopped for a higher tier."),
		Queued:        factory.Gauges("queued", "Requests that wait, by class.", "class"),
		Running:       factory.Gauges("running", "Requests that run, by class.", "class"),
		Revision:      factory.Gauge("configuration_revision", "Revision of the configuration in force."),
		Rejected:      factory.Counter("configuration_rejected_total", "Published configurations that were rejected."),
		Conflicts:     factory.Counter("configuration_conflicts_total", "Documents with a revision in force and other content."),
		PlatformCalls: factory.Counters("platform_calls_total", "Calls to the platform by kind and result.", "kind", "result"),
		Suspects:      factory.Gauges("suspects", "Requests suspected of crashing upstreams, by verdict.", "verdict"),
		PeerCalls:     factory.Counters("peer_calls_total", "Calls to other processes by kind and result.", "kind", "result"),
		Watching:      factory.Gauge("watching", "1 if the process watches the platform for its zone."),
		Hosts:         factory.Gauges("hosts_known", "Hosts on the list in force, by role.", "role"),
		Orders:        factory.Counters("orders_total", "Orders to the upstream by result.", "result"),
		CertExpiry:    factory.Gauge("certificate_expiry_seconds", "Time at which the own certificate expires, since 1970."),
		UpstreamDown:  factory.Gauge("upstream_down", "1 while the upstream cannot be reached."),
		Leaving:       factory.Gauge("leaving", "1 while the process stops."),
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
