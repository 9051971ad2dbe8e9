package gatewayd

import (
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// An answer with a status that HTTP does not have was passed on, or ended its caller's connection
// without an answer and without a line of the log.
func TestInvalidStatusReachesCaller(t *testing.T) {
	playInvalidHeads(t, standin.InvalidStatuses())
}

// playInvalidHeads checks that no caller gets an answer with one of the heads: another upstream
// answers a request that may be repeated, and others get an error of the gateway.
func playInvalidHeads(t *testing.T, heads []standin.InvalidHead) {
	t.Helper()
	for _, uri := range []string{"/read/1", "/write/1", "/chat/1", "/note/1"} {
		for _, h := range heads {
			t.Run(h.Name+", "+uri, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				kind, body, sound := "text/plain", "other", standin.Reply{Body: "sound"}
				want := sound.Body
				if asksForStream(standin.Request{URI: uri}) {
					kind, body, sound = "text/event-stream", standin.Event(1, "other"), standin.Reply{Events: garbledData}
					want = eventsOf(len(garbledData))
				}
				w := newTestEnv(t, 2, func(n int, r standin.Request) standin.Reply {
					if n == 0 {
						return standin.Reply{Raw: h.Answer(r.ID, kind, body)}
					}
					return sound
				})
				a := w.call(uri)
				is.NoErr(a.Err)
				is.True(a.Whole)
				if slices.Contains([]string{"/read/1", "/note/1"}, uri) {
					is.Equal(a.Status, http.StatusOK)
					is.Equal(a.Body, want)
				} else {
					is.Equal(a.Status, http.StatusBadGateway)
					is.True(!a.Sealed())
					is.Equal(len(w.ran()), 1)
				}
				is.Equal(strings.Count(w.logs.String(), `"failure":"lost"`), 1) // the attempt has ended, and a line says so
			})
		}
	}
}
