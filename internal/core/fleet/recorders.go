package fleet

import (
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// A gateway may be gone when the caller of a stream that it began resumes it. It therefore
// reports its streams to recorders. Whoever resumes a stream asks all of them, as nothing in
// the request tells which gateway began it. In a small fleet every gateway is a recorder. In
// a large one a part of them are, so that asking all of them takes few calls, and the reports
// of a few gateways go to each.

// Numbers of recorders.
const (
	// minRecorders is the number of gateways up to which all of them are recorders.
	minRecorders = 16
	// recorderPart is the number of gateways for each recorder in a large fleet.
	recorderPart = 8
)

// Recorders returns the first n recorders to which this gateway reports its streams.
func (f *Fleet) Recorders(now time.Time, n int) []string {
	list := f.recorders(now, func(p *peer) bool {
		return !p.Leaving && !now.Before(p.downUntil) && !now.Before(p.recorderDownUntil)
	})
	list = rendezvous.Rank(f.self.Address, list)
	return list[:min(n, len(list))]
}

// RecorderFailed records that a recorder did not answer: another one replaces it for a while.
// Other calls to that gateway are not affected, because their timeouts are longer.
func (f *Fleet) RecorderFailed(now time.Time, address string) {
	if p, ok := f.peers[address]; ok {
		p.recorderDownUntil = now.Add(p.failed())
	}
}

// AllRecorders returns all other gateways that may know of a stream. Those that are leaving, or
// did not answer the latest call, are among them, as they may still answer.
func (f *Fleet) AllRecorders(now time.Time) []string {
	return f.recorders(now, func(*peer) bool { return true })
}

// recorders returns the recorders that use selects, apart from this gateway. Whether a gateway
// is a recorder does not depend on it, so that the views of the fleet agree while calls fail.
func (f *Fleet) recorders(now time.Time, use func(*peer) bool) []string {
	members := []string{f.self.Address}
	var selected []string
	for p := range f.aliveSeq(now) {
		members = append(members, p.Address)
		if use(p) {
			selected = append(selected, p.Address)
		}
	}
	if len(members) <= minRecorders {
		return selected
	}
	ranked := f.ranked("recorders", members)
	ranked = ranked[:max(minRecorders, len(members)/recorderPart)]
	return slices.DeleteFunc(selected, func(address string) bool { return !slices.Contains(ranked, address) })
}
