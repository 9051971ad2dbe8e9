package gatewayd

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// restLine asks for rest of half a minute, as it stands in the head of a refusal.
const restLine = "Retry-After: 30\r\n"

// Four upstreams of twelve refused all requests and asked for 3 s of rest each. One of
// them got 24 requests of one gateway in that time, and all four together 210 of the
// pool's 414. A refusal taught nothing: upstreams that refuse have "in_flight":0, so that
// they looked idle beside the others with 0.83 in the mean, and the next request went
// there again. The callers were told to come back in 50 ms.
func TestUpstreamThatAsksForRestGetsNone(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3, func(int, standin.Request) standin.Reply {
		return standin.Reply{Refuse: true, Lines: restLine}
	})
	for range 20 {
		w.call("/write/1")
	}
	for _, r := range w.replicas {
		is.True(len(r.Arrived()) <= 1)
	}
}
