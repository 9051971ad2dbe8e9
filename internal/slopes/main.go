// Command slopes measures how the control state of a process grows with the size of the
// fleet. It measures each quantity at four or more sizes, up to the size that the system is
// designed for, and prints the slope between the smallest and the largest.
//
// # Usage
//
//	go run ./internal/slopes
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"testing"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gladegauge/gladegauge/internal/core/agent"
	"github.com/gladegauge/gladegauge/internal/core/burn"
	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/entry"
	"github.com/gladegauge/gladegauge/internal/core/limit"
	"github.com/gladegauge/gladegauge/internal/core/member"
	"github.com/gladegauge/gladegauge/internal/core/route"
	"github.com/gladegauge/gladegauge/internal/core/spread"
	"github.com/gladegauge/gladegauge/internal/edge/convert"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// Sizes that the system is designed for, and units.
const (
	maxModels           = 36
	maxZones            = 7
	processesPerEntry   = 5 // One in so many processes is an entry.
	nanosPerMilli       = 1e6
	nanosPerMicro       = 1e3
	bytesPerMB          = 1 << 20
	keysPerOrganisation = 1
	classCount          = 60
	classesPerPool      = 5
)

// row is one line of the output: a quantity that is measured at several sizes.
type row struct {
	label string
	unit  string
	sizes []int
	value func(n int) float64
}

func main() {
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, r := range rows() {
		_, _ = fmt.Fprintf(t, "%s\t%s\t", r.label, r.unit)
		var first, last float64
		for i, n := range r.sizes {
			v := r.value(n)
			if i == 0 {
				first = v
			}
			last = v
			_, _ = fmt.Fprintf(t, "%d: %.3g\t", n, v)
		}
		slope := (last - first) / float64(r.sizes[len(r.sizes)-1]-r.sizes[0])
		_, _ = fmt.Fprintf(t, "slope %.3g\t\n", slope)
	}
	_ = t.Flush()
}

func rows() []row {
	organisations := []int{100, 400, 1600, 6400}
	processes := []int{100, 500, 2000, 4300}
	return []row{
		{"configuration: heap", "MB", organisations, configHeap},
		{"configuration: build from nothing", "ms", organisations, buildTime},
		{"configuration: apply one organisation's change", "ms", organisations, applyTime},
		{"configuration: bytes of one change", "B", organisations, changeBytes},
		{"configuration: largest value", "B", organisations, largestValue},
		{"host lists: heap", "MB", processes, listHeap},
		{"host lists: bytes of one zone's list", "B", processes, listBytes},
		{"entry: take a list into the table", "ms", processes, tableUpdateTime},
		{"entry: heap of the table", "MB", processes, tableHeap},
		{"spread: choose peers once", "us", processes, choosePeersTime},
		{"spread: hops from watchers to the last", "hops", processes, hops},
		{"spread: bytes of an exchange, there and back", "B", []int{1, 3, 5, maxZones}, exchangeBytes},
		{"limits: heap of all buckets", "MB", organisations, limitHeap},
		{"burn: heap, each organisation in 15 minutes", "MB", organisations, burnHeap},
		{"request: control bytes with two offers", "B", []int{1, 2, 3, 4}, requestBytes},
		{"request: control work at the entry", "us", processes, requestTime},
	}
}

// liveHeap returns the heap size in megabytes of the value that a function constructs.
func liveHeap(construct func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := construct()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / bytesPerMB
}

func perOperation(f func(), unit float64) float64 {
	r := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			f()
		}
	})
	return float64(r.NsPerOp()) / unit
}

func document(n int) *gladegaugev1.Configuration {
	doc := &gladegaugev1.Configuration{Revision: 1}
	for i := range classCount {
		doc.Classes = append(doc.Classes, &gladegaugev1.Class{Name: fmt.Sprintf("class-%d", i), Tier: uint32(i%5 + 1), FirstTokenMs: 470})
	}
	for i := range maxModels {
		p := &gladegaugev1.Pool{Name: fmt.Sprintf("pool-%d", i), Kind: gladegaugev1.PoolKind_POOL_KIND_MODEL, Model: fmt.Sprintf("model-%d", i), Slots: 64}
		for j := range classesPerPool {
			p.Classes = append(p.Classes, fmt.Sprintf("class-%d", (i*classesPerPool+j)%classCount))
		}
		doc.Pools = append(doc.Pools, p)
	}
	for i := range n {
		o := &gladegaugev1.Organisation{Name: fmt.Sprintf("organisation-%d", i), Weight: 1, RatePerSecond: 10}
		for k := range keysPerOrganisation {
			key := config.HashKey(fmt.Sprint(i, k))
			o.KeySha256 = append(o.KeySha256, fmt.Sprintf("%x", key[:]))
		}
		for j := range 3 {
			m := (i + j) % maxModels
			o.Defaults = append(o.Defaults, &gladegaugev1.DefaultClass{
				Model: fmt.Sprintf("model-%d", m), Class: fmt.Sprintf("class-%d", (m*classesPerPool)%classCount),
			})
		}
		doc.Organisations = append(doc.Organisations, o)
	}
	return doc
}

func mustBuild(base *config.Config, d config.Document) *config.Config {
	cfg, faults := config.Build(base, d)
	if cfg == nil {
		panic(faults.String())
	}
	return cfg
}

// configHeap includes the encoded values, which a process keeps for its peers.
func configHeap(n int) float64 {
	return liveHeap(func() any {
		d := config.Split(document(n), 0)
		return []any{mustBuild(nil, d), d}
	})
}

func buildTime(n int) float64 {
	d := config.Split(document(n), 0)
	return perOperation(func() { mustBuild(nil, d) }, nanosPerMilli)
}

// singleChange returns a configuration and the document of its next revision, which
// contains only the shards that changed.
func singleChange(n int) (*config.Config, config.Document) {
	doc := document(n)
	base := mustBuild(nil, config.Split(doc, 0))
	doc.Revision = 2
	doc.Organisations[n/2].RatePerSecond = 11
	next := config.Split(doc, 1)
	shards := make(map[string][]byte)
	for _, name := range config.Missing(base, next.Manifest) {
		shards[name] = next.Shards[name]
	}
	return base, config.Document{Manifest: next.Manifest, Shards: shards}
}

func applyTime(n int) float64 {
	base, d := singleChange(n)
	return perOperation(func() { mustBuild(base, d) }, nanosPerMilli)
}

func changeBytes(n int) float64 {
	_, d := singleChange(n)
	sum := proto.Size(d.Manifest)
	for _, value := range d.Shards {
		sum += len(value)
	}
	return float64(sum)
}

func largestValue(n int) float64 {
	d := config.Split(document(n), 0)
	largest := proto.Size(d.Manifest)
	for _, value := range d.Shards {
		largest = max(largest, len(value))
	}
	return float64(largest)
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i) }

// hostLists returns host lists of n processes, distributed over all zones and pools.
func hostLists(n int) []*gladegaugev1.HostList {
	all := make([]*gladegaugev1.HostList, maxZones)
	for i := range all {
		all[i] = &gladegaugev1.HostList{Zone: zoneName(i), Version: 1}
	}
	for i := range n {
		h := &gladegaugev1.Host{Id: fmt.Sprintf("process-%06d", i), Address: fmt.Sprintf("10.%d.%d.%d:7443", i>>16, i>>8&255, i&255)}
		h.Role = gladegaugev1.Role_ROLE_AGENT
		h.Pool = fmt.Sprintf("pool-%d", i%maxModels)
		if i%processesPerEntry == 0 {
			h.Role, h.Pool = gladegaugev1.Role_ROLE_ENTRY, ""
		}
		list := all[i%maxZones]
		list.Hosts = append(list.Hosts, h)
	}
	return all
}

func memberSet(n int) *member.Set {
	set := member.NewSet()
	for _, list := range hostLists(n) {
		set, _ = set.With(list)
	}
	return set
}

func listHeap(n int) float64 { return liveHeap(func() any { return memberSet(n) }) }

func listBytes(n int) float64 { return float64(proto.Size(hostLists(n)[0])) }

func newTable(set *member.Set) *route.Table {
	t := route.New(route.Options{Entry: "process-000000", Zone: zoneName(0)}, rand.New(rand.NewPCG(1, 1))) //nolint:gosec // A fixed seed is the point.
	t.SetMembers(set)
	return t
}

func tableUpdateTime(n int) float64 {
	set := memberSet(n)
	t := newTable(set)
	return perOperation(func() { t.SetMembers(set) }, nanosPerMilli)
}

func tableHeap(n int) float64 {
	set := memberSet(n)
	return liveHeap(func() any { return newTable(set) })
}

func choosePeersTime(n int) float64 {
	set := memberSet(n)
	self, _ := set.Host("process-000000")
	return perOperation(func() { spread.Peers(set, self) }, nanosPerMicro)
}

// hops returns the number of hops from the watchers, which learn of a change first, to the
// process that learns of it last. It is a breadth-first search of the graph of peers.
func hops(n int) float64 {
	set := memberSet(n)
	hopsTo := make(map[string]int, n)
	var queue []member.Host
	for _, h := range set.All() {
		if spread.Watches(set, h) {
			hopsTo[h.ID] = 0
			queue = append(queue, h)
		}
	}
	maxHops := 0
	for len(queue) > 0 {
		h := queue[0]
		queue = queue[1:]
		for _, peer := range spread.Peers(set, h) {
			if _, known := hopsTo[peer.ID]; !known {
				hopsTo[peer.ID] = hopsTo[h.ID] + 1
				maxHops = max(maxHops, hopsTo[peer.ID])
				queue = append(queue, peer)
			}
		}
	}
	if len(hopsTo) < n {
		_, _ = fmt.Fprintf(os.Stderr, "%d of %d processes are notified by no peer and learn of changes by polling\n", n-len(hopsTo), n)
	}
	return float64(maxHops)
}

func exchangeBytes(zones int) float64 {
	state := &gladegaugev1.PeerState{Version: version()}
	for i := range zones {
		state.Lists = append(state.Lists, &gladegaugev1.ListVersion{Zone: zoneName(i), Version: 1 << 30})
	}
	req := &gladegaugev1.ExchangeRequest{From: "process-000000", State: state}
	return float64(proto.Size(req) + proto.Size(&gladegaugev1.ExchangeResponse{State: state}))
}

func version() *gladegaugev1.Version {
	return &gladegaugev1.Version{Revision: 1 << 30, Digest: make([]byte, 16)}
}

func limitHeap(n int) float64 {
	cfg := mustBuild(nil, config.Split(document(n), 0))
	all := cfg.Organisations()
	now := time.Unix(1, 0)
	heap := liveHeap(func() any {
		l := limit.New()
		for _, o := range all {
			l.Take(now, o, 1)
		}
		return l
	})
	runtime.KeepAlive(all)
	runtime.KeepAlive(cfg)
	return heap
}

func burnHeap(n int) float64 {
	return liveHeap(func() any {
		l := burn.NewLedger()
		for minute := range 15 {
			for i := range n {
				now := time.Unix(int64(minute)*60, 0)
				l.Add(now, "class-1", fmt.Sprintf("organisation-%d", i), burn.Hit)
			}
		}
		return l
	})
}

// requestBytes returns the size of the control messages of one request, without its body
// and its response, for the given number of offers.
func requestBytes(offers int) float64 {
	load := convert.Load(agent.Load{FreeSlots: 9, Queued: 9, Wait: [5]time.Duration{1e9, 1e9, 1e9, 1e9, 1e9}}, version())
	messages := []proto.Message{
		&gladegaugev1.Run{Method: "POST", Path: "/v1/chat/completions", Incarnation: "0123456789abcdef"},
		&gladegaugev1.Granted{TtlMs: 500, Incarnation: "0123456789abcdef"},
		&gladegaugev1.End{Length: 400, Tokens: 400, Load: load},
	}
	for range offers {
		messages = append(messages,
			&gladegaugev1.Offer{Attempt: "0123456789abcdef0123/0", Class: "class-1", Organisation: "organisation-1", Weight: 1, AgeMs: 1, Copies: 2},
			&gladegaugev1.Accepted{Load: load})
	}
	sum := 0
	for _, m := range messages {
		const frame = 5 + 9 // Frame headers of the RPC and of HTTP/2.
		sum += proto.Size(m) + frame
	}
	return float64(sum)
}

// requestTime returns the time that the entry's control state spends on one request.
func requestTime(n int) float64 {
	cfg := mustBuild(nil, config.Split(document(6400), 0))
	e := entry.New(entry.Options{Route: route.Options{Entry: "process-000000", Zone: zoneName(0)}}, cfg, rand.New(rand.NewPCG(1, 1))) //nolint:gosec // A fixed seed is the point.
	e.SetMembers(memberSet(n))
	o, _ := cfg.Organisation("organisation-7")
	pool, _ := cfg.Pool("pool-7")
	class, _ := cfg.Class(pool.Classes[0])
	now := time.Unix(1, 0)
	return perOperation(func() {
		now = now.Add(time.Hour)
		t, rejection := e.Admit(now, entry.Call{Organisation: o, Class: class, Pool: pool})
		if rejection != nil {
			panic("rejected")
		}
		t.Start(now)
		for i := range 2 {
			id := t.Agent(i).ID
			e.OfferAnswered(id)
			e.RecordReport(now, id, agent.Load{FreeSlots: 1})
		}
		t.Granted(now, 0, "")
		t.Deliver(now, 0, 400)
		t.Ended(0)
	}, nanosPerMicro)
}
