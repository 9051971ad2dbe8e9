package e2e

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
	"github.com/gladegauge/gladegauge/internal/standin/service"
)

// BenchmarkOverhead compares calls of a plain service without latency: direct calls, and
// calls through an entry and an agent.
func BenchmarkOverhead(b *testing.B) {
	s := newStack(b, "salish")
	e := s.entry("entry-1", "a")
	server := httptest.NewServer(service.New(0))
	defer server.Close()
	a := s.agentAt("agent-1", "a", "player-app", server.URL)
	s.ready()
	http.DefaultTransport.(*http.Transport).MaxIdleConnsPerHost = 64
	for _, target := range []struct{ name, url string }{
		{"direct", server.URL + "/register"},
		{"through", e.url("listen") + "/services/player-app/register"},
	} {
		for _, callers := range []int{1, 16} {
			b.Run(target.name+map[int]string{1: "/one-caller", 16: "/16-callers"}[callers], func(b *testing.B) {
				cpu := metric(e, "process_cpu_seconds_total")
				agentCPU := metric(a, "process_cpu_seconds_total")
				times := runCalls(b, target.url, callers)
				slices.Sort(times)
				b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
				b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
				if target.name == "through" {
					used := metric(e, "process_cpu_seconds_total") - cpu
					b.ReportMetric(float64(len(times))/used, "req/s/entry-core")
					used = metric(a, "process_cpu_seconds_total") - agentCPU
					b.ReportMetric(float64(len(times))/used, "req/s/agent-core")
				}
			})
		}
	}
}

// runCalls makes b.N calls from several concurrent callers and returns their latencies.
func runCalls(b *testing.B, url string, callers int) []time.Duration {
	var mu sync.Mutex
	var times []time.Duration
	b.SetParallelism(1)
	b.ResetTimer()
	var wg sync.WaitGroup
	for i := range callers {
		n := b.N / callers
		if i < b.N%callers {
			n++
		}
		wg.Go(func() {
			callerTimes := make([]time.Duration, 0, n)
			for range n {
				start := time.Now()
				if got := send("POST", url, salishKey, `{"id":"x"}`); got.status != http.StatusOK {
					b.Errorf("%d %s %v", got.status, got.body, got.err)
					return
				}
				callerTimes = append(callerTimes, time.Since(start))
			}
			mu.Lock()
			defer mu.Unlock()
			times = append(times, callerTimes...)
		})
	}
	wg.Wait()
	return times
}

// BenchmarkFullSize runs one entry with a configuration and host lists of the maximum
// supported size, and reports the cost of the control plane. The other processes on the
// lists do not exist.
func BenchmarkFullSize(b *testing.B) {
	s := newStack(b, "salish")
	for i := range 6400 {
		key := config.HashKey(fmt.Sprint("full-", i))
		s.doc.Organisations = append(s.doc.Organisations, &gladegaugev1.Organisation{
			Name: fmt.Sprint("organisation-", i), RatePerSecond: 10, KeySha256: []string{fmt.Sprintf("%x", key[:])},
			Defaults: []*gladegaugev1.DefaultClass{{Model: judge, Class: "ruling"}},
		})
	}
	for i := range 35 {
		s.doc.Pools = append(s.doc.Pools, &gladegaugev1.Pool{
			Name: fmt.Sprint("pool-", i), Kind: gladegaugev1.PoolKind_POOL_KIND_MODEL, Model: fmt.Sprint("model-", i),
			Slots: 64, Classes: []string{"ruling", "decklist", "event-report"},
		})
	}
	s.doc.Revision++
	s.publishConfig()
	e := s.entry("entry-1", "a")
	// A process that is not on the list watches the platform itself.
	s.procs = nil
	for i := range 4300 {
		h := &gladegaugev1.Host{Id: fmt.Sprint("absent-", i), Zone: string(rune('a' + i%2)), Address: "127.0.0.1:1", Role: gladegaugev1.Role_ROLE_ENTRY}
		if i >= 800 {
			h.Role, h.Pool = gladegaugev1.Role_ROLE_AGENT, fmt.Sprint("pool-", i%35)
		}
		s.procs = append(s.procs, &proc{host: h})
	}
	s.publishHosts()
	eventually(b, "the entry knows all hosts", func() bool { return metric(e, "gladegauge_hosts_known") >= 4300 })
	b.ResetTimer()
	const window = 20 * time.Second
	cpu, sent := metric(e, "process_cpu_seconds_total"), time.Now()
	revision := float64(s.doc.GetRevision())
	changes := 0
	for time.Since(sent) < window {
		s.doc.Revision++
		s.doc.Organisations[100+changes].RatePerSecond = 11
		s.publishConfig()
		changes++
		want := revision + float64(changes)
		eventually(b, "the change is in force", func() bool { return metric(e, "gladegauge_configuration_revision") == want })
		<-time.After(time.Second)
	}
	used := metric(e, "process_cpu_seconds_total") - cpu
	b.ReportMetric(100*used/time.Since(sent).Seconds(), "%core")
	b.ReportMetric(float64(changes)/time.Since(sent).Seconds(), "changes/s")
	b.ReportMetric(metric(e, "go_memstats_heap_alloc_bytes")/(1<<20), "MB-heap")
	b.ReportMetric(metric(e, "process_resident_memory_bytes")/(1<<20), "MB-resident")
}

// BenchmarkSteadyMemory keeps 200 streams running for a minute and reports the resident
// memory of the processes after ten seconds and at the end.
func BenchmarkSteadyMemory(b *testing.B) {
	s := newStack(b, "salish")
	for _, p := range s.doc.GetPools() {
		p.Slots = 256
	}
	s.doc.Revision++
	s.publishConfig()
	s.responseDelay = 10 * time.Millisecond
	e := s.entry("entry-1", "a")
	a := s.agent("agent-1", "a", "judge-model")
	s.ready()
	http.DefaultTransport.(*http.Transport).MaxIdleConnsPerHost = 256
	end := time.Now().Add(time.Minute)
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				prompt := fmt.Sprint("question ", i, n)
				got := send("POST", e.url("listen")+"/v1/chat/completions", salishKey, chatBody(prompt, 100, true))
				if text, complete := streamText(got.body); !complete || text != expectedText(prompt, 100) {
					b.Errorf("stream %d %d: %d", i, n, got.status)
					return
				}
			}
		})
	}
	resident := func(p *proc) float64 { return metric(p, "process_resident_memory_bytes") / (1 << 20) }
	<-time.After(10 * time.Second)
	b.ReportMetric(resident(e), "MB-entry-10s")
	b.ReportMetric(resident(a), "MB-agent-10s")
	wg.Wait()
	b.ReportMetric(resident(e), "MB-entry-60s")
	b.ReportMetric(resident(a), "MB-agent-60s")
	b.ReportMetric(metric(e, `gladegauge_requests_total`), "requests")
	b.ReportMetric(metric(e, "process_cpu_seconds_total")/60*100, "%core-entry")
	b.ReportMetric(metric(a, "process_cpu_seconds_total")/60*100, "%core-agent")
	b.ReportMetric(metric(a, "gladegauge_tokens_total")/60, "tokens/s")
}
