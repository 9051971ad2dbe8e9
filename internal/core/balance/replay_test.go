package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// replayClass is a kind of request in a replay.
type replayClass struct {
	name   string
	tier   int
	target time.Duration
	// pause is the longest pause that is in time; 0 for the target.
	pause time.Duration
	// perS is the rate in the whole fleet; burst multiplies it from burstAt for
	// burstFor, in seconds.
	perS                     float64
	burst, burstAt, burstFor float64
	// more are further bursts.
	more []replayBurst
	// shared are the sizes and the numbers of its shared parts, from the first on.
	shared  []replayPart
	own     int
	output  int
	patient time.Duration
	// spread is of the lengths, as the deviation of their logarithm; 0 for 0.8.
	spread float64
}

// replayBurst multiplies the rate for a while, in seconds.
type replayBurst struct{ times, at, length float64 }

// pauseLimit is the longest pause that is in time.
func (c *replayClass) pauseLimit() time.Duration {
	if c.pause > 0 {
		return c.pause
	}
	return c.target
}

type replayPart struct{ tokens, things int }

// The kinds of request of a counter: long checks in bursts beside chats that bear
// only short pauses.
func replayClasses() []replayClass {
	return []replayClass{
		{name: "check", tier: 2, target: 1500 * time.Millisecond, perS: 2.6, shared: []replayPart{{2520, 4}, {3780, 2358}}, own: 2890, output: 52, patient: 4 * time.Second},
		{name: "note", tier: 1, target: 600 * time.Millisecond, perS: 1.6, shared: []replayPart{{341, 32}, {227, 2196}}, own: 1800, output: 24, patient: 3 * time.Second},
		{name: "chat", tier: 0, target: 400 * time.Millisecond, perS: 1.2, shared: []replayPart{{103, 32}, {69, 1108}}, own: 543, output: 280, patient: 12 * time.Second},
	}
}

// burstOf returns the kinds with a burst of checks, and in its midst one of chats.
func burstOf(checks, chats float64) []replayClass {
	classes := replayClasses()
	classes[0].burst, classes[0].burstAt, classes[0].burstFor = checks, 0.5, 6
	classes[2].burst, classes[2].burstAt, classes[2].burstFor = chats, 3, 3
	return classes
}

// Loads at which a fleet served badly, played by the real tables. The floors lie below
// what is reached now, and above what was reached before the decision that the load
// belongs to; that is named beside it.
func TestReplays(t *testing.T) {
	tests := []struct {
		name              string
		gateways, engines int
		every, lag        time.Duration
		checks, chats     float64
		// crash is the share of the engines that crash after three seconds.
		crash float64
		// The least shares in time.
		check, chat float64
		// refusals is the most connections to dead engines; 0 for any.
		refusals int
	}{
		// All engines compared, streams anywhere: 0.780 and 0.770.
		{name: "a burst of prompts at many gateways", gateways: 36, engines: 60, every: 200 * time.Millisecond, lag: 100 * time.Millisecond, checks: 2, chats: 1.8, check: 0.93, chat: 0.93},
		// The same: 0.715 and 0.419; with 8 engines drawn at least 0.82.
		{name: "words three times as old", gateways: 36, engines: 60, every: 600 * time.Millisecond, lag: 300 * time.Millisecond, checks: 2, chats: 1.8, check: 0.88, chat: 0.65},
		// The same: 0.789 and 0.848; each gateway for itself: 648 refusals.
		{name: "a quarter of the engines crash", gateways: 36, engines: 60, every: 200 * time.Millisecond, lag: 100 * time.Millisecond, checks: 1.3, chats: 1, crash: 0.25, check: 0.93, chat: 0.85, refusals: 150},
		// All taken: 0.331 and 0.191.
		{name: "far more prompts than fit", gateways: 36, engines: 60, every: 200 * time.Millisecond, lag: 100 * time.Millisecond, checks: 4, chats: 1.8, check: 0.36, chat: 0.5},
		// Streams anywhere: 0.979 and 0.726.
		{name: "few gateways", gateways: 3, engines: 9, every: 100 * time.Millisecond, lag: 2 * time.Millisecond, checks: 2, chats: 1.8, check: 0.97, chat: 0.95},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newReplay(tt.gateways, tt.engines, tt.every, tt.lag, burstOf(tt.checks, tt.chats))
			if tt.crash > 0 {
				r.crash(3, tt.crash)
			}
			r.run(7)
			r.report(t)
			is.True(r.share("check", inTime) >= tt.check)
			is.True(r.share("chat", inTime) >= tt.chat)
			is.True(tt.refusals == 0 || r.refusals <= tt.refusals)
		})
	}
}
