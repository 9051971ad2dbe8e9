package gatewayd

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/notice"
	"github.com/gladegauge/gladegauge/platform/standin"
)

// restLine asks for rest of half a minute, as it stands in the head of a refusal.
const restLine = "Retry-After: 30\r\n"

// Four upstreams of twelve refused all requests and asked for 3 s of rest each. One of
// them got 24 requests of one gateway in that time, and all four together 210 of the
// pool's 414. A refusal taught nothing: upstreams that refuse have "in_flight":0, so that
// they looked idle beside the others with 0.83 in the mean, and the next request went
// there again. The callers were told to come back in 50 ms.
func TestUpstreamThatAsksForRestGetsNone(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, 3, func(int, standin.Request) standin.Reply {
		return standin.Reply{Refuse: true, HeaderLines: restLine}
	})
	for range 20 {
		w.call("/write/1")
	}
	for _, r := range w.replicas {
		is.True(len(r.Received()) <= 1)
	}
}

// Where all upstreams rest the caller is told at once when the first of them is back, and
// that nothing ran. A rest is over when it is, also while the host stood still.
func TestAllUpstreamsRest(t *testing.T) {
	is := is.New(t)
	var takes atomic.Bool
	w := newTestEnv(t, 2, func(int, standin.Request) standin.Reply {
		return standin.Reply{Refuse: !takes.Load(), HeaderLines: restLine}
	})
	w.call("/write/1")
	w.call("/write/1")
	asked := time.Now()
	a := w.call("/write/1")
	is.Equal(a.Status, 503)
	is.True(a.RetryAfter() > 28*time.Second && a.RetryAfter() < 45*time.Second)
	is.True(time.Since(asked) < time.Second)
	w.await(func() bool { return strings.Contains(w.logs.String(), `"reason":"upstreams_rest"`) })
	is.Equal(len(w.ran()), 0)
	takes.Store(true)
	w.suspend(30 * time.Second)
	w.await(func() bool { return w.call("/read/1").Status == 200 })
}

// What a refusal may say of a rest, and what is made of it.
func TestWordsOfRest(t *testing.T) {
	tests := []struct {
		name  string
		reply standin.Reply
		// rests tells whether the next request is kept away.
		rests bool
		// logs must be in the logs.
		logs string
	}{
		{"whole seconds", standin.Reply{Refuse: true, HeaderLines: restLine}, true, "upstream asks for rest"},
		{"a fraction", standin.Reply{Refuse: true, HeaderLines: "Retry-After: 20.5\r\n"}, true, `"asked":20500`},
		{"more than is believed", standin.Reply{Refuse: true, HeaderLines: "Retry-After: 1000000000000\r\n"}, true, `"rest":3`},
		{"sealed, as if it had run", standin.Reply{Status: 503, HeaderLines: restLine}, true, "upstream asks for rest"},
		{"in the place of another answer", standin.Reply{Status: 503, ForeignFirst: true, HeaderLines: restLine}, true, "upstream asks for rest"},
		{"none", standin.Reply{Refuse: true}, false, "refused"},
		{"no time", standin.Reply{Refuse: true, HeaderLines: "Retry-After: 0\r\n"}, false, "refused"},
		{"below 0", standin.Reply{Refuse: true, HeaderLines: "Retry-After: -3\r\n"}, false, "upstream says what cannot be read"},
		{"a date", standin.Reply{Refuse: true, HeaderLines: "Retry-After: Fri, 01 Jan 2100 00:00:00 GMT\r\n"}, false, "upstream says what cannot be read"},
		{"with an answer", standin.Reply{Body: "done", HeaderLines: restLine}, false, "completed"},
		{"with a rate limit", standin.Reply{Status: 429, HeaderLines: restLine}, false, "without the promise"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newTestEnv(t, 1, func(int, standin.Request) standin.Reply { return tt.reply })
			w.call("/write/1")
			w.call("/write/1")
			arrived := len(w.replicas[0].Received())
			is.Equal(arrived == 1, tt.rests)
			is.True(strings.Contains(w.logs.String(), tt.logs))
		})
	}
}

// A request that was picked for an upstream does not go out if the upstream has asked for
// rest while the connection was made: it goes elsewhere, and costs nothing of the retries.
func TestLastLookBeforeSending(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, 2, func(int, standin.Request) standin.Reply { return standin.Reply{Body: "done"} })
	closed := make(notice.Closed)
	state := notice.State{}.With(time.Now(), notice.Notice{Backoff: time.Minute})
	resting := w.replicas[0]
	w.server.control.DoWithoutCancel(func(now time.Time) {
		for _, in := range w.server.roster.Current(now) {
			if in.ID == resting.ID {
				closed[in.IncarnationKey()] = state
			}
		}
	})
	w.server.closed.Store(&closed)
	for range 10 {
		is.Equal(w.call("/write/1").Status, 200)
	}
	is.Equal(len(resting.Received()), 0)
	is.True(strings.Contains(w.logs.String(), `"failure":"withheld"`))
}
