package gatewayd

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/notice"
	"github.com/gladegauge/gladegauge/platform/standin"
)

// retryAfterLine is the header line of a refusal that requests a backoff of 30 s.
const retryAfterLine = "Retry-After: 30\r\n"

// An upstream that requested a backoff gets no further requests. Upstreams that refuse have
// nothing in flight: unless their backoff is honoured they look idle and attract most of the
// pool's requests. Four of twelve upstreams that refused everything, each with a backoff of
// 3 s, then got 210 of 414 requests, and the callers were told to retry after 50 ms.
func TestBackoffIsHonoured(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, 3, func(int, standin.Request) standin.Reply {
		return standin.Reply{Refuse: true, HeaderLines: retryAfterLine}
	})
	for range 20 {
		w.call("/write/1")
	}
	for _, r := range w.replicas {
		is.True(len(r.Received()) <= 1)
	}
}

// If all upstreams are backing off, the caller is told immediately when the first of them is
// back, and that nothing ran. A backoff also elapses while the host is suspended.
func TestAllUpstreamsBackingOff(t *testing.T) {
	is := is.New(t)
	var accepts atomic.Bool
	w := newTestEnv(t, 2, func(int, standin.Request) standin.Reply {
		return standin.Reply{Refuse: !accepts.Load(), HeaderLines: retryAfterLine}
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
	accepts.Store(true)
	w.suspend(30 * time.Second)
	w.await(func() bool { return w.call("/read/1").Status == 200 })
}

// Only a 503 with a valid Retry-After starts a backoff, whether or not it promises that the
// request did not run, and also if it answers another request.
func TestRetryAfterOfAnswers(t *testing.T) {
	tests := []struct {
		name  string
		reply standin.Reply
		// backsOff is true if the next request must not be sent there.
		backsOff bool
		// logs must occur in the logs.
		logs string
	}{
		{"whole seconds", standin.Reply{Refuse: true, HeaderLines: retryAfterLine}, true, "upstream requested a backoff"},
		{"a fraction", standin.Reply{Refuse: true, HeaderLines: "Retry-After: 20.5\r\n"}, true, `"asked":20500`},
		{"longer than the maximum backoff", standin.Reply{Refuse: true, HeaderLines: "Retry-After: 1000000000000\r\n"}, true, `"rest":3`},
		{"sealed, as if the request had run", standin.Reply{Status: 503, HeaderLines: retryAfterLine}, true, "upstream requested a backoff"},
		{"in an answer to another request", standin.Reply{Status: 503, ForeignFirst: true, HeaderLines: retryAfterLine}, true, "upstream requested a backoff"},
		{"none", standin.Reply{Refuse: true}, false, "refused"},
		{"a zero delay", standin.Reply{Refuse: true, HeaderLines: "Retry-After: 0\r\n"}, false, "refused"},
		{"a negative delay", standin.Reply{Refuse: true, HeaderLines: "Retry-After: -3\r\n"}, false, "upstream sent a notice that cannot be parsed"},
		{"a date", standin.Reply{Refuse: true, HeaderLines: "Retry-After: Fri, 01 Jan 2100 00:00:00 GMT\r\n"}, false, "upstream sent a notice that cannot be parsed"},
		{"with a success", standin.Reply{Body: "done", HeaderLines: retryAfterLine}, false, "completed"},
		{"with a rate limit", standin.Reply{Status: 429, HeaderLines: retryAfterLine}, false, "without the promise"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newTestEnv(t, 1, func(int, standin.Request) standin.Reply { return tt.reply })
			w.call("/write/1")
			w.call("/write/1")
			arrived := len(w.replicas[0].Received())
			is.Equal(arrived == 1, tt.backsOff)
			is.True(strings.Contains(w.logs.String(), tt.logs))
		})
	}
}

// A request is not sent to the chosen upstream if the upstream requested a backoff while the
// connection was being established. It is sent to another one, which costs no retry.
func TestWithheldBeforeSending(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, 2, func(int, standin.Request) standin.Reply { return standin.Reply{Body: "done"} })
	closed := make(notice.Closed)
	state := notice.State{}.With(time.Now(), notice.Notice{Backoff: time.Minute})
	backingOff, other := w.replicas[0], w.replicas[1]
	w.server.control.DoWithoutCancel(func(now time.Time) {
		// The first request is then meant for the upstream in backoff.
		w.server.table.SetLoad(now, other.ID, balance.Load{Running: 6, Waiting: 3, Slots: 6})
		for _, in := range w.server.roster.Current(now) {
			if in.ID == backingOff.ID {
				closed[in.IncarnationKey()] = state
			}
		}
	})
	w.server.closed.Store(&closed)
	for range 10 {
		is.Equal(w.call("/write/1").Status, 200)
	}
	is.Equal(len(backingOff.Received()), 0)
	is.True(strings.Contains(w.logs.String(), `"failure":"withheld"`))
}
