package gatewayd

import "github.com/gladegauge/gladegauge/internal/core/suspect"

// fingerprint returns the fingerprint of the request, which identifies it when it is sent
// again. It is computed on first use.
func (x *request) fingerprint() suspect.Print {
	if x.print == (suspect.Print{}) {
		x.print = suspect.PrintOf(suspect.Content{
			Organisation: x.organisation(),
			Method:       x.r.Method,
			Host:         hostOf(x.r),
			URI:          upstreamURL(x.r).RequestURI(),
			Body:         x.body.buffered,
			Length:       x.body.length,
		})
	}
	return x.print
}
