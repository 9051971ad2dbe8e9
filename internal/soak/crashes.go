package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/edge/loop"
	"github.com/gladegauge/gladegauge/platform/standin"
)

const (
	// crashBody is the body of the request that crashes each replica that runs it.
	crashBody = "end"
	// maxCrashPause is the maximum pause before its caller sends it again.
	maxCrashPause = 900 * time.Millisecond
	// replicaRestartDelay is the time from a replica's crash to its restart.
	replicaRestartDelay = 500 * time.Millisecond
	// foreignEntryDuration is how long the entry of another writer replaces a replica's
	// store entry, until the replica writes its own again.
	foreignEntryDuration = 300 * time.Millisecond
	// maxLateCrashes is the maximum number of times that the request may still reach a
	// replica long after its third crash.
	maxLateCrashes = 3
)

// CrashingCall is one call of the request that crashes replicas.
type CrashingCall struct {
	ID         string
	Gateway    int
	Sent, Done time.Time
}

// InjectCrashes repeatedly sends a request that crashes replicas, to random gateways,
// until the context ends. Crashed replicas restart under the same identity. Sometimes
// another writer overwrites a replica's store entry instead. It has its own random number
// generator, so that the other faults of a seed stay the same.
func (h *Harness) InjectCrashes(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 79)) //nolint:gosec // Seeded on purpose.
	for n := 0; loop.Sleep(ctx, randomBelow(rng, maxCrashPause)); n++ {
		if rng.IntN(4) == 0 {
			h.overwriteEntry(rng)
			continue
		}
		p := h.procs[rng.IntN(len(h.procs))]
		k := CrashingCall{ID: fmt.Sprintf("kill-%d", n), Gateway: p.n, Sent: time.Now()}
		send(ctx, standin.NewCaller(h.t, p.settings.Callers), standin.Request{
			ID: k.ID, Host: host, URI: "/" + kindChat + "/1", Key: permanentKey, Body: crashBody, DeadlineMs: callTimeoutMs,
			Tokens: "100,200", PromptParts: "aa:60,bb:40",
		})
		k.Done = time.Now()
		h.record.addCrashingCall(k)
		h.restartCrashed()
	}
}

// crashReplica crashes the replica that runs a request. It closes the replica's link
// first, so that nothing listens at the listed address.
func (h *Harness) crashReplica(id string) standin.Reply {
	h.mu.Lock()
	i := h.replicaIndex(id)
	var r *replica
	if i >= 0 {
		r = h.replicas[i]
	}
	h.mu.Unlock()
	if r != nil {
		r.link.Close()
	}
	return standin.Reply{Crash: true}
}

// replicaIndex returns the index of the replica, or a negative number if it was removed.
// The caller holds the mutex.
func (h *Harness) replicaIndex(id string) int {
	return slices.IndexFunc(h.replicas, func(r *replica) bool { return r.ID == id })
}

// restartCrashed restarts the crashed replicas, each under its identity.
func (h *Harness) restartCrashed() {
	time.Sleep(replicaRestartDelay)
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, r := range h.replicas {
		if r.Crashed() {
			h.replicas[i] = h.startReplica(r.ID, r.Zone, r.Version)
		}
	}
}

// overwriteEntry replaces a replica's store entry by one of another writer for a while.
func (h *Harness) overwriteEntry(rng *rand.Rand) {
	h.mu.Lock()
	id := h.replicas[rng.IntN(len(h.replicas))].ID
	h.store.PutForeignEntry(id)
	h.mu.Unlock()
	time.Sleep(foreignEntryDuration)
	h.mu.Lock()
	defer h.mu.Unlock()
	if i := h.replicaIndex(id); i >= 0 {
		h.putEntry(h.replicas[i])
	}
}

// crashingRequestsBlocked: long after the third crash of the request, it reaches hardly
// any replica through gateways without faults. Crashes are counted by organisation: a
// configuration may give the key to another organisation, which makes it a different
// request.
func crashingRequestsBlocked(r *Record) []string {
	runs := r.runsByID()
	crashes := make(map[string][]time.Time)
	for _, k := range r.CrashingCalls {
		for _, run := range runs[k.ID] {
			crashes[run.Organisation] = append(crashes[run.Organisation], run.At)
		}
	}
	var violations []string
	for organisation, times := range crashes {
		if late := r.lateCrashes(runs, organisation, times); late > maxLateCrashes {
			violations = append(violations, fmt.Sprintf("%d of %d crashes for %q were long after the third", late, len(times), organisation))
		}
	}
	return violations
}

// lateCrashes returns the number of calls that were sent long after the third crash,
// through gateways without faults, and still ran for the organisation.
func (r *Record) lateCrashes(runs map[string][]Run, organisation string, crashes []time.Time) int {
	if len(crashes) <= maxLateCrashes {
		return 0
	}
	slices.SortFunc(crashes, time.Time.Compare)
	third := crashes[2]
	late := 0
	for _, k := range r.CrashingCalls {
		c := Call{Gateway: k.Gateway, Sent: k.Sent, Done: k.Done}
		ran := slices.ContainsFunc(runs[k.ID], func(n Run) bool { return n.Organisation == organisation })
		if ran && k.Sent.After(third.Add(quietPeriod)) && r.undisturbed(c) {
			late++
		}
	}
	return late
}
