package gatewayd

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/platform"
	"github.com/gladegauge/gladegauge/platform/standin"
)

// Callers that do not keep to the protocol get an error or a closed connection, and what they
// send reaches no upstream.
func TestBadCallers(t *testing.T) {
	request := func(lines map[string][]string) standin.Request {
		return standin.Request{ID: "bad", Host: "x.example", URI: "/write/1", Key: "key-a", Header: lines}
	}
	tests := []struct {
		name string
		send func(u *standin.Upload) error
		// status is 0 if the connection is closed without a response.
		status int
	}{
		{"a head that is too long", func(u *standin.Upload) error {
			return u.Begin(request(map[string][]string{"X-Long": {strings.Repeat("x", 200_000)}}), 0)
		}, http.StatusRequestHeaderFieldsTooLarge},
		{"two lengths", func(u *standin.Upload) error {
			return u.Begin(request(map[string][]string{"Content-Length": {"9"}}), 3)
		}, http.StatusBadRequest},
		{"a malformed chunk", func(u *standin.Upload) error {
			if err := u.Begin(request(nil), -1); err != nil {
				return err
			}
			return u.Raw("zz\r\nPOST /write/2 HTTP/1.1\r\n\r\n")
		}, http.StatusBadRequest},
		{"another protocol", func(u *standin.Upload) error { return u.Raw("SSH-2.0-OpenSSH\r\n\r\n") }, http.StatusBadRequest},
		{"stops in the head", func(u *standin.Upload) error { return u.Raw("POST /write/1 HTTP/1.1\r\nX-") }, http.StatusBadRequest},
		{"sends nothing", func(*standin.Upload) error { return nil }, 0},
	}
	w := newTestEnv(t, 1, replyOK)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := standin.NewUpload(t, w.server.CallersAddress(), time.Now().Add(testTimeout))
			_ = tt.send(u) // The gateway may close the connection before it has read all.
			a := u.Answer()
			is.Equal(a.Status, tt.status)
			is.True(u.Ended())
			is.Equal(len(w.ran()), 0)
		})
	}
	w.is.Equal(w.call("/read/1").Status, http.StatusOK)
}

// A request for readiness whose head has no end or stops is answered or its connection is closed,
// and the next request is served. The server of the metrics has the same limits.
func TestBadReadinessRequests(t *testing.T) {
	tests := []struct {
		name  string
		begin string
		again string
	}{
		{"a head without end", "GET " + platform.ReadyPath + " HTTP/1.1\r\nA: ", strings.Repeat("x", 4<<10)},
		{"a line without end", "", strings.Repeat("x", 4<<10)},
		{"stops in the head", "GET " + platform.ReadyPath + " HTTP/1.1\r\nA: ", ""},
		{"sends nothing", "", ""},
	}
	w := newTestEnv(t, 1, replyOK)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			conn, err := net.Dial("tcp", w.server.ReadinessAddress())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			is.NoErr(conn.SetDeadline(time.Now().Add(testTimeout)))
			_, err = io.WriteString(conn, tt.begin)
			for err == nil && tt.again != "" {
				_, err = io.WriteString(conn, tt.again)
			}
			is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // the gateway does not read on
			_, err = io.Copy(io.Discard, conn)
			is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // nor keep the connection
			is.Equal(w.readiness(), http.StatusOK)
		})
	}
}
