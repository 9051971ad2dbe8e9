package gatewayd

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// A stream that may run once goes on from the copy of its run after its engine
// broke off, and only from there.
func TestContinueFromBackup(t *testing.T) {
	const whole = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"
	const forged = "10.0.0.1:1"
	events := []string{"1", "2", "3"}
	tests := []struct {
		name   string
		first  standin.Reply
		second standin.Reply
		whole  bool
		runs   int
	}{
		{"broken off", standin.Reply{Events: events, CutAfter: 1}, standin.Reply{Events: events}, true, 2},
		{"silent", standin.Reply{Events: events, CutAfter: 1, Mute: true}, standin.Reply{Events: events}, true, 2},
		{"inside an event", standin.Reply{Events: events, CutAfter: 2, CutInside: true}, standin.Reply{Events: events}, true, 2},
		{"after its last event", standin.Reply{Events: events, CutAfter: 3}, standin.Reply{Events: events}, true, 2},
		{"silent after its last event", standin.Reply{Events: events, CutAfter: 3, Mute: true}, standin.Reply{Events: events}, true, 2},
		{"inside what follows its last event", standin.Reply{Events: events, CutAfter: 3, CutInside: true}, standin.Reply{Events: events}, true, 2},
		{"after its last event, no copy there", standin.Reply{Events: events, CutAfter: 3}, standin.Reply{Refuse: true}, false, 1},
		{"no copy there", standin.Reply{Events: events, CutAfter: 1}, standin.Reply{Refuse: true}, false, 1},
		{"before its first event", standin.Reply{Nonsense: true}, standin.Reply{Events: events}, false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 3, func(n int, _ standin.Request) standin.Reply {
				if n == 0 {
					return tt.first
				}
				return tt.second
			})
			cfg := configuration(2)
			cfg.Engines = true
			w.store.PutConfig(cfg)
			w.await(func() bool { return w.server.view.Load().Table.Version == 2 })
			a := w.caller.Call(context.Background(), standin.Request{
				ID: "r-7", Host: "x.example", URI: "/chat/1", Key: "key-a", Body: "hello", DeadlineMs: 1900,
				// The answer is long beside the prompt.
				Tokens: "300,400", Parts: "5c1e:200,91bd:100",
				// Not for callers to say.
				FetchFrom: forged, BackupAt: forged, ContinueFrom: forged + "/other",
			})
			is.NoErr(a.Err)
			is.Equal(a.Whole && a.Status == 200, tt.whole)
			if tt.whole {
				is.Equal(a.Body, whole)
			}
			ran := w.ran()
			is.Equal(len(ran), tt.runs)
			backup := ""
			for _, r := range ran {
				if r.ContinueFrom == "" {
					backup = r.BackupAt
				}
				is.True(r.FetchFrom != forged)
			}
			is.True(backup != "" && backup != forged)
			for _, r := range ran {
				if r.LastEvent != "" {
					is.Equal(r.ContinueFrom, backup+"/r-7")
					is.Equal(r.BackupAt, "")
				}
			}
		})
	}
}

// While the caller does not read, nothing is expected of the upstream.
func TestSlowCallerIsNoSilentUpstream(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{}, 1)
	p := &timeouts{cancel: func() { ended <- struct{}{} }, now: time.Now, gapTimeout: time.Hour}
	p.eventReceived()
	p.eventSent()
	p.eventReceived()
	is.True(!p.gap.timer.Stop()) // nothing runs while the event is on its way to the caller
	p.gapTimeout = time.Millisecond
	p.eventSent()
	<-ended // now it is silent
	p.stop()
	is.Equal(len(ended), 0)
}

// A timer that ran out while the process stood still says nothing of the upstream, whose
// events may wait to be read: they are read first.
func TestStandingStillIsNoSilence(t *testing.T) {
	const limit = 300 * time.Millisecond
	tests := []struct {
		name string
		// still is how long the process stands still, from the middle of the wait on;
		// suspended tells that the timers stand still as well.
		still     time.Duration
		suspended bool
		// comes is true if the next event came meanwhile.
		comes bool
		// gives is when the upstream is given up, after the event before; 0 for never.
		gives time.Duration
	}{
		{name: "silence", gives: limit},
		{name: "stood still for less than the wait", still: limit / 4, gives: limit},
		{name: "stood still beyond the wait", still: 2 * limit, gives: limit/2 + 2*limit + resumeGrace},
		{name: "stood still, and an event came", still: 2 * limit, comes: true},
		{name: "suspended", still: 2 * limit, suspended: true, gives: limit + resumeGrace},
		{name: "suspended, and an event came", still: 2 * limit, suspended: true, comes: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				began := time.Now()
				var ended atomic.Int64
				running := make(chan struct{}, 1) // full while the process stands still
				clock := func() time.Time {
					running <- struct{}{}
					<-running
					if tt.suspended && time.Since(began) > limit/2 {
						return time.Now().Add(tt.still)
					}
					return time.Now()
				}
				p := &timeouts{cancel: func() { ended.Store(int64(time.Since(began))) }, now: clock, gapTimeout: limit}
				p.eventSent()
				time.Sleep(limit / 2)
				if !tt.suspended {
					running <- struct{}{}
					time.Sleep(tt.still)
					<-running
				}
				if tt.comes {
					time.Sleep(resumeGrace / 2)
					p.eventReceived()
				}
				time.Sleep(time.Second)
				is.Equal(time.Duration(ended.Load()), tt.gives)
			})
		})
	}
}
