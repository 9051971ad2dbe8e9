package gatewayd

import (
	"time"

	"github.com/gladegauge/gladegauge/platform"
)

// provedAt returns a moment at which what is known was the newest. A watch that
// brought nothing was answered when its wait was over, and not before. Any
// other answer may be as old as its question.
func provedAt(asked, answered time.Time, wait time.Duration, c platform.Changes) time.Time {
	if c.Any() || answered.Sub(asked) < wait {
		return asked
	}
	return asked.Add(wait)
}
