package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/edge/loop"
)

const (
	// concentrationDuration is how long most new connections go to one gateway.
	concentrationDuration = 5 * time.Second
	// maxConcentrationPause is the maximum pause before that.
	maxConcentrationPause = 2 * time.Second
	// concentrationContact is the time after which it must not cost reads any more.
	concentrationContact = 2 * time.Second
	// concentrationPercent is the percentage of the calls that then open a new connection to
	// that gateway.
	concentrationPercent = 85
	// minConcentrationRatio is the least share of reads served, relative to other times, and
	// minConcentrationReads the number of reads of either kind from which on it is checked.
	minConcentrationRatio = 0.75
	minConcentrationReads = 20
)

// Concentration is a time in which most new connections go to one gateway.
type Concentration struct {
	Gateway   int
	At, Until time.Time
}

// InjectConcentrations makes callers open most new connections to one gateway, and then to
// another one, until the context ends.
func (h *Harness) InjectConcentrations(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 89)) //nolint:gosec // Seeded on purpose.
	for loop.Sleep(ctx, randomBelow(rng, maxConcentrationPause)) {
		c := Concentration{Gateway: rng.IntN(len(h.procs)), At: time.Now()}
		h.concentrated.Store(int64(c.Gateway))
		loop.Sleep(ctx, concentrationDuration)
		h.concentrated.Store(noGateway)
		c.Until = time.Now()
		h.record.recordConcentration(c)
	}
}

// concentrationServed: while most new connections go to one gateway, it serves reads at the
// first attempt nearly as often as gateways do at other times. Gateways with faults do not
// count, nor do connections that were closed unread.
func concentrationServed(r *Record) []string {
	var during, otherwise struct{ good, all int }
	for _, c := range r.Calls {
		if c.Kind != kindRead || c.Key != permanentKey || c.Status == 0 || !r.undisturbed(c) {
			continue
		}
		count := &otherwise
		if r.concentratedOn(c) {
			count = &during
		}
		count.all++
		if c.Status == http.StatusOK && c.Whole {
			count.good++
		}
	}
	if during.all < minConcentrationReads || otherwise.all < minConcentrationReads {
		return nil
	}
	ratio := float64(during.good) / float64(during.all) / (float64(otherwise.good) / float64(otherwise.all))
	if ratio < minConcentrationRatio {
		return []string{fmt.Sprintf("%d of %d reads were served, %d of %d at other times", during.good, during.all, otherwise.good, otherwise.all)}
	}
	return nil
}

// concentratedOn reports whether most new connections had gone to the gateway of the call for
// some time.
func (r *Record) concentratedOn(c Call) bool {
	return slices.ContainsFunc(r.Concentrations, func(k Concentration) bool {
		return k.Gateway == c.Gateway && c.Sent.After(k.At.Add(concentrationContact)) && c.Sent.Before(k.Until)
	})
}
