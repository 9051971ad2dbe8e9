package gatewayd

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// leavingLine is the word of an upstream that leaves, as it stands in the heads of its
// answers.
const leavingLine = "Server-Leaving: 1\r\n"

// While the store was silent, an upstream said in its answers that it leaves, and the
// gateway that passed such an answer on sent it another request 12.3 s later, another
// gateway 2.2 s later. Gateways knew of leaving from the store's entries alone: between
// the answer and "store: reachable again" no log line spoke of it, and the next pick still
// compared all of "candidates":12.
func TestUpstreamThatSaysItLeavesGetsNothingNew(t *testing.T) {
	tests := []struct {
		name  string
		reply standin.Reply
	}{
		{"with an answer", standin.Reply{Body: "done", HeaderLines: leavingLine}},
		{"with a stream", standin.Reply{Events: []string{"a", "b"}, HeaderLines: leavingLine}},
		{"with an error", standin.Reply{Status: 500, HeaderLines: leavingLine}},
		{"with a refusal", standin.Reply{Refuse: true, HeaderLines: leavingLine}},
		{"with an answer that is cut off", standin.Reply{Body: "done", CutAfter: 1, HeaderLines: leavingLine}},
		{"with an answer in the place of another one", standin.Reply{Body: "done", ForeignFirst: true, HeaderLines: leavingLine}},
		{"with an interim answer", standin.Reply{Body: "done", Interim: "HTTP/1.1 103 Early Hints\r\n" + leavingLine + "\r\n"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newTestEnv(t, 3, func(int, standin.Request) standin.Reply { return tt.reply })
			w.store.SetFault(standin.Silent)
			for range 3 {
				w.call("/write/1") // each upstream says so once
			}
			for range 5 {
				a := w.call("/write/1")
				is.Equal(a.Status, 503)
				is.True(a.RetryAfter() > 0)
			}
			for _, r := range w.replicas {
				is.True(len(r.Received()) <= 1)
			}
		})
	}
}
