package balance

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/occupancy"
)

// In a long-running fleet each gateway is told of all parts that its engines read. Parts
// that are no longer assumed to be cached must expire; otherwise the model grows to all
// parts that the engines' memories could ever have held.
func TestPartsExpire(t *testing.T) {
	for _, engines := range []int{60, 120} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) {
			is := is.New(t)
			const perSecond, seconds = 400, 90
			var list []Instance
			for i := range engines {
				list = append(list, Instance{ID: fmt.Sprint("i-", i), Address: fmt.Sprint("a-", i), Pool: "p", Slots: 64})
			}
			table := New("a")
			table.SetInstances(t0, list)
			for s := range seconds {
				now := t0.Add(time.Duration(s) * time.Second)
				parts := make([]occupancy.Part, perSecond)
				for i := range parts {
					n := uint64(s*perSecond + i)
					parts[i] = occupancy.Part{Upstream: list[n%uint64(engines)].IncarnationKey(), Key: n, Tokens: 100, Read: true}
				}
				table.AddPeerParts(now, parts)
				table.ExpireParts(now)
			}
			kept := 0
			for _, u := range table.upstreams {
				kept += len(u.cache.parts)
				sum := 0
				for _, part := range u.cache.parts {
					sum += int(part.tokens)
				}
				is.Equal(sum, u.cache.tokens)
			}
			most := perSecond * (int(cacheTTL/time.Second) + expireBatches + 1)
			is.True(kept <= most)
			is.True(kept >= perSecond*int(cacheTTL/time.Second))
		})
	}
}

// BenchmarkPartsMemory measures the memory of a part in the cache model, in bytes.
func BenchmarkPartsMemory(b *testing.B) {
	const parts = 1000
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	caches := make([]*cache, b.N)
	for i := range caches {
		caches[i] = newCache(0)
		for key := range uint64(parts) {
			caches[i].put(t0, key*7919, 1, true)
		}
	}
	b.ReportMetric(float64(heap()-before)/float64(b.N)/parts, "B/part")
	runtime.KeepAlive(caches)
}
