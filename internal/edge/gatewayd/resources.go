package gatewayd

import (
	"runtime/metrics"
	"time"
)

// resourcesInterval is the interval at which a gateway logs its resource usage.
const resourcesInterval = 10 * time.Second

// Names of the runtime's metrics (package runtime/metrics).
const (
	heapMetric       = "/memory/classes/heap/objects:bytes"
	heapUnusedMetric = "/memory/classes/heap/unused:bytes"
	heapFreeMetric   = "/memory/classes/heap/free:bytes"
	stacksMetric     = "/memory/classes/heap/stacks:bytes"
	metadataMetric   = "/memory/classes/metadata/other:bytes"
	liveMetric       = "/gc/heap/live:bytes"
	goroutinesMetric = "/sched/goroutines:goroutines"
	collectorMetric  = "/cpu/classes/gc/total:cpu-seconds"
	userMetric       = "/cpu/classes/user:cpu-seconds"
)

// logResources logs the memory and CPU time of the process in bytes and seconds, the bytes
// of its calls to other gateways by kind, and the number of log lines dropped since the
// start. It runs in the control loop.
func (s *Server) logResources(time.Time) {
	var dropped uint64
	if s.o.LogsDropped != nil {
		dropped = s.o.LogsDropped()
	}
	samples := []metrics.Sample{
		{Name: heapMetric}, {Name: heapUnusedMetric}, {Name: heapFreeMetric}, {Name: stacksMetric},
		{Name: metadataMetric}, {Name: liveMetric}, {Name: goroutinesMetric},
		{Name: collectorMetric}, {Name: userMetric},
	}
	metrics.Read(samples)
	s.log.Info().
		Uint64("heap", samples[0].Value.Uint64()).
		Uint64("heap_unused", samples[1].Value.Uint64()).
		Uint64("heap_free", samples[2].Value.Uint64()).
		Uint64("stacks", samples[3].Value.Uint64()).
		Uint64("metadata", samples[4].Value.Uint64()).
		Uint64("live", samples[5].Value.Uint64()).
		Uint64("goroutines", samples[6].Value.Uint64()).
		Float64("collector_s", samples[7].Value.Float64()).
		Float64("user_s", samples[8].Value.Float64()).
		Int("gateways", s.gateways).
		Dict("peer_sent", s.peerTransport.byteTotals(directionSent)).
		Dict("peer_received", s.peerTransport.byteTotals(directionReceived)).
		Uint64("lines_dropped", dropped).
		Msg("resources")
}
