package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
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
	// crashPart is the part of a prompt that crashes each replica that answers it, unless it
	// is the last one.
	crashPart = "dead"
	// maxLateCrashes is the maximum number of times that the request, or one with the part,
	// may still reach a replica long after its third crash, or the part's fifth.
	maxLateCrashes    = 3
	enoughCrashes     = 3
	enoughPartCrashes = 5
)

// CrashingCall is one call of a request that crashes replicas.
type CrashingCall struct {
	ID string
	// Part is true if a part of its prompt is the cause; otherwise it is the whole request.
	Part       bool
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

// InjectCrashingParts sends requests of which no two are alike and which have the part that
// crashes replicas in common, to random gateways, until the context ends. Their other parts
// and their caller are those of sound requests.
func (h *Harness) InjectCrashingParts(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 83)) //nolint:gosec // Seeded on purpose.
	prompts := []string{"%s:10,aa:60,own-%d:40", "aa:60,%s:10,own-%d:40", "aa:60,cc:20,%s:10,own-%d:40"}
	for n := 0; loop.Sleep(ctx, randomBelow(rng, maxCrashPause)); n++ {
		p := h.procs[rng.IntN(len(h.procs))]
		k := CrashingCall{ID: fmt.Sprintf("part-%d", n), Part: true, Gateway: p.n, Sent: time.Now()}
		send(ctx, standin.NewCaller(h.t, p.settings.Callers), standin.Request{
			ID: k.ID, Host: host, URI: "/" + kindChat + "/1", Key: permanentKey, Body: k.ID, DeadlineMs: callTimeoutMs,
			Tokens: "100,200", PromptParts: fmt.Sprintf(prompts[rng.IntN(len(prompts))], crashPart, n),
		})
		k.Done = time.Now()
		h.record.addCrashingCall(k)
		h.restartCrashed()
	}
}

// crashesReplica reports whether the request crashes the replica that runs it.
func crashesReplica(r standin.Request) bool {
	return r.Body == crashBody || strings.Contains(r.PromptParts, crashPart+":")
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
		if k.Part {
			continue
		}
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
	return r.lateRuns(crashes, enoughCrashes, func(k CrashingCall) bool {
		return !k.Part && slices.ContainsFunc(runs[k.ID], func(n Run) bool { return n.Organisation == organisation })
	})
}

// crashingPartsBlocked: long after the fifth crash under the part, requests with it reach hardly
// any replica through gateways without faults, whatever else they hold.
func crashingPartsBlocked(r *Record) []string {
	runs := r.runsByID()
	var times []time.Time
	for _, k := range r.CrashingCalls {
		for _, run := range runs[k.ID] {
			if k.Part {
				times = append(times, run.At)
			}
		}
	}
	late := r.lateRuns(times, enoughPartCrashes, func(k CrashingCall) bool { return k.Part && len(runs[k.ID]) > 0 })
	if late > maxLateCrashes {
		return []string{fmt.Sprintf("%d of %d crashes were long after the fifth", late, len(times))}
	}
	return nil
}

// lateRuns returns the number of calls that ran although they were sent, through gateways without
// faults, long after there were enough crashes.
func (r *Record) lateRuns(crashes []time.Time, enough int, ran func(k CrashingCall) bool) int {
	if len(crashes) <= maxLateCrashes+enough-enoughCrashes {
		return 0
	}
	slices.SortFunc(crashes, time.Time.Compare)
	last := crashes[enough-1]
	late := 0
	for _, k := range r.CrashingCalls {
		c := Call{Gateway: k.Gateway, Sent: k.Sent, Done: k.Done}
		if ran(k) && k.Sent.After(last.Add(quietPeriod)) && r.undisturbed(c) {
			late++
		}
	}
	return late
}

// crashingRuns is the number of runs of requests that crash replicas.
func (r *Record) crashingRuns() int {
	runs := r.runsByID()
	n := 0
	for _, k := range r.CrashingCalls {
		n += len(runs[k.ID])
	}
	return n
}
