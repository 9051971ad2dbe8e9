package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/fleet"
	"github.com/gladegauge/gladegauge/internal/core/occupancy"
)

// The kinds of request of a counter whose work has shifted: small events, and checks
// that must be complete in four seconds. Checks, then notes, then chats burst.
func shiftedClasses(scale float64) []replayClass {
	return []replayClass{
		{name: "check", tier: 2, target: 1500 * time.Millisecond, perS: 3.4 * scale, shared: []replayPart{{2520, 4}, {3780, 628}}, own: 2890, output: 52, spread: 1.1, patient: 4 * time.Second,
			burst: 2.76, burstAt: 0.5, burstFor: 9, more: []replayBurst{{2.4, 16, 2}}},
		{name: "note", tier: 1, target: 500 * time.Millisecond, pause: 600 * time.Millisecond, perS: 2.3 * scale, shared: []replayPart{{341, 40}, {227, 877}}, own: 1800, output: 23, spread: 1.1, patient: 3 * time.Second,
			burst: 2.4, burstAt: 9, burstFor: 9},
		{name: "chat", tier: 0, target: 300 * time.Millisecond, pause: 400 * time.Millisecond, perS: 1.0 * scale, shared: []replayPart{{103, 40}, {69, 295}}, own: 543, output: 280, spread: 0.7, patient: 10 * time.Second,
			burst: 2.44, burstAt: 11, burstFor: 5},
	}
}

// newAdmittingReplay returns a replay of engines that are alike and admit prompts by their
// memory.
func newAdmittingReplay(gateways, engines int, classes []replayClass) *replay {
	r := newReplay(gateways, engines, 100*time.Millisecond, 60*time.Millisecond, classes)
	r.admits, r.eventTokens = true, 9
	for _, e := range r.order {
		e.speed = 1
	}
	return r
}

// More than fits, for many seconds, with a fifth of the engines gone: engines admit
// prompts while their memory lasts and read them in turn, and callers leave at their
// deadline. The floors lie above what was reached when only waits of more than a whole
// target were turned away and prompts compared nearly twice as many engines.
func TestReplaysOfOverload(t *testing.T) {
	tests := []struct {
		name  string
		scale float64
		// The least shares in time.
		check, note, chat float64
		// refused is the most of the checks that may be turned away.
		refused float64
	}{
		// Before: 0.957, 0.916, 0.981; none turned away.
		{name: "it fits", scale: 0.7, check: 0.90, note: 0.90, chat: 0.96, refused: 0.05},
		// Before: 0.561, 0.513, 0.816.
		{name: "more than fits", scale: 1, check: 0.62, note: 0.70, chat: 0.93, refused: 0.27},
		// Before: 0.440, 0.509, 0.703.
		{name: "far more than fits", scale: 1.15, check: 0.48, note: 0.60, chat: 0.88, refused: 0.40},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newAdmittingReplay(31, 56, shiftedClasses(tt.scale))
			r.crash(6, 0.21)
			r.run(19)
			r.report(t)
			t.Logf("read for answers that were cut: %d k tokens", r.cutTokens/1000)
			is.True(r.share("check", inTime) >= tt.check)
			is.True(r.share("note", inTime) >= tt.note)
			is.True(r.share("chat", inTime) >= tt.chat)
			is.True(r.share("check", refusedResult) <= tt.refused)
		})
	}
}

// The same load, by words as old as those of gateways in availability zones of a size. The
// floors lie above what is reached with one relay for the whole zone, and do not fall with
// its size.
func TestReplaysOfOverloadAtSize(t *testing.T) {
	tests := []struct {
		name string
		// zone is the number of gateways in an availability zone.
		zone  int
		scale float64
		// The least shares in time.
		check, note, chat float64
	}{
		// One relay: 0.54, 0.45, 0.78.
		{name: "more than fits", zone: 76, scale: 1, check: 0.58, note: 0.50, chat: 0.84},
		{name: "more than fits, at twice the size", zone: 160, scale: 1, check: 0.58, note: 0.50, chat: 0.84},
		// One relay: 0.43, 0.39, 0.52.
		{name: "far more than fits", zone: 76, scale: 1.15, check: 0.47, note: 0.48, chat: 0.74},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			pace := occupancy.PaceOf(tt.zone, fleet.MaxCellSize, true)
			r := newAdmittingReplay(31, 56, shiftedClasses(tt.scale))
			r.every, r.lag = pace.Members, pace.Age()-pace.Members/2
			r.crash(6, 0.21)
			r.run(19)
			r.report(t)
			is.True(r.share("check", inTime) >= tt.check)
			is.True(r.share("note", inTime) >= tt.note)
			is.True(r.share("chat", inTime) >= tt.chat)
		})
	}
}
