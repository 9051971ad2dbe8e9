package gatewayd

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// A request whose stream the gateway had ended, since its upstream sent bytes that no run made, was
// blamed for the end of that upstream by another cause, up to lostRetention later.
func TestGarbledStreamBlamedForLaterCrash(t *testing.T) {
	body := playLaterCrash(t, "/brief/1", func(r standin.Request) standin.Reply {
		return standin.RawStream{Parts: []string{eventsOf(1), "garbage\n\n"}}.Reply(r, standin.InChunks)
	})
	is.New(t).Equal(body, eventsOf(1))
}

// A request that was answered with an invalid head was blamed in the same way.
func TestInvalidHeadBlamedForLaterCrash(t *testing.T) {
	tests := []struct{ name, status, lines string }{
		{"status 000", "000", "Content-Length: 2\r\n"},
		{"blank in the name of a field", "200 OK", "Bad Name: v\r\nContent-Length: 2\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			body := playLaterCrash(t, "/write/1", func(r standin.Request) standin.Reply {
				return standin.Reply{Raw: standin.RawAnswerWithStatus(r.ID, tt.status, tt.lines, "ok")}
			})
			is.New(t).Equal(body, "outcome_unknown\n")
		})
	}
}

// playLaterCrash calls an upstream that then crashes by another cause, and checks that the request is
// not blamed for it. It returns the body that the caller got.
func playLaterCrash(t *testing.T, uri string, reply func(r standin.Request) standin.Reply) string {
	t.Helper()
	is := is.New(t)
	w := newTestEnv(t, 1, func(_ int, r standin.Request) standin.Reply { return reply(r) })
	a := w.call(uri)
	is.NoErr(a.Err)
	time.Sleep(5 * sameCrash) // its connection did not break in the crash
	w.replicas[0].Crash()
	w.caller.Call(t.Context(), standin.Request{ID: "finds-the-end", Host: "x.example", URI: "/read/1", Key: "key-a", DeadlineMs: 1500})
	w.await(func() bool { return strings.Contains(w.logs.String(), `"message":"upstream has ended"`) })
	for line := range strings.Lines(w.logs.String()) {
		if strings.Contains(line, `"message":"upstream crashed while running a request"`) && strings.Contains(line, `"request":"r-1"`) {
			t.Error(line)
		}
	}
	return a.Body
}
