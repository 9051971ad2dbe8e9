package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gladegauge/gladegauge/internal/edge/loop"
)

const (
	// evacuateWithin is when the replicas of an evacuated zone get nothing new.
	evacuateWithin = 3 * time.Second
	// evacuationLeast and evacuationMost bound how long one lasts: it is checked for
	// what remains after evacuateWithin.
	evacuationLeast = 4 * time.Second
	evacuationMost  = 6 * time.Second
	// evacuationGap is the longest pause between two.
	evacuationGap = 2 * time.Second
)

// Evacuation is a zone that was to get nothing new for a time.
type Evacuation struct {
	Zone string
	At   time.Time
	// Until is when it was taken back; zero while it lasts.
	Until time.Time
}

// Evacuate empties one zone after the other until the context ends, and takes the last
// one back. It draws numbers of its own: a seed plays the same faults beside it.
func (w *World) Evacuate(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 78)) //nolint:gosec // Seeded on purpose.
	for ctx.Err() == nil {
		loop.Sleep(ctx, upTo(rng, evacuationGap))
		zone := zoneOf(rng.IntN(zones))
		w.store.Evacuate(zone)
		at := time.Now()
		loop.Sleep(ctx, evacuationLeast+upTo(rng, evacuationMost-evacuationLeast))
		until := time.Now()
		w.store.EndEvacuation(zone)
		w.record.evacuated(Evacuation{Zone: zone, At: at, Until: until})
	}
}

// evacuatedLeft: nothing reaches a replica whose zone was evacuated long enough before.
func evacuatedLeft(r *Record) []string {
	var broken []string
	calls := r.callsOf()
	for _, n := range r.Runs {
		c, known := calls[n.ID]
		for _, e := range r.Evacuations {
			late := n.At.After(e.At.Add(evacuateWithin+slack)) && n.At.Before(e.Until)
			if known && late && r.Zones[n.Replica] == e.Zone && r.calm(c) {
				broken = append(broken, fmt.Sprintf("%s reached %s %v after zone %s was evacuated", n.ID, n.Replica, n.At.Sub(e.At), e.Zone))
			}
		}
	}
	return broken
}
