package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// Sizes of the soak.
const (
	gateways = 4
	zones    = 2
	replicas = 4
	callers  = 8
	// seeds is the number of gateways that the others know from the start.
	seeds = 3
	// readyPoll is the pause between two looks at who is ready.
	readyPoll = 20 * time.Millisecond
)

// World is the processes, links, stand-ins and callers of one play.
type World struct {
	t standin.Owner
	// binary is the path of the gateway's program.
	binary string
	record *Record
	store  *standin.Store
	procs  []*process
	// calm is true once no replica is to fail by itself any more.
	calm atomic.Bool

	mu  sync.Mutex
	rng *rand.Rand
	// version is of the configuration that was published last.
	version int64
	// spareKey is the next key to be revoked; oldKeys were.
	spareKey string
	oldKeys  []string
	replicas []*replica
	// shedding is what replicas do that refuse everything, by their identities.
	shedding map[string]shedding
	// limits are the limits that replicas name, by their identities.
	limits map[string]Limit
	// nextN is the number of the next replica.
	nextN int
}

// NewWorld starts everything. Dir keeps the settings files.
func NewWorld(t standin.Owner, binary, dir string, seed uint64) *World {
	t.Helper()
	w := &World{
		t:        t,
		binary:   binary,
		record:   newRecord(),
		store:    standin.NewStore(t),
		rng:      rand.New(rand.NewPCG(seed, seed)), //nolint:gosec // Seeded on purpose.
		spareKey: "spare-0",
		shedding: make(map[string]shedding),
		limits:   make(map[string]Limit),
	}
	w.publish()
	for range replicas {
		w.addReplica()
	}
	var addresses []string
	for n := range gateways {
		p := w.newProcess(n, dir)
		addresses = append(addresses, p.settings.Peers)
		w.procs = append(w.procs, p)
	}
	for _, p := range w.procs {
		p.writeSettings(addresses[:seeds])
		p.start()
		t.Cleanup(p.kill)
	}
	return w
}

// AwaitReady waits until all gateways take callers.
func (w *World) AwaitReady(ctx context.Context) bool {
	for ctx.Err() == nil {
		ready := 0
		for _, p := range w.procs {
			if p.ready() {
				ready++
			}
		}
		if ready == len(w.procs) {
			return true
		}
		time.Sleep(readyPoll)
	}
	return false
}

// link starts a link to the target, which ends with the play.
func (w *World) link(target string) *Proxy {
	p, err := NewProxy(target)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(p.Close)
	return p
}
