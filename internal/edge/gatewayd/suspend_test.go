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

// A host was suspended for seconds: the steady clock stood still, and what the gateway
// believed looked as young as before. It honoured keys that may have been taken away
// meanwhile.
func TestKeysAfterASuspension(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, fine)
	is.Equal(w.call("/read/1").Status, http.StatusOK)
	w.store.SetFault(standin.Silent)
	w.suspend(10 * time.Second)
	is.Equal(w.call("/read/1").Status, http.StatusServiceUnavailable)
	is.Equal(len(w.ran()), 1)
	w.store.SetFault(standin.NoFault)
	w.await(func() bool { return w.call("/read/1").Status == http.StatusOK })
}

// A request whose time ran out while the host was suspended is answered at once, and
// nothing of it is sent.
func TestRequestAfterASuspension(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, fine)
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
