package metrics

import "github.com/prometheus/client_golang/prometheus"

// Factory creates the metrics of one kind of process.
type Factory struct {
	// Namespace is the prefix of the name of each metric.
	Namespace string
	// Buckets are the upper bounds of every histogram, in seconds.
	Buckets []float64
}

// Counter returns a counter without labels.
func (f Factory) Counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: f.Namespace, Name: name, Help: help})
}

// Counters returns a counter with the given labels.
func (f Factory) Counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: f.Namespace, Name: name, Help: help}, labels)
}

// CounterOf returns a counter whose value is computed when it is collected.
func (f Factory) CounterOf(name, help string, value func() uint64) prometheus.CounterFunc {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: f.Namespace, Name: name, Help: help},
		func() float64 { return float64(value()) })
}

// Gauge returns a gauge without labels.
func (f Factory) Gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: f.Namespace, Name: name, Help: help})
}

// GaugeOf returns a gauge whose value is computed when it is collected.
func (f Factory) GaugeOf(name, help string, value func() uint64) prometheus.GaugeFunc {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: f.Namespace, Name: name, Help: help},
		func() float64 { return float64(value()) })
}

// Gauges returns a gauge with the given labels.
func (f Factory) Gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: f.Namespace, Name: name, Help: help}, labels)
}

// Histogram returns a histogram without labels.
func (f Factory) Histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: f.Namespace, Name: name, Help: help, Buckets: f.Buckets})
}

// Histograms returns a histogram with the given labels.
func (f Factory) Histograms(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: f.Namespace, Name: name, Help: help, Buckets: f.Buckets,
	}, labels)
}
