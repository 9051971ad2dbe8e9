package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// Sizes of the deployment.
const (
	zoneCount    = 2
	replicaCount = 8
	callerCount  = 8
	// seedPeerCount is the number of gateways that the others know from the start.
	seedPeerCount = 3
	// readyPollInterval is the interval of readiness checks.
	readyPollInterval = 20 * time.Millisecond
)

// Harness holds the processes, links, test doubles and callers of one run.
type Harness struct {
	t standin.Owner
	// binary is the path of the gateway's executable.
	binary string
	record *Record
	store  *standin.Store
	procs  []*process
	// faultsDisabled is true once replicas must not fail by themselves any more.
	faultsDisabled atomic.Bool
	// concentrated is the gateway that most new connections go to, or noGateway.
	concentrated atomic.Int64

	mu  sync.Mutex
	rng *rand.Rand
	// version is the version of the last published configuration.
	version int64
	// nextRevokedKey is the key that is revoked next; revokedKeys have been revoked.
	nextRevokedKey string
	revokedKeys    []string
	replicas       []*replica
	// shedding maps a replica that rejects all requests to its rejection.
	shedding map[string]shedding
	// limits maps a replica to the rate limit that it announces.
	limits map[string]Limit
	// nextReplica is the number of the next replica.
	nextReplica int
	// software is the number of the version that is rolled out; the one before it serves as
	// well.
	software int
}

// NewHarness starts all processes, so many gateways among them. Their settings files are in dir.
func NewHarness(t standin.Owner, binary, dir string, gateways int, seed uint64) *Harness {
	t.Helper()
	h := &Harness{
		t:              t,
		binary:         binary,
		record:         newRecord(),
		store:          standin.NewStore(t),
		rng:            rand.New(rand.NewPCG(seed, seed)), //nolint:gosec // Seeded on purpose.
		nextRevokedKey: "spare-0",
		shedding:       make(map[string]shedding),
		limits:         make(map[string]Limit),
		software:       1,
	}
	h.concentrated.Store(noGateway)
	h.publish()
	for range replicaCount {
		h.addReplica()
	}
	var addresses []string
	for n := range gateways {
		p := h.newProcess(n, dir)
		addresses = append(addresses, p.settings.Peers)
		h.procs = append(h.procs, p)
	}
	for _, p := range h.procs {
		p.writeSettings(addresses[:seedPeerCount])
		p.start()
		t.Cleanup(p.kill)
	}
	return h
}

// AwaitReady waits until all gateways are ready for callers. It returns false if the
// context ends before.
func (h *Harness) AwaitReady(ctx context.Context) bool {
	for ctx.Err() == nil {
		ready := 0
		for _, p := range h.procs {
			if p.ready() {
				ready++
			}
		}
		if ready == len(h.procs) {
			return true
		}
		time.Sleep(readyPollInterval)
	}
	return false
}

// link starts a link to the target, which is closed at the end of the run.
func (h *Harness) link(target string) *Proxy {
	p, err := NewProxy(target)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(p.Close)
	return p
}
