package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gladegauge/gladegauge/internal/edge/loop"
)

const (
	// evacuationDeadline is the time after which the replicas of an evacuated
	// availability zone get no new requests.
	evacuationDeadline = 3 * time.Second
	// minEvacuation and maxEvacuation bound the duration of an evacuation. The check
	// covers the part after evacuationDeadline.
	minEvacuation = 4 * time.Second
	maxEvacuation = 6 * time.Second
	// maxEvacuationPause is the maximum pause between two evacuations.
	maxEvacuationPause = 2 * time.Second
)

// Evacuation is a period in which an availability zone was evacuated.
type Evacuation struct {
	Zone string
	At   time.Time
	// Until is the end of the evacuation; zero while it lasts.
	Until time.Time
}

// Evacuate evacuates one availability zone at a time until the context ends, and then
// ends the last evacuation. It has its own random number generator, so that the other
// faults of a seed stay the same.
func (h *Harness) Evacuate(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 78)) //nolint:gosec // Seeded on purpose.
	for ctx.Err() == nil {
		loop.Sleep(ctx, randomBelow(rng, maxEvacuationPause))
		zone := zoneOf(rng.IntN(zoneCount))
		h.store.Evacuate(zone)
		at := time.Now()
		loop.Sleep(ctx, minEvacuation+randomBelow(rng, maxEvacuation-minEvacuation))
		until := time.Now()
		h.store.EndEvacuation(zone)
		h.record.addEvacuation(Evacuation{Zone: zone, At: at, Until: until})
	}
}

// evacuatedZonesAvoided: no request reaches a replica whose availability zone was
// evacuated more than evacuationDeadline before.
func evacuatedZonesAvoided(r *Record) []string {
	var violations []string
	calls := r.callsByID()
	for _, n := range r.Runs {
		c, known := calls[n.ID]
		for _, e := range r.Evacuations {
			late := n.At.After(e.At.Add(evacuationDeadline+schedulingSlack)) && n.At.Before(e.Until)
			if known && late && r.Zones[n.Replica] == e.Zone && r.undisturbed(c) {
				violations = append(violations, fmt.Sprintf("%s reached %s %v after zone %s was evacuated", n.ID, n.Replica, n.At.Sub(e.At), e.Zone))
			}
		}
	}
	return violations
}
