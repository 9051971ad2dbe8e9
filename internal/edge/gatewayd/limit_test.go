package gatewayd

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// limitLine names a limit of one request a second, as it stands in the heads of answers.
const limitLine = "Server-Limit: 1\r\n"

const (
	// limitWindow is the time over which an upstream counts what it gets, limitOverrun how
	// many times its limit it bears, and limitSlack how many requests beside that.
	limitWindow  = 4 * time.Second
	limitOverrun = 1.5
	limitSlack   = 5
)

// Two engines said in their answers that they take one request a second from all gateways
// together, and got 22 and 15 in 4 s from gateways that had passed such an answer on.
func TestUpstreamThatNamesALimitGetsNoMore(t *testing.T) {
	tests := []struct {
		name  string
		reply standin.Reply
	}{
		{"with an answer", standin.Reply{Body: "done", Lines: limitLine}},
		{"with a stream", standin.Reply{Events: []string{"a", "b"}, Lines: limitLine}},
		{"with an error", standin.Reply{Status: 500, Lines: limitLine}},
		{"with a refusal", standin.Reply{Refuse: true, Lines: limitLine}},
		{"with an answer that is cut off", standin.Reply{Body: "done", CutAfter: 1, Lines: limitLine}},
		{"with an answer in the place of another one", standin.Reply{Body: "done", Foreign: true, Lines: limitLine}},
		{"with an interim answer", standin.Reply{Body: "done", Before: "HTTP/1.1 103 Early Hints\r\n" + limitLine + "\r\n"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 2, func(int, standin.Request) standin.Reply { return tt.reply })
			began := time.Now()
			for range 60 {
				w.call("/write/1")
			}
			window := max(limitWindow, time.Since(began))
			for _, r := range w.replicas {
				is.True(float64(len(r.Arrived())) <= limitOverrun*window.Seconds()+limitSlack)
			}
		})
	}
}
