package spread

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/member"
	core "github.com/gladegauge/gladegauge/internal/core/spread"
	"github.com/gladegauge/gladegauge/internal/edge/loop"
	"github.com/gladegauge/gladegauge/internal/edge/metrics"
	"github.com/gladegauge/gladegauge/internal/edge/platform"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
	"github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1/gladegaugev1connect"
	"github.com/gladegauge/gladegauge/internal/standin/published"
)

// network carries HTTP calls between processes in memory, in virtual time.
type network struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	// cut reports whether a call from one process to an address is lost.
	cut func(from, to string) bool
}

// transport sends the calls of one process over the network.
type transport struct {
	f    *network
	from string
}

const oneWay = 2 * time.Millisecond

func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.f.mu.Lock()
	h, ok := t.f.handlers[r.URL.Host]
	lost := !ok || (t.f.cut != nil && t.f.cut(t.from, r.URL.Host))
	t.f.mu.Unlock()
	time.Sleep(oneWay) // Virtual.
	if lost {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	time.Sleep(oneWay)
	if r.Context().Err() != nil {
		return nil, r.Context().Err()
	}
	return w.Result(), nil
}

func (n *network) setCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// process is one process under test.
type process struct {
	id, zone string
	sync     *Sync
	cancel   context.CancelFunc
	group    *errgroup.Group
	revision func() uint64
	metrics  *metrics.Metrics
	log      bytes.Buffer
}

// fleet is a number of processes with one platform.
type fleet struct {
	t         *testing.T
	platform  *published.Service
	network   *network
	processes []*process
	zones     []string
	doc       *gladegaugev1.Configuration
	version   uint64
}

const platformHost = "platform:1"

func newFleet(t *testing.T, perZone int, zones ...string) *fleet {
	f := &fleet{t: t, platform: published.New(), zones: zones}
	f.network = &network{handlers: map[string]http.Handler{platformHost: f.platform}}
	f.doc = &gladegaugev1.Configuration{
		Revision:      1,
		Classes:       []*gladegaugev1.Class{{Name: "ruling", Tier: 1, FirstTokenMs: 1000}},
		Pools:         []*gladegaugev1.Pool{{Name: "judge", Kind: gladegaugev1.PoolKind_POOL_KIND_MODEL, Model: "judge", Slots: 1, Classes: []string{"ruling"}}},
		Organisations: []*gladegaugev1.Organisation{{Name: "hall"}},
	}
	f.publish()
	for _, zone := range zones {
		for i := range perZone {
			f.processes = append(f.processes, &process{id: fmt.Sprintf("%s%d", zone, i), zone: zone})
		}
	}
	f.publishHosts()
	return f
}

// publish publishes the document as it is.
func (f *fleet) publish() {
	doc := config.Split(f.doc, f.doc.GetRevision()-1)
	for _, ref := range doc.Manifest.GetShards() {
		f.platform.Put(platform.ShardName(ref.GetDigest()), doc.Shards[ref.GetName()])
	}
	manifest, _ := proto.Marshal(doc.Manifest)
	f.platform.Put(platform.ManifestAt(f.doc.GetRevision()), manifest)
	f.platform.Put(platform.ManifestName, manifest)
}

// change publishes the next revision.
func (f *fleet) change() uint64 {
	f.doc.Revision++
	f.doc.Organisations[0].Weight++
	f.publish()
	return f.doc.GetRevision()
}

func (f *fleet) publishHosts() {
	f.version++
	all := ""
	for _, zone := range f.zones {
		all += zone + "\n"
		list := &gladegaugev1.HostList{Zone: zone, Version: f.version}
		for _, n := range f.processes {
			if n.zone == zone {
				list.Hosts = append(list.Hosts, &gladegaugev1.Host{Id: n.id, Role: gladegaugev1.Role_ROLE_ENTRY, Address: f.address(n.id)})
			}
		}
		data, _ := proto.Marshal(list)
		f.platform.Put(platform.HostsName(zone), data)
	}
	f.platform.Put(platform.ZonesName, []byte(all))
}

// address gives each process an IP number of its own.
func (f *fleet) address(id string) string {
	i := slices.IndexFunc(f.processes, func(n *process) bool { return n.id == id })
	return fmt.Sprintf("10.0.0.%d:1", i+1)
}

func (f *fleet) start(n *process, seeds ...string) {
	client := &http.Client{Transport: transport{f: f.network, from: n.id}}
	l := loop.New(time.Now)
	m := metrics.New(prometheus.NewRegistry())
	n.metrics = m
	n.sync = New(Options{
		Self: member.Host{ID: n.id, Zone: n.zone, Role: member.Entry}, Loop: l, HTTP: client,
		Platform: platform.New("http://"+platformHost, client, func(string, string) {}),
		URL:      func(a string) string { return "http://" + a }, Seeds: seeds, Metrics: m,
		Log:      zerolog.New(zerolog.SyncWriter(&n.log)),
		OnConfig: func(time.Time, *config.Config) {}, OnMembers: func(time.Time, *member.Set) {},
	})
	mux := http.NewServeMux()
	path, h := gladegaugev1connect.NewPeerServiceHandler(n.sync)
	mux.Handle(path, h)
	f.network.mu.Lock()
	f.network.handlers[f.address(n.id)] = mux
	f.network.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.group, ctx = errgroup.WithContext(ctx)
	n.group.Go(func() error { return l.Run(ctx) })
	n.group.Go(func() error { return n.sync.Run(ctx) })
	n.group.Go(func() error { return l.Every(ctx, 100*time.Millisecond, n.sync.Tick) })
	n.revision = func() uint64 {
		var rev uint64
		l.DoWithoutCancel(func(time.Time) { rev = n.sync.Version().GetRevision() })
		return rev
	}
}

func (f *fleet) startAll() {
	for _, n := range f.processes {
		f.start(n)
	}
}

func (f *fleet) stop(n *process) {
	f.network.mu.Lock()
	delete(f.network.handlers, f.address(n.id))
	f.network.mu.Unlock()
	n.cancel()
	_ = n.group.Wait()
}

func (f *fleet) stopAll() {
	for _, n := range f.processes {
		if n.cancel != nil {
			f.stop(n)
		}
	}
}

func (n *process) ready() bool {
	ready := false
	n.sync.o.Loop.DoWithoutCancel(func(time.Time) { ready = n.sync.Ready() })
	return ready
}

// digestAndConflicts returns the digest in force and the number of conflicts.
func (n *process) digestAndConflicts() (digest string, conflicts int) {
	n.sync.o.Loop.DoWithoutCancel(func(time.Time) {
		digest, conflicts = n.sync.holder.Config().Digest(), n.sync.holder.Conflicts()
	})
	return digest, conflicts
}

// watches reports whether the process watches the platform.
func (n *process) watches() bool {
	watches := false
	n.sync.o.Loop.DoWithoutCancel(func(time.Time) { watches = core.Watches(n.sync.set, n.sync.o.Self) })
	return watches
}

// logText returns the log, read between two steps of the control loop.
func (n *process) logText() string {
	text := ""
	n.sync.o.Loop.DoWithoutCancel(func(time.Time) { text = n.log.String() })
	return text
}

// counterValue returns the value of a counter without labels.
func (n *process) counterValue(name string) float64 {
	families, _ := n.metrics.Registry.Gather()
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	return 0
}

// revisions returns the lowest and highest revision in force.
func (f *fleet) revisions() (low, high uint64) {
	low = 1 << 60
	for _, n := range f.processes {
		if n.sync == nil || n.cancel == nil {
			continue
		}
		low, high = min(low, n.revision()), max(high, n.revision())
	}
	return low, high
}
