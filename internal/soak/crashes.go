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
	// killerBody is the body of the request that ends each replica that runs it.
	killerBody = "end"
	// killerGap is the longest pause of its caller, who always comes back.
	killerGap = 900 * time.Millisecond
	// backAfter is how long a replica that ended needs to start again.
	backAfter = 500 * time.Millisecond
	// foreignFor is how long the entry of another writer stands in a replica's place:
	// until the replica writes its own again.
	foreignFor = 300 * time.Millisecond
	// killsMost is the number of times that the request may still reach a replica, long
	// after the third one ended under it.
	killsMost = 3
)

// Kill is one call of the request that ends replicas.
type Kill struct {
	ID         string
	Gateway    int
	Sent, Done time.Time
}

// Crash sends a request that ends replicas again and again, to any gateway, until the
// context ends. They start again under their identities. Now and then another writer
// leaves an entry in a replica's place. It draws numbers of its own: a seed plays the
// same faults beside it.
func (w *World) Crash(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 79)) //nolint:gosec // Seeded on purpose.
	for n := 0; loop.Sleep(ctx, upTo(rng, killerGap)); n++ {
		if rng.IntN(4) == 0 {
			w.overwrite(rng)
			continue
		}
		p := w.procs[rng.IntN(len(w.procs))]
		k := Kill{ID: fmt.Sprintf("kill-%d", n), Gateway: p.n, Sent: time.Now()}
		send(ctx, standin.NewCaller(w.t, p.settings.Callers), standin.Request{
			ID: k.ID, Host: host, URI: "/" + kindChat + "/1", Key: lastingKey, Body: killerBody, DeadlineMs: callTimeoutMs,
			Tokens: "100,200", PromptParts: "aa:60,bb:40",
		})
		k.Done = time.Now()
		w.record.kill(k)
		w.restartEnded()
	}
}

// end ends the replica under a request: first its link, so that nothing listens where
// it was listed.
func (w *World) end(id string) standin.Reply {
	w.mu.Lock()
	i := w.indexOf(id)
	var r *replica
	if i >= 0 {
		r = w.replicas[i]
	}
	w.mu.Unlock()
	if r != nil {
		r.link.Close()
	}
	return standin.Reply{Crash: true}
}

// indexOf is where the replica stands; below 0 if it has left. The caller holds the
// mutex.
func (w *World) indexOf(id string) int {
	return slices.IndexFunc(w.replicas, func(r *replica) bool { return r.ID == id })
}

// restartEnded starts the replicas that ended again, each under its identity.
func (w *World) restartEnded() {
	time.Sleep(backAfter)
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, r := range w.replicas {
		if r.Crashed() {
			w.replicas[i] = w.startReplica(r.ID, r.Zone)
		}
	}
}

// overwrite leaves an entry of another writer in a replica's place for a while.
func (w *World) overwrite(rng *rand.Rand) {
	w.mu.Lock()
	id := w.replicas[rng.IntN(len(w.replicas))].ID
	w.store.PutForeignEntry(id)
	w.mu.Unlock()
	time.Sleep(foreignFor)
	w.mu.Lock()
	defer w.mu.Unlock()
	if i := w.indexOf(id); i >= 0 {
		w.list(w.replicas[i])
	}
}

// killerStopped: long after the third end under the request, it reaches hardly any
// replica through gateways that nothing disturbs. A configuration may give its key to
// another organisation, and its request is another one then.
func killerStopped(r *Record) []string {
	runs := r.runsOf()
	ends := make(map[string][]time.Time)
	for _, k := range r.Kills {
		for _, run := range runs[k.ID] {
			ends[run.Organisation] = append(ends[run.Organisation], run.At)
		}
	}
	var broken []string
	for organisation, of := range ends {
		if late := r.killsLate(runs, organisation, of); late > killsMost {
			broken = append(broken, fmt.Sprintf("%d of %d ends of %q were long after the third", late, len(of), organisation))
		}
	}
	return broken
}

// killsLate is the number of calls of the request, sent long after the third of the ends
// through calm gateways, that still ran for the organisation.
func (r *Record) killsLate(runs map[string][]Run, organisation string, ends []time.Time) int {
	if len(ends) <= killsMost {
		return 0
	}
	slices.SortFunc(ends, time.Time.Compare)
	third := ends[2]
	late := 0
	for _, k := range r.Kills {
		c := Call{Gateway: k.Gateway, Sent: k.Sent, Done: k.Done}
		ran := slices.ContainsFunc(runs[k.ID], func(n Run) bool { return n.Organisation == organisation })
		if ran && k.Sent.After(third.Add(calmFor)) && r.calm(c) {
			late++
		}
	}
	return late
}
