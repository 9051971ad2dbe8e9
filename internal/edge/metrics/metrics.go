// Package metrics declares the names of all metrics in one place.
//
// Label sets are bounded: classes, results, reasons and agents of the subset
// are labels, organisations are not.
//
// # Usage
//
//	m := metrics.New(prometheus.NewRegistry())
//	m.Requests.WithLabelValues("counter", "completed").Inc()
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

const namespace = "gladegauge"

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
	Watching      prometheus.Gauge
	Hosts         *prometheus.GaugeVec
	Orders        *prometheus.CounterVec
	CertExpiry    prometheus.Gauge
	UpstreamDown  prometheus.Gauge
	Leaving       prometheus.Gauge
}

// New declares the metrics in a registry, with those of the runtime.
func New(reg *prometheus.Registry) *Metrics {
	m := &Metrics{
		Registry:      reg,
		Requests:      counters("requests_total", "Requests by class and result.", "class", "result"),
		TargetMissed:  counters("target_missed_total", "Requests that did not meet their latency target.", "class"),
		FirstToken:    histograms("first_token_seconds", "Time to the first token.", "class"),
		Completion:    histograms("completion_seconds", "Time to the complete answer.", "class"),
		Attempts:      counters("attempts_total", "Attempts by result: granted, refused, lost, unanswered.", "result"),
		Resumes:       counter("resumes_total", "Answers continued on another upstream."),
		Tokens:        counters("tokens_total", "Tokens produced, by class.", "class"),
		Wasted:        counters("wasted_tokens_total", "Tokens of answers that were cancelled or cut off, by class.", "class"),
		Preemptions:   counter("preemptions_total", "Runs stopped for a higher tier."),
		Queued:        gauges("queued", "Requests that wait, by class.", "class"),
		Running:       gauges("running", "Requests that run, by class.", "class"),
		Revision:      gauge("configuration_revision", "Revision of the configuration in force."),
		Rejected:      counter("configuration_rejected_total", "Published configurations that were rejected."),
		Conflicts:     counter("configuration_conflicts_total", "Documents with a revision in force and other content."),
		PlatformCalls: counters("platform_calls_total", "Calls to the platform by kind and result.", "kind", "result"),
		PeerCalls:     counters("peer_calls_total", "Calls to other processes by kind and result.", "kind", "result"),
		Watching:      gauge("watching", "1 if the process watches the platform for its zone."),
		Hosts:         gauges("hosts_known", "Hosts on the list in force, by role.", "role"),
		Orders:        counters("orders_total", "Orders to the upstream by result.", "result"),
		CertExpiry:    gauge("certificate_expiry_seconds", "Time at which the own certificate expires, since 1970."),
		UpstreamDown:  gauge("upstream_down", "1 while the upstream cannot be reached."),
		Leaving:       gauge("leaving", "1 while the process stops."),
	}
	reg.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		m.Requests, m.TargetMissed, m.FirstToken, m.Completion, m.Attempts, m.Resumes,
		m.Tokens, m.Wasted, m.Preemptions, m.Queued, m.Running, m.Revision, m.Rejected,
		m.Conflicts, m.PlatformCalls, m.PeerCalls, m.Watching, m.Hosts, m.Orders,
		m.CertExpiry, m.UpstreamDown, m.Leaving,
	)
	return m
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histograms(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
		Buckets:   []float64{0.01, 0.05, 0.1, 0.25, 0.47, 0.75, 1, 1.5, 2, 3, 5, 10, 30, 60, 300, 600},
	}, labels)
}
