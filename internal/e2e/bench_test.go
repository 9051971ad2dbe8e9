package e2e

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/gladegauge/gladegauge/internal/standin/service"
)

// BenchmarkOverhead compares calls of a plain service that answers at once:
// directly, and through an entry and an agent.
func BenchmarkOverhead(b *testing.B) {
	s := newStack(b, "salish")
	e := s.entry("entry-1", "a")
	server := httptest.NewServer(service.New(0))
	defer server.Close()
	a := s.agentAt("agent-1", "a", "player-app", server.URL)
	s.ready()
	http.DefaultTransport.(*http.Transport).MaxIdleConnsPerHost = 64
	for _, way := range []struct{ name, url string }{
		{"direct", server.URL + "/register"},
		{"through", e.url("listen") + "/services/player-app/register"},
	} {
		for _, callers := range []int{1, 16} {
			b.Run(way.name+map[int]string{1: "/one-caller", 16: "/16-callers"}[callers], func(b *testing.B) {
				cpu := metric(e, "process_cpu_seconds_total")
				agentCPU := metric(a, "process_cpu_seconds_total")
				times := fire(b, way.url, callers)
				slices.Sort(times)
				b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
				b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
				if way.name == "through" {
					used := metric(e, "process_cpu_seconds_total") - cpu
					b.ReportMetric(float64(len(times))/used, "req/s/entry-core")
					used = metric(a, "process_cpu_seconds_total") - agentCPU
					b.ReportMetric(float64(len(times))/used, "req/s/agent-core")
				}
			})
		}
	}
}

// fire makes b.N calls from a number of callers and returns their times.
func fire(b *testing.B, url string, callers int) []time.Duration {
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
			mine := make([]time.Duration, 0, n)
			for range n {
				start := time.Now()
				if got := send("POST", url, salishKey, `{"id":"x"}`); got.status != http.StatusOK {
					b.Errorf("%d %s %v", got.status, got.body, got.err)
					return
				}
				mine = append(mine, time.Since(start))
			}
			mu.Lock()
			defer mu.Unlock()
			times = append(times, mine...)
		})
	}
	wg.Wait()
	return times
}
