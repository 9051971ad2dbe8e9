package gatewayd

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// An answer without length of an upstream that crashed before it had read the body of the request
// was passed on as whole, as the write of the body took the error of the connection.
func TestCutAnswerPassesForWhole(t *testing.T) {
	part := strings.Repeat("a", 4_000)
	tests := []struct {
		name  string
		uri   string
		reply standin.Reply
	}{
		{"plain", "/write/1", standin.Reply{Body: part}},
		{"larger than the buffer", "/write/1", standin.Reply{Body: strings.Repeat("a", 100_000)}},
		{"after an interim answer", "/write/1", standin.Reply{Body: part, Interim: "HTTP/1.1 103 Early Hints\r\n\r\n"}},
		{"error", "/write/1", standin.Reply{Status: http.StatusInternalServerError, Body: part}},
		{"stream", "/chat/1", standin.Reply{Events: []string{"a", "b"}}},
		{"stream that may be resumed", "/note/1", standin.Reply{Events: []string{"a", "b"}}},
	}
	const requests, bodyBytes = 6, 16 << 20
	body := standin.NumberedBody("long", bodyBytes)
	for _, tt := range tests {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, chunked %t", tt.name, chunked), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				reply := tt.reply
				reply.Unframed = true
				w := newTestEnv(t, 1, replyOK)
				w.allowBodies(bodyBytes)
				w.replicas[0].SetEarly(func(standin.Request) (standin.Early, bool) {
					crash := make(chan struct{})
					time.AfterFunc(fillTime, func() { close(crash) })
					return standin.Early{Reply: reply, Reset: crash}, true
				})
				for range requests {
					u := w.upload()
					is.NoErr(u.Begin(longRequest("long", tt.uri), declared(body, chunked)))
					_ = u.Send(body) // the gateway may stop reading
					a := u.Answer()
					t.Logf("status %d, whole %t, %d bytes, %v", a.Status, a.Whole, len(a.Body), a.Err)
					is.True(!a.Whole || !a.Sealed()) // cut, or the gateway's own
					u.Close()
				}
			})
		}
	}
}

// allowBodies puts a configuration in force that allows bodies of so many bytes.
func (w *testEnv) allowBodies(n int64) {
	w.t.Helper()
	cfg := configuration(2)
	cfg.MaxBody = n
	w.store.PutConfig(cfg)
	w.await(func() bool { return w.server.view.Load().Table.Version == cfg.Version })
}

// fillTime is more than it takes to fill the buffers between a gateway and an upstream, so that a
// write of the gateway waits.
const fillTime = 100 * time.Millisecond

// An answer without length of an upstream that ends it before it has read the body is passed on as
// whole.
func TestUnframedAnswerBeforeBodyIsRead(t *testing.T) {
	for _, length := range []int{300, 4_000, 100_000} {
		t.Run(fmt.Sprintf("%d bytes", length), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newTestEnv(t, 1, replyOK)
			answer := strings.Repeat("a", length)
			w.replicas[0].SetEarly(func(standin.Request) (standin.Early, bool) {
				return standin.Early{Reply: standin.Reply{Body: answer, Unframed: true}}, true
			})
			u := w.upload()
			body := standin.NumberedBody("long", 400_000)
			is.NoErr(u.Begin(longRequest("long", "/write/1"), len(body)))
			is.NoErr(u.Send(body[:sentOfBody]))
			a := u.Answer()
			is.NoErr(a.Err)
			is.Equal(a.Status, http.StatusOK)
			is.Equal(a.Body, answer)
		})
	}
}
