package gatewayd

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// While a host is suspended for seconds, its monotonic clock stops, and the view of the
// gateway looks as recent as before. The gateway accepted keys that may have been revoked
// in the meantime.
func TestKeysAfterASuspension(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, 1, replyOK)
	is.Equal(w.call("/read/1").Status, http.StatusOK)
	w.store.SetFault(standin.Silent)
	w.suspend(10 * time.Second)
	is.Equal(w.call("/read/1").Status, http.StatusServiceUnavailable)
	is.Equal(len(w.ran()), 1)
	w.store.SetFault(standin.NoFault)
	w.await(func() bool { return w.call("/read/1").Status == http.StatusOK })
}

// A request that expires while the host is suspended is answered at once, and no part of
// it is sent.
func TestRequestAfterASuspension(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, 1, replyOK)
	conn := w.beginBody("/write/1", 4, "ab")
	w.await(func() bool { return w.server.inFlight.Load() == 1 })
	w.suspend(3 * time.Second)
	_, err := io.WriteString(conn, "cd")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(len(w.ran()), 0)
}
