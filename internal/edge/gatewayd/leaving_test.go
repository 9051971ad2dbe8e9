package gatewayd

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// leavingLine is the header line with which an upstream announces that it is leaving.
const leavingLine = "Server-Leaving: 1\r\n"

// An upstream that announces in any response that it is leaving gets no new requests, also
// while the store is unreachable. If gateways learn of it from the store's entries alone, they keep
// sending: during a store outage the gateway that had relayed such a response sent the upstream
// another request 12.3 s later.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	tests := []struct {
		name  string
		reply standin.Reply
	}{
		{"with an answer", standin.Reply{Body: "done", HeaderLines: leavingLine}},
		{"with a stream", standin.Reply{Events: []string{"a", "b"}, HeaderLines: leavingLine}},
		{"with an error", standin.Reply{Status: 500, HeaderLines: leavingLine}},
		{"with a refusal", standin.Reply{Refuse: true, HeaderLines: leavingLine}},
		{"with a truncated answer", standin.Reply{Body: "done", CutAfter: 1, HeaderLines: leavingLine}},
		{"with an answer to another request", standin.Reply{Body: "done", ForeignFirst: true, HeaderLines: leavingLine}},
		{"with an interim answer", standin.Reply{Body: "done", Interim: "HTTP/1.1 103 Early Hints\r\n" + leavingLine + "\r\n"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newTestEnv(t, 3, func(int, standin.Request) standin.Reply { return tt.reply })
			w.store.SetFault(standin.Silent)
			for range 3 {
				w.call("/write/1") // each upstream announces it once
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
