package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// Times of faults.
const (
	// faultGap is the mean time between the beginnings of two faults.
	faultGap = 450 * time.Millisecond
	// faultLeast and faultMost bound how long a fault lasts.
	faultLeast = 300 * time.Millisecond
	faultMost  = 3500 * time.Millisecond
	// restartAfter is how long the platform takes to start a process again.
	restartAfter = 200 * time.Millisecond
)

// fault is one way in which things fail.
type fault struct {
	// weight is how often it is chosen, beside the weights of the others.
	weight int
	// do injects the fault for the time, and returns when its effect is over.
	do func(w *World, rng *rand.Rand, d time.Duration)
}

// faults are what may happen.
var faults = []fault{
	{3, (*World).failStoreLink},
	{2, (*World).failStore},
	{3, (*World).failReplicaLink},
	{2, (*World).killGateway},
	{2, (*World).freezeGateway},
	{2, (*World).stopGateway},
	{1, (*World).reloadGateway},
	{2, (*World).changeConfiguration},
	{2, (*World).revokeKey},
	{2, (*World).replaceReplica},
	{1, (*World).compactStore},
}

// Faults lets things fail, overlapping, until the context ends, and waits until
// all is well again.
func (w *World) Faults(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 77)) //nolint:gosec // Seeded on purpose.
	var group errgroup.Group
	for ctx.Err() == nil {
		f := chooseFault(rng)
		d := faultLeast + upTo(rng, faultMost-faultLeast)
		own := rand.New(rand.NewPCG(seed, rng.Uint64())) //nolint:gosec // Seeded on purpose.
		group.Go(func() error {
			f.do(w, own, d)
			return nil
		})
		time.Sleep(upTo(rng, 2*faultGap))
	}
	_ = group.Wait()
	w.calm.Store(true)
}

// chooseFault draws one of the faults by their weights.
func chooseFault(rng *rand.Rand) fault {
	sum := 0
	for _, f := range faults {
		sum += f.weight
	}
	dice := rng.IntN(sum)
	for _, f := range faults {
		if dice -= f.weight; dice < 0 {
			return f
		}
	}
	return faults[0]
}

// during notes an event that lasts while do runs.
func (w *World) during(what string, gateway int, do func()) {
	at := time.Now()
	do()
	w.record.event(Event{At: at, What: what, Gateway: gateway, Until: time.Now()})
}

// failLink lets the link fail in one of its ways for the time.
func failLink(link *Proxy, rng *rand.Rand, d time.Duration) {
	link.Set(LinkFault(1 + rng.IntN(int(Silent))))
	time.Sleep(d)
	link.Set(NoFault)
}

func (w *World) failStoreLink(rng *rand.Rand, d time.Duration) {
	p := w.procs[rng.IntN(len(w.procs))]
	w.during("link to the store", p.n, func() { failLink(p.link, rng, d) })
}

func (w *World) failStore(rng *rand.Rand, d time.Duration) {
	troubles := []standin.StoreFault{standin.Unavailable, standin.RateLimited, standin.Silent, standin.Disconnect, standin.InvalidJSON}
	w.during("store", everyGateway, func() {
		w.store.SetFault(troubles[rng.IntN(len(troubles))])
		time.Sleep(d)
		w.store.SetFault(standin.NoFault)
	})
}

func (w *World) failReplicaLink(rng *rand.Rand, d time.Duration) {
	w.mu.Lock()
	r := w.replicas[rng.IntN(len(w.replicas))]
	w.mu.Unlock()
	w.during("link to a replica", noGateway, func() { failLink(r.link, rng, d) })
}

// alone lets one fault have the process at a time; it does nothing if another
// one has it.
func (p *process) alone(do func()) {
	if !p.busy.CompareAndSwap(false, true) {
		return
	}
	defer p.busy.Store(false)
	do()
}

func (w *World) killGateway(rng *rand.Rand, _ time.Duration) {
	p := w.procs[rng.IntN(len(w.procs))]
	p.alone(func() {
		w.during("kill", p.n, func() {
			p.kill()
			time.Sleep(restartAfter)
			p.start()
		})
	})
}

func (w *World) freezeGateway(rng *rand.Rand, d time.Duration) {
	p := w.procs[rng.IntN(len(w.procs))]
	p.alone(func() {
		w.during("freeze", p.n, func() {
			p.signal(syscall.SIGSTOP)
			time.Sleep(d)
			p.signal(syscall.SIGCONT)
		})
	})
}

func (w *World) stopGateway(rng *rand.Rand, _ time.Duration) {
	p := w.procs[rng.IntN(len(w.procs))]
	p.alone(func() {
		w.during(whatStop, p.n, func() {
			p.signal(syscall.SIGTERM)
			p.wait()
			time.Sleep(restartAfter)
			p.start()
		})
	})
}

func (w *World) reloadGateway(rng *rand.Rand, _ time.Duration) {
	p := w.procs[rng.IntN(len(w.procs))]
	// A process that only just started has no handler yet.
	if p.ready() {
		p.alone(func() { p.signal(syscall.SIGHUP) })
	}
}

func (w *World) changeConfiguration(*rand.Rand, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.publish()
}

func (w *World) revokeKey(*rand.Rand, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.spareKey
	w.oldKeys = append(w.oldKeys, old)
	w.spareKey = old + "x"
	w.publish()
	w.record.revoked(old, time.Now())
}

// replaceReplica starts a replica, lets another one leave, and takes it off the
// list.
func (w *World) replaceReplica(rng *rand.Rand, d time.Duration) {
	w.mu.Lock()
	r := w.swapReplica(rng)
	w.store.PutReplica(r.WithAddress(r.link.Address()), pool, true)
	w.mu.Unlock()
	w.record.left(r.ID, time.Now())
	time.Sleep(d)
	w.store.RemoveReplica(r.ID)
}

// swapReplica starts a replica in the place of another one, which it returns. The caller
// holds the mutex.
func (w *World) swapReplica(rng *rand.Rand) *replica {
	w.addReplica()
	at := rng.IntN(len(w.replicas))
	r := w.replicas[at]
	w.replicas = append(w.replicas[:at], w.replicas[at+1:]...)
	return r
}

func (w *World) compactStore(*rand.Rand, time.Duration) { w.store.Compact() }

// upTo is a random time below the limit.
func upTo(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(limit)))
}
