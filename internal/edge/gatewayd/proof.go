package gatewayd

import (
	"time"

	"github.com/gladegauge/gladegauge/platform"
)

// proofSlack is how much later than its wait an empty answer to a watch may come
// for its wait to count. A store that is well takes milliseconds; after a longer
// time this process may have stood still, and the answer may have waited for it.
const proofSlack = 300 * time.Millisecond

// provedAt returns a moment at which what is known was the newest. A watch that
// brought nothing was answered when its wait was over, and not before. Any
// other answer may be as old as its question: one that came too early was cut
// short, and one that came too late may have been, while this process was frozen.
func provedAt(asked, answered time.Time, wait time.Duration, c platform.Changes) time.Time {
	took := answered.Sub(asked)
	if c.Any() || took < wait || took > wait+proofSlack {
		return asked
	}
	return asked.Add(wait)
}
