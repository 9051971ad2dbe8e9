package exchange

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/responsehead"
)

// An invalid head was taken for a response. It fails the exchange, wherever it stands among the
// responses on the connection; nothing that it announces is used, and its connection is closed. It
// does not count as a connection that the upstream had dropped.
func TestInvalidHead(t *testing.T) {
	sound := answer("mine", "ok")
	tests := []struct{ name, text string }{
		{"status 000", strings.Replace(sound, "200 OK", "000", 1)},
		{"status with a sign", strings.Replace(sound, "200 OK", "+20 OK", 1)},
		{"status above 599", strings.Replace(sound, "200 OK", "600 OK", 1)},
		{"blank in the name of a field", strings.Replace(sound, "\r\n", "\r\nBad Name: v\r\n", 1)},
		{"blank before the colon", strings.Replace(sound, "\r\n", "\r\nContent-Length : 9\r\n", 1)},
		{"in an interim response", "HTTP/1.1 103 Early Hints\r\nBad Name: v\r\n\r\n" + sound},
		{"in a response to another request", strings.Replace(answer("other", "no"), "200 OK", "000", 1) + sound},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := newUpstream(t, sound, tt.text, sound)
			clock := &fakeClock{now: time.Unix(1000, 0)}
			c, opened := client(clock)
			var seen []string
			call := func() error {
				_, err := getWith(t, c, u.l.Addr().String(), "", func(r *http.Response) { seen = append(seen, r.Status) })
				return err
			}
			is.NoErr(call())
			clock.now = clock.now.Add(2 * minIdleLimit) // the connection is idle for long enough to be dropped
			err := call()
			var lost *LostError
			is.True(errors.As(err, &lost))
			is.True(errors.Is(err, responsehead.ErrInvalid))
			is.Equal(c.limit.current(clock.now, u.l.Addr().String()), time.Duration(0))
			is.Equal(*opened, 1)
			is.NoErr(call())
			is.Equal(*opened, 2)
			is.Equal(seen, []string{"200 OK", "200 OK"})
		})
	}
}
