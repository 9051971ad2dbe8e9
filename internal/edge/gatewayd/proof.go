package gatewayd

import (
	"time"

	"github.com/gladegauge/gladegauge/platform"
)

// proofSlack is how much later than its wait an empty answer to a watch may arrive and
// still prove that the whole wait brought no change. A healthy store takes milliseconds.
// After a longer time this process may have been suspended while the answer was waiting
// for it.
const proofSlack = 300 * time.Millisecond

// provedAt returns a time at which the known state was the newest. A watch without changes
// was answered at the end of its wait, and not before. Any other answer may be as old as
// its query: one that arrived too early was cut short, and one that arrived too late may
// have been cut short while this process was suspended.
func provedAt(asked, answered time.Time, wait time.Duration, c platform.Changes) time.Time {
	took := answered.Sub(asked)
	if c.Any() || took < wait || took > wait+proofSlack {
		return asked
	}
	return asked.Add(wait)
}
