package gatewayd

import "github.com/gladegauge/gladegauge/internal/core/balance"

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// partNames returns the names of the first parts of the prompt that other requests may share,
// for log lines.
func partNames(p balance.Prompt) []string {
	parts := p.Shared()
	names := make([]string, 0, min(len(parts), maxLoggedParts))
	for _, part := range parts[:cap(names)] {
		names = append(names, part.Name)
	}
	return names
}
