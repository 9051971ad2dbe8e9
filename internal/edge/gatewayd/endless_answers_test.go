package gatewayd

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// endlessReadBytes bounds what an upstream can send of bytes without end before its connection is
// closed: what the gateway reads, and the buffers of the kernel on both sides.
const endlessReadBytes = 24 << 20

// An upstream whose answer has bytes without end, at any place, costs its caller no more than
// another attempt: the request is tried elsewhere or answered with the truth, long before the
// deadline, and the connection of the upstream is closed soon. Callers waited for their whole
// deadline where these bytes belonged to another request, came slowly, or followed a refusal.
func TestAnswersWithoutEnd(t *testing.T) {
	for i, e := range standin.EndlessAnswers("") {
		for _, uri := range []string{"/read/1", "/write/1", "/chat/1"} {
			t.Run(e.Name+" "+uri, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				w := newTestEnv(t, 2, func(n int, r standin.Request) standin.Reply {
					if n == 0 {
						return standin.Reply{Endless: &standin.EndlessAnswers(r.ID)[i]}
					}
					return standin.Reply{Body: "good"}
				})
				began := time.Now()
				a := w.call(uri)
				took := time.Since(began)
				is.NoErr(a.Err)
				is.True(took < time.Second) // the deadline is 1.5 s
				switch {
				case e.Whole:
					is.Equal(a.Status, http.StatusOK)
					is.Equal(a.Body, standin.EndlessBody)
				case uri == "/read/1", e.Refusal:
					is.Equal(a.Status, http.StatusOK)
					is.Equal(a.Body, "good")
				default:
					is.Equal(a.Status, http.StatusBadGateway) // its outcome is unknown
					is.Equal(len(w.ran()), 1)
				}
				is.True(a.Whole)
				w.await(func() bool { return len(w.endless()) == 1 })
				is.True(w.endless()[0].Bytes <= endlessReadBytes)
				if !e.Whole {
					is.True(time.Since(began) < 2*time.Second) // the connection is closed as well
				}
			})
		}
	}
}

// endless returns what all replicas sent of bytes without end.
func (w *testEnv) endless() []standin.Sent {
	var all []standin.Sent
	for _, r := range w.replicas {
		all = append(all, r.Endless()...)
	}
	return all
}
