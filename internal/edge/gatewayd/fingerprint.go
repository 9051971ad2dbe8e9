package gatewayd

import "github.com/gladegauge/gladegauge/internal/core/suspect"

// fingerprint returns the print of the request, by which it is known when it comes
// again.
func (x *request) fingerprint() suspect.Print {
	if x.print == (suspect.Print{}) {
		x.print = suspect.PrintOf(suspect.Content{
			Organisation: x.organisation(),
			Method:       x.r.Method,
			Host:         hostOf(x.r),
			URI:          x.r.RequestURI,
			Body:         x.body.buffered,
			Length:       x.body.length,
		})
	}
	return x.print
}
