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

// After its engine failed, a stream that may run only once is resumed from the backup of its
// run, and from nowhere else.
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
		{"connection closed", standin.Reply{Events: events, CutAfter: 1}, standin.Reply{Events: events}, true, 2},
		{"silent", standin.Reply{Events: events, CutAfter: 1, Stall: true}, standin.Reply{Events: events}, true, 2},
		{"inside an event", standin.Reply{Events: events, CutAfter: 2, CutMidEvent: true}, standin.Reply{Events: events}, true, 2},
		{"after its last event", standin.Reply{Events: events, CutAfter: 3}, standin.Reply{Events: events}, true, 2},
		{"silent after its last event", standin.Reply{Events: events, CutAfter: 3, Stall: true}, standin.Reply{Events: events}, true, 2},
		{"inside what follows its last event", standin.Reply{Events: events, CutAfter: 3, CutMidEvent: true}, standin.Reply{Events: events}, true, 2},
		{"after its last event, no backup available", standin.Reply{Events: events, CutAfter: 3}, standin.Reply{Refuse: true}, false, 1},
		{"no backup available", standin.Reply{Events: events, CutAfter: 1}, standin.Reply{Refuse: true}, false, 1},
		{"before its first event", standin.Reply{Malformed: true}, standin.Reply{Events: events}, false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newTestEnv(t, 3, func(n int, _ standin.Request) standin.Reply {
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
				// The response is longer than the prompt.
				Tokens: "300,400", PromptParts: "5c1e:200,91bd:100",
				// Callers must not be able to set these.
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

// While the caller does not read, no timeout runs against the upstream.
func TestSlowCallerStopsTimeout(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan struct{}, 1)
	p := &timeouts{cancel: func() { cancelled <- struct{}{} }, now: time.Now, gapTimeout: time.Hour}
	p.eventReceived()
	p.eventSent()
	p.eventReceived()
	is.True(!p.gap.timer.Stop()) // stopped while the event is being sent to the caller
	p.gapTimeout = time.Millisecond
	p.eventSent()
	<-cancelled // the upstream is silent
	p.stop()
	is.Equal(len(cancelled), 0)
}

// A timeout that expires while the process is stalled or suspended proves nothing about the
// upstream, whose events may be waiting to be read. They are read before it is given up.
func TestStallIsNotSilence(t *testing.T) {
	const limit = 300 * time.Millisecond
	tests := []struct {
		name string
		// stall is how long the process is stalled, from half of the timeout on. If suspended
		// is true, the host is suspended, which stops the timers as well.
		stall     time.Duration
		suspended bool
		// eventArrives is true if the next event arrives meanwhile.
		eventArrives bool
		// cancelledAt is the time from the previous event until the attempt is cancelled; 0
		// if it is not.
		cancelledAt time.Duration
	}{
		{name: "silence", cancelledAt: limit},
		{name: "stalled for less than the timeout", stall: limit / 4, cancelledAt: limit},
		{name: "stalled beyond the timeout", stall: 2 * limit, cancelledAt: limit/2 + 2*limit + resumeGrace},
		{name: "stalled, and an event arrived", stall: 2 * limit, eventArrives: true},
		{name: "suspended", stall: 2 * limit, suspended: true, cancelledAt: limit + resumeGrace},
		{name: "suspended, and an event arrived", stall: 2 * limit, suspended: true, eventArrives: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				start := time.Now()
				var cancelled atomic.Int64
				running := make(chan struct{}, 1) // full while the process is stalled
				clock := func() time.Time {
					running <- struct{}{}
					<-running
					if tt.suspended && time.Since(start) > limit/2 {
						return time.Now().Add(tt.stall)
					}
					return time.Now()
				}
				p := &timeouts{cancel: func() { cancelled.Store(int64(time.Since(start))) }, now: clock, gapTimeout: limit}
				p.eventSent()
				time.Sleep(limit / 2)
				if !tt.suspended {
					running <- struct{}{}
					time.Sleep(tt.stall)
					<-running
				}
				if tt.eventArrives {
					time.Sleep(resumeGrace / 2)
					p.eventReceived()
				}
				time.Sleep(time.Second)
				is.Equal(time.Duration(cancelled.Load()), tt.cancelledAt)
			})
		})
	}
}
