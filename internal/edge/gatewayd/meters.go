package gatewayd

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const namespace = "gladegauge_gateway"

// meters are the metrics of a gateway. Routes and upstreams come and go, so
// neither is a label.
type meters struct {
	registry    *prometheus.Registry
	requests    *prometheus.CounterVec
	refusals    *prometheus.CounterVec
	attempts    *prometheus.CounterVec
	storeCalls  *prometheus.CounterVec
	firstByte   *prometheus.HistogramVec
	completion  *prometheus.HistogramVec
	inTime      *prometheus.CounterVec
	connections prometheus.Counter
	resumes     prometheus.Counter
	faults      prometheus.Counter
	version     prometheus.Gauge
	upstreams   prometheus.Gauge
}

// latencyBuckets are in seconds, from a short call to a long stream.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8, 16}

func newMeters(logsDropped func() uint64) *meters {
	m := &meters{
		registry:    prometheus.NewRegistry(),
		requests:    counters("requests_total", "Requests by kind and result.", "kind", "result"),
		refusals:    counters("refusals_total", "Requests refused by the gateway, by reason.", "reason"),
		attempts:    counters("attempts_total", "Attempts at upstreams by outcome.", "outcome"),
		storeCalls:  counters("store_calls_total", "Calls to the platform's store by kind and result.", "call", "result"),
		inTime:      counters("in_time_total", "Answers whose first byte came within the route's target, by kind.", "kind"),
		firstByte:   histograms("first_byte_seconds", "Time to the first event or to the answer's head.", "kind"),
		completion:  histograms("completion_seconds", "Time to the complete answer.", "kind"),
		connections: counter("connections_total", "Connections opened to upstreams."),
		resumes:     counter("resumes_total", "Streams taken up by another upstream."),
		faults:      counter("store_faults_total", "Published values that could not be read."),
		version:     gauge("configuration_version", "Version of the configuration in force."),
		upstreams:   gauge("upstreams", "Upstreams on the list."),
	}
	m.registry.MustRegister(m.requests, m.refusals, m.attempts, m.storeCalls, m.inTime, m.firstByte,
		m.completion, m.connections, m.resumes, m.faults, m.version, m.upstreams)
	if logsDropped != nil {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "log_lines_dropped_total", Help: "Log lines that did not fit the buffer.",
		}, func() float64 { return float64(logsDropped()) }))
	}
	return m
}

func (m *meters) storeCall(call, result string) {
	m.storeCalls.WithLabelValues(call, result).Inc()
}

func (m *meters) seconds(h *prometheus.HistogramVec, kind string, d time.Duration) {
	h.WithLabelValues(kind).Observe(d.Seconds())
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

func histograms(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets,
	}, labels)
}
