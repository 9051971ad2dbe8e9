package gatewayd

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/notice"
	"github.com/gladegauge/gladegauge/internal/core/occupancy"
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
// together, and got 22 and 15 in 4 s from gateways that had passed such an answer on. What
// an answer says of a limit reached nobody: one gateway sent 30 requests in a tenth of a
// second to each of two upstreams after "upstream changes its limit" stood in its log, and
// each "picked" line compared both of them. Each gateway for itself could not have kept it
// either, as the limit binds the sum of all.
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

// Where all upstreams have a limit the caller is told at once that nothing ran, and when a
// turn is likely. The end of a limit is told by the first answer without it.
func TestAllUpstreamsAreLimited(t *testing.T) {
	is := is.New(t)
	var free atomic.Bool
	w := newWorld(t, 2, func(int, standin.Request) standin.Reply {
		if free.Load() {
			return standin.Reply{Body: "done"}
		}
		return standin.Reply{Body: "done", Lines: limitLine}
	})
	is.Equal(w.call("/write/1").Status, 200)
	is.Equal(w.call("/write/1").Status, 200)
	asked := time.Now()
	a := w.call("/write/1")
	is.Equal(a.Status, 503)
	is.True(a.ComeBack() > 500*time.Millisecond && a.ComeBack() < 5*time.Second)
	is.True(time.Since(asked) < time.Second)
	is.Equal(len(w.ran()), 2)
	w.await(func() bool { return strings.Contains(w.logs.String(), `"reason":"upstreams_limited"`) })
	is.True(strings.Contains(w.logs.String(), `"limited":true,"per_second":1,"message":"upstream changes its limit"`))
	free.Store(true)
	w.suspend(2 * time.Second)
	for range 20 {
		is.Equal(w.call("/write/1").Status, 200) // the first one brings the word
	}
	is.True(strings.Contains(w.logs.String(), `"limited":false,"per_second":0,"message":"upstream changes its limit"`))
}

// A word of a limit that cannot be read is logged once, and changes nothing.
func TestUnreadableLimitIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, func(int, standin.Request) standin.Reply {
		return standin.Reply{Body: "done", Lines: "Server-Limit: few\r\n"}
	})
	for range 20 {
		is.Equal(w.call("/write/1").Status, 200)
	}
	is.Equal(strings.Count(w.logs.String(), "upstream sent a notice that cannot be parsed"), 1)
}

// A request that was picked before the word of a limit came does not go out without a turn.
func TestLastLookAtLimits(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, func(int, standin.Request) standin.Reply { return standin.Reply{Body: "done"} })
	limited := w.replicas[0]
	closed := make(notice.Closed)
	state := notice.State{}.With(time.Now(), notice.Notice{Limit: notice.Limit{Announced: true, PerSecond: 1}})
	w.server.control.Must(func(now time.Time) {
		for _, in := range w.server.roster.Current(now) {
			if in.ID == limited.ID {
				closed[in.Start()] = state
			}
		}
	})
	w.server.closed.Store(&closed)
	for range 10 {
		is.Equal(w.call("/write/1").Status, 200)
	}
	is.Equal(len(limited.Arrived()), 0)
	is.True(strings.Contains(w.logs.String(), `"failure":"withheld"`))
}

// Gateways tell each other of a limit: one that has sent nothing keeps it, and counts it.
func TestLimitReachesOtherGateways(t *testing.T) {
	w := &world{t: t, is: is.New(t), store: standin.NewStore(t)}
	w.store.PutConfig(configuration(1))
	r := standin.NewReplica(t, "i-a", func(int, standin.Request) standin.Reply {
		return standin.Reply{Body: "done", Lines: limitLine}
	})
	w.store.PutReplica(r, "app", false)
	first := startPeer(t, w.store)
	second := startPeer(t, w.store, first.PeersAddress())
	limited := func(g *testPeer) int {
		n := 0
		g.control.Must(func(time.Time) { n = g.table.LimitedUpstreams() })
		return n
	}
	w.await(func() bool {
		n, _ := first.known()
		m, _ := second.known()
		return n == 2 && m == 2 && first.version() == 1 && second.version() == 1
	})
	w.caller = standin.NewCaller(t, first.CallersAddress())
	w.is.Equal(w.call("/read/1").Status, 200)
	w.await(func() bool { return limited(first) == 1 && limited(second) == 1 })
}

// A gateway without a turn of a limited upstream borrows one of the gateway that holds it.
func TestBorrowedTurn(t *testing.T) {
	w := &world{t: t, is: is.New(t), store: standin.NewStore(t)}
	w.store.PutConfig(configuration(1))
	r := standin.NewReplica(t, "i-a", func(int, standin.Request) standin.Reply {
		return standin.Reply{Body: "done", Lines: "Server-Limit: 1000\r\n"}
	})
	w.store.PutReplica(r, "app", false)
	first := startPeer(t, w.store)
	second := startPeer(t, w.store, first.PeersAddress())
	w.await(func() bool {
		n, _ := first.known()
		m, _ := second.known()
		return n == 2 && m == 2 && first.version() == 1 && second.version() == 1
	})
	// The second one has just started, and holds nothing for a while.
	second.control.Must(func(now time.Time) {
		for _, in := range second.roster.Current(now) {
			second.table.Notice(now, in, notice.Notice{Limit: notice.Limit{Announced: true, PerSecond: 1000}, SentAt: now})
		}
		second.table.SetColdLimits(balance.ColdLimits{}, func(time.Time, uint64, int) bool { return false })
	})
	first.control.Must(func(now time.Time) {
		for _, in := range first.roster.Current(now) {
			first.table.Notice(now, in, notice.Notice{Limit: notice.Limit{Announced: true, PerSecond: 1000}, SentAt: now})
		}
	})
	w.caller = standin.NewCaller(t, second.CallersAddress())
	w.await(func() bool { return w.call("/read/1").Status == 200 })
	w.is.True(len(r.Arrived()) >= 1)
}

// A gateway that has sent nothing since a limit was named is told by others that it ended,
// and goes on sending there for as long as they say so. The last look before a request goes
// out saw the state of the moment at which the limit was lifted: 0.7 s later the votes in it
// had lapsed, and each request there failed as "withheld".
func TestLimitThatOthersLift(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, func(int, standin.Request) standin.Reply { return standin.Reply{Body: "done"} })
	free := func(now time.Time, start uint64) {
		for _, address := range []string{"a:1", "b:1"} {
			w.server.occupancy.RecordMember(now, address, occupancy.Loads{start: {Free: 1}})
		}
		w.server.takeOthers(now, true)
	}
	w.server.control.Must(func(now time.Time) {
		in := w.server.roster.Current(now)[0]
		w.server.table.Notice(now, in, notice.Notice{Limit: notice.Limit{Announced: true}, SentAt: now})
		w.server.publishClosed(now)
	})
	is.Equal(w.call("/write/1").Status, 503)
	tell := func() {
		w.server.control.Must(func(now time.Time) { free(now, w.server.roster.Current(now)[0].Start()) })
	}
	for range 4 {
		w.suspend(2 * time.Second)
		tell()
	}
	// After so long the configuration has to be proved anew first.
	w.await(func() bool {
		tell()
		return w.call("/write/1").Status == 200
	})
	is.True(!strings.Contains(w.logs.String(), `"failure":"withheld"`))
}
