package gatewayd

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/ingress"
	"github.com/gladegauge/gladegauge/internal/edge/metrics"
)

// factory creates the metrics of the gateway. Its buckets are in seconds, from a short call
// to a long stream.
var factory = metrics.Factory{
	Namespace: "gladegauge_gateway",
	Buckets:   []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8, 16},
}

// admissionFactory creates the metrics of admission to plain services. Its buckets are in
// seconds, up to several times the target of a short call.
var admissionFactory = metrics.Factory{
	Namespace: "gladegauge",
	Buckets:   []float64{0.001, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1},
}

// serverMetrics are the metrics of a gateway. Routes and upstreams come and go, so neither
// is a label.
type serverMetrics struct {
	registry    *prometheus.Registry
	requests    *prometheus.CounterVec
	refusals    *prometheus.CounterVec
	attempts    *prometheus.CounterVec
	storeCalls  *prometheus.CounterVec
	firstByte   *prometheus.HistogramVec
	completion  *prometheus.HistogramVec
	inTime      *prometheus.CounterVec
	connections prometheus.Counter
	reused      prometheus.Counter
	// skippedBytes counts the bytes of bodies that belonged to other requests.
	skippedBytes prometheus.Counter
	resumes      prometheus.Counter
	continues    prometheus.Counter
	// callerResumes counts the streams that callers resumed, by how their version became known, and
	// reportsDropped the reports of streams that did not fit the queue.
	callerResumes  *prometheus.CounterVec
	reportsDropped prometheus.Counter
	faults         prometheus.Counter
	// softwareVersions is the number of software versions that the upstreams of each pool
	// state.
	softwareVersions *prometheus.GaugeVec
	version          prometheus.Gauge
	// epoch and revision are the position in the store up to which it is known.
	epoch     prometheus.Gauge
	revision  prometheus.Gauge
	upstreams prometheus.Gauge
	// unused is the number of listed upstreams that get no requests, by reason.
	unused *prometheus.GaugeVec
	// zoneAttempts and zoneUpstreams show which availability zones take the load.
	zoneAttempts  *prometheus.CounterVec
	zoneUpstreams *prometheus.GaugeVec
	peerCalls     *prometheus.CounterVec
	peerBytes     *prometheus.CounterVec
	gateways      prometheus.Gauge
	// ends counts the upstreams that this gateway found ended.
	ends prometheus.Counter
	// invalidEvents counts the attempts in whose stream there were bytes that no run made, by the
	// fault of the first of them.
	invalidEvents *prometheus.CounterVec
	// invalidPaces counts load reports whose pace was out of range and dropped.
	invalidPaces prometheus.Counter
	// notices counts what upstreams reported about themselves in their responses, by kind.
	notices *prometheus.CounterVec
	// retriesDenied counts retries that the retry budget did not allow.
	retriesDenied prometheus.Counter
	// limited is the number of upstreams with a limit.
	limited prometheus.Gauge
	// closedUnread counts callers' connections that were closed unread in a surge.
	closedUnread prometheus.Counter
	// suspects is the number of requests and parts of prompts that upstreams crashed under, by
	// verdict.
	suspects *prometheus.GaugeVec
	// suspectRequests counts the requests that were restricted for such a reason, by verdict.
	suspectRequests *prometheus.CounterVec
	// demandDropped counts summaries of demand, or parts of them, that were dropped, by
	// reason. aboveLevel is the number of organisations above the level of each pool.
	demandDropped *prometheus.CounterVec
	aboveLevel    *prometheus.GaugeVec
	// admissions counts the requests to plain services by decision, admissionWaiting is the
	// number of those that wait, and admissionWait the time that they waited.
	admissions       *prometheus.CounterVec
	admissionWaiting prometheus.Gauge
	admissionWait    prometheus.Histogram
}

func newServerMetrics(logsDropped, viewAge func() uint64) *serverMetrics {
	m := &serverMetrics{
		registry:         prometheus.NewRegistry(),
		requests:         factory.Counters("requests_total", "Requests by kind and result.", "kind", "result"),
		refusals:         factory.Counters("refusals_total", "Requests refused by the gateway, by reason.", "reason"),
		attempts:         factory.Counters("attempts_total", "Attempts at upstreams by outcome.", "outcome"),
		storeCalls:       factory.Counters("store_calls_total", "Calls to the platform's store by kind and result.", "call", "result"),
		inTime:           factory.Counters("in_time_total", "Answers whose first byte came within the route's target, by kind.", "kind"),
		firstByte:        factory.Histograms("first_byte_seconds", "Time to the first event or to the answer's head.", "kind"),
		completion:       factory.Histograms("completion_seconds", "Time to the complete answer.", "kind"),
		connections:      factory.Counter("connections_total", "Connections opened to upstreams."),
		reused:           factory.Counter("connections_reused_total", "Idle connections to upstreams that were used again."),
		skippedBytes:     factory.Counter("skipped_bytes_total", "Bytes of upstreams' answers that belonged to other requests than the one in progress."),
		resumes:          factory.Counter("resumes_total", "Streams resumed by another upstream."),
		continues:        factory.Counter("continues_total", "Streams continued from a backup of their run's memory."),
		callerResumes:    factory.Counters("caller_resumes_total", "Streams that callers resumed after they had broken off, by how their software version became known.", "known"),
		reportsDropped:   factory.Counter("stream_reports_dropped_total", "Reports of streams to other gateways that did not fit the queue."),
		softwareVersions: factory.Gauges("software_versions", "Software versions that the listed upstreams of each pool state.", "pool"),
		faults:           factory.Counter("store_faults_total", "Published values that could not be read."),
		version:          factory.Gauge("configuration_version", "Version of the configuration in force."),
		epoch:            factory.Gauge("store_epoch", "Epoch of the store, which rises when it is restored from a copy."),
		revision:         factory.Gauge("store_revision", "Revision of the store, in its epoch, up to which everything is known."),
		upstreams:        factory.Gauge("upstreams", "Upstreams on the list."),
		unused:           factory.Gauges("upstreams_unused", "Listed upstreams that get no requests because of their entry, by reason.", "reason"),
		zoneAttempts: factory.Counters("zone_attempts_total", "Attempts by availability zone of the upstream and outcome.",
			"zone", "outcome"),
		zoneUpstreams:   factory.Gauges("zone_upstreams", "Upstreams on the list by availability zone and state.", "zone", "state"),
		peerCalls:       factory.Counters("peer_calls_total", "Calls to other gateways by kind and result.", "call", "result"),
		peerBytes:       factory.Counters("peer_bytes_total", "Bytes of the bodies of calls to other gateways, by kind and direction.", "call", "direction"),
		gateways:        factory.Gauge("gateways", "Gateways that share the retry budget."),
		notices:         factory.Counters("upstream_notices_total", "Notices of upstreams about themselves in answers, by kind.", "kind"),
		retriesDenied:   factory.Counter("retries_denied_total", "Attempts not made because this gateway's share of the retry budget was used up."),
		limited:         factory.Gauge("upstreams_limited", "Upstreams that announced a limit of requests per second."),
		suspects:        factory.Gauges("suspects", "Requests and parts of prompts suspected of crashing upstreams, by verdict.", "verdict"),
		suspectRequests: factory.Counters("suspect_requests_total", "Requests quarantined, blocked, or rejected while another one runs, by verdict.", "verdict"),
		demandDropped:   factory.Counters("demand_dropped_total", "Summaries of demand from other gateways, or parts of them, that were dropped, by reason.", "reason"),
		aboveLevel:      factory.Gauges("organisations_above_level", "Organisations that get more than the common level of a contended pool.", "pool"),
		admissions: admissionFactory.Counters("admission_total", "Requests to plain services by kind of pool and decision of the queue.",
			"pool_kind", "decision"),
		admissionWaiting: admissionFactory.Gauge("admission_waiting", "Requests to plain services that wait in a queue of the gateway."),
		admissionWait:    admissionFactory.Histogram("admission_wait_seconds", "Time that requests to plain services waited in a queue of the gateway, until they were sent or rejected."),
		invalidEvents:    factory.Counters("invalid_events_total", "Attempts in whose stream the upstream sent bytes that no run of the request made, by the fault of the first of them.", "reason"),
		invalidPaces:     factory.Counter("invalid_pace_reports_total", "Load reports of upstreams whose pace was out of range and dropped."),
		closedUnread:     factory.Counter("connections_closed_unread_total", "Callers' new connections that were closed unread because the gateway could not keep up."),
		ends:             factory.Counter("upstream_ends_total", "Listed upstreams that were found to have ended."),
	}
	m.registry.MustRegister(m.requests, m.refusals, m.attempts, m.storeCalls, m.inTime, m.firstByte,
		m.completion, m.connections, m.resumes, m.continues, m.faults, m.version, m.epoch, m.revision, m.upstreams, m.peerCalls, m.peerBytes, m.gateways,
		m.zoneAttempts, m.zoneUpstreams, m.ends, m.notices, m.retriesDenied, m.limited, m.suspects, m.suspectRequests, m.closedUnread, m.demandDropped, m.aboveLevel,
		m.admissions, m.admissionWaiting, m.admissionWait, m.invalidPaces, m.invalidEvents, m.reused, m.callerResumes, m.softwareVersions, m.reportsDropped, m.unused, m.skippedBytes)
	m.registry.MustRegister(factory.GaugeOf("view_age_milliseconds", "Time since the configuration in force was proved to be the newest.", viewAge))
	if logsDropped != nil {
		m.registry.MustRegister(factory.CounterOf("log_lines_dropped_total", "Log lines that did not fit the buffer.", logsDropped))
	}
	return m
}

func (m *serverMetrics) storeCall(call, result string) {
	m.storeCalls.WithLabelValues(call, result).Inc()
}

// peerCall counts a call to another gateway.
func (m *serverMetrics) peerCall(call string, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	m.peerCalls.WithLabelValues(call, result).Inc()
}

// States of the upstreams that are counted by availability zone.
const (
	stateReady   = "ready"
	stateLeaving = "leaving"
	// stateSaysLeaving is the state of upstreams that are listed as ready but have
	// announced in a response that they are leaving.
	stateSaysLeaving = "says_leaving"
	// stateEvacuated is the state of upstreams that get no new requests because their
	// availability zone is evacuated.
	stateEvacuated = "evacuated"
)

// attempt counts an attempt that ended.
func (m *serverMetrics) attempt(c balance.Choice, o balance.Outcome) {
	m.attempts.WithLabelValues(o.String()).Inc()
	m.zoneAttempts.WithLabelValues(c.Zone, o.String()).Inc()
}

// list counts the listed upstreams. SaysLeaving reports whether an upstream has announced
// in a response that it is leaving.
func (m *serverMetrics) list(list []balance.Instance, saysLeaving func(id string) bool) {
	m.upstreams.Set(float64(len(list)))
	m.countVersions(list)
	m.zoneUpstreams.Reset()
	for _, in := range list {
		state := stateReady
		switch {
		case in.Leaving:
			state = stateLeaving
		case saysLeaving(in.ID):
			state = stateSaysLeaving
		case in.Evacuated:
			state = stateEvacuated
		}
		m.zoneUpstreams.WithLabelValues(in.Zone, state).Inc()
	}
}

// countVersions counts the software versions of each pool.
func (m *serverMetrics) countVersions(list []balance.Instance) {
	versions := make(map[string]map[string]bool)
	for _, in := range list {
		if versions[in.Pool] == nil {
			versions[in.Pool] = make(map[string]bool)
		}
		versions[in.Pool][in.Version] = true
	}
	m.softwareVersions.Reset()
	for pool, set := range versions {
		m.softwareVersions.WithLabelValues(pool).Set(float64(len(set)))
	}
}

// viewAgeMs returns the time since the configuration in force was last proved to be the
// newest, in whole milliseconds; 0 without a proof.
func viewAgeMs(v *ingress.View, now time.Time) uint64 {
	if v.Table == nil || v.NewestAt.IsZero() {
		return 0
	}
	return uint64(max(0, v.Age(now).Milliseconds()))
}

// observe records the duration of one response.
func observe(h *prometheus.HistogramVec, kind string, d time.Duration) {
	h.WithLabelValues(kind).Observe(d.Seconds())
}
