package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// Durations of faults.
const (
	// meanFaultInterval is the mean time between the beginnings of two faults.
	meanFaultInterval = 450 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound the duration of a fault.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 3500 * time.Millisecond
	// gatewayRestartDelay is the time that the platform takes to restart a process.
	gatewayRestartDelay = 200 * time.Millisecond
)

// fault is a kind of fault that the soak injects.
type fault struct {
	// weight is the relative frequency of the fault.
	weight int
	// inject injects the fault for the duration d and returns once it has ended.
	inject func(h *Harness, rng *rand.Rand, d time.Duration)
}

// faults are the kinds of fault to choose from.
var faults = []fault{
	{3, (*Harness).failStoreLink},
	{2, (*Harness).failStore},
	{3, (*Harness).failReplicaLink},
	{2, (*Harness).killGateway},
	{2, (*Harness).freezeGateway},
	{2, (*Harness).stopGateway},
	{1, (*Harness).reloadGateway},
	{2, (*Harness).changeConfiguration},
	{2, (*Harness).revokeKey},
	{2, (*Harness).replaceReplica},
	{1, (*Harness).compactStore},
}

// InjectFaults starts faults, which may overlap, until the context ends. It returns once
// all of them have ended.
func (h *Harness) InjectFaults(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 77)) //nolint:gosec // Seeded on purpose.
	var group errgroup.Group
	for ctx.Err() == nil {
		f := chooseFault(rng)
		d := minFaultDuration + randomBelow(rng, maxFaultDuration-minFaultDuration)
		faultRNG := rand.New(rand.NewPCG(seed, rng.Uint64())) //nolint:gosec // Seeded on purpose.
		group.Go(func() error {
			f.inject(h, faultRNG, d)
			return nil
		})
		time.Sleep(randomBelow(rng, 2*meanFaultInterval))
	}
	_ = group.Wait()
	h.faultsDisabled.Store(true)
}

// chooseFault returns a random fault according to the weights.
func chooseFault(rng *rand.Rand) fault {
	sum := 0
	for _, f := range faults {
		sum += f.weight
	}
	roll := rng.IntN(sum)
	for _, f := range faults {
		if roll -= f.weight; roll < 0 {
			return f
		}
	}
	return faults[0]
}

// recordDuring records an event that lasts while action runs.
func (h *Harness) recordDuring(name string, gateway int, action func()) {
	h.recordEvent(Event{Name: name, Gateway: gateway}, action)
}

// recordEvent records the event with the times between which action runs.
func (h *Harness) recordEvent(e Event, action func()) {
	e.At = time.Now()
	action()
	e.Until = time.Now()
	h.record.addEvent(e)
}

// failLink makes the link fail in a random way for the duration.
func failLink(link *Proxy, rng *rand.Rand, d time.Duration) {
	link.Set(LinkFault(1 + rng.IntN(int(Silent))))
	time.Sleep(d)
	link.Set(NoFault)
}

func (h *Harness) failStoreLink(rng *rand.Rand, d time.Duration) {
	p := h.procs[rng.IntN(len(h.procs))]
	h.recordDuring("link to the store", p.n, func() { failLink(p.link, rng, d) })
}

func (h *Harness) failStore(rng *rand.Rand, d time.Duration) {
	storeFaults := []standin.StoreFault{standin.Unavailable, standin.RateLimited, standin.Silent, standin.Disconnect, standin.InvalidJSON}
	h.recordDuring("store", everyGateway, func() {
		h.store.SetFault(storeFaults[rng.IntN(len(storeFaults))])
		time.Sleep(d)
		h.store.SetFault(standin.NoFault)
	})
}

func (h *Harness) failReplicaLink(rng *rand.Rand, d time.Duration) {
	h.mu.Lock()
	r := h.replicas[rng.IntN(len(h.replicas))]
	h.mu.Unlock()
	e := Event{Name: "link to a replica", Gateway: noGateway, Replica: r.ID}
	h.recordEvent(e, func() { failLink(r.link, rng, d) })
}

// exclusively runs action unless another fault affects the process at the moment.
func (p *process) exclusively(action func()) {
	if !p.busy.CompareAndSwap(false, true) {
		return
	}
	defer p.busy.Store(false)
	action()
}

func (h *Harness) killGateway(rng *rand.Rand, _ time.Duration) {
	p := h.procs[rng.IntN(len(h.procs))]
	p.exclusively(func() {
		h.recordDuring("kill", p.n, func() {
			p.kill()
			time.Sleep(gatewayRestartDelay)
			p.start()
		})
	})
}

func (h *Harness) freezeGateway(rng *rand.Rand, d time.Duration) {
	p := h.procs[rng.IntN(len(h.procs))]
	p.exclusively(func() {
		h.recordDuring("freeze", p.n, func() {
			p.signal(syscall.SIGSTOP)
			time.Sleep(d)
			p.signal(syscall.SIGCONT)
		})
	})
}

func (h *Harness) stopGateway(rng *rand.Rand, _ time.Duration) {
	p := h.procs[rng.IntN(len(h.procs))]
	p.exclusively(func() {
		h.recordDuring(gracefulShutdown, p.n, func() {
			p.signal(syscall.SIGTERM)
			p.wait()
			time.Sleep(gatewayRestartDelay)
			p.start()
		})
	})
}

func (h *Harness) reloadGateway(rng *rand.Rand, _ time.Duration) {
	p := h.procs[rng.IntN(len(h.procs))]
	// A process that has just started does not handle the signal yet.
	if p.ready() {
		p.exclusively(func() { p.signal(syscall.SIGHUP) })
	}
}

func (h *Harness) changeConfiguration(*rand.Rand, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.publish()
}

func (h *Harness) revokeKey(*rand.Rand, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.nextRevokedKey
	h.revokedKeys = append(h.revokedKeys, old)
	h.nextRevokedKey = old + "x"
	h.publish()
	h.record.addRevocation(old, time.Now())
}

// replaceReplica starts a replica and drains another one.
func (h *Harness) replaceReplica(rng *rand.Rand, d time.Duration) {
	h.mu.Lock()
	r := h.swapReplica(rng)
	h.mu.Unlock()
	h.drain(r, d)
}

// drain lists a replica as draining, and removes it from the store after a while.
func (h *Harness) drain(r *replica, d time.Duration) {
	h.store.PutReplica(r.WithAddress(r.link.Address()), pool, true)
	h.record.addDraining(r.ID, time.Now())
	time.Sleep(d)
	h.store.RemoveReplica(r.ID)
}

// swapReplica starts a replica in place of another one, which it returns. The caller
// holds the mutex.
func (h *Harness) swapReplica(rng *rand.Rand) *replica {
	h.addReplica()
	at := rng.IntN(len(h.replicas))
	r := h.replicas[at]
	h.replicas = append(h.replicas[:at], h.replicas[at+1:]...)
	return r
}

func (h *Harness) compactStore(*rand.Rand, time.Duration) { h.store.Compact() }

// randomBelow returns a random duration below the limit.
func randomBelow(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(limit)))
}
