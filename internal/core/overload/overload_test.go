package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var t0 = time.Unix(1000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// request has a target of a second.
func request(wait, pending time.Duration) AdmissionRequest {
	return AdmissionRequest{Target: time.Second, Wait: wait, Pending: func() time.Duration { return pending }, Tokens: 1000}
}

// longRequest has an answer that takes the given time, and a caller that waits for four
// seconds.
func longRequest(end time.Duration) AdmissionRequest {
	a := request(420*time.Millisecond, time.Second)
	a.Completion, a.TimeLeft = end, 4*time.Second
	return a
}

// A request is admitted if its wait is short, or a longer one if there is no standing
// queue; reports of others alone never reject it.
func TestAdmission(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		// earlier are the waits of previous requests, one every 100 ms.
		earlier []time.Duration
		request AdmissionRequest
		// ownWait is the measured wait of a previous request.
		ownWait time.Duration
		reject  bool
	}{
		{name: "no wait", request: request(0, time.Second)},
		{name: "a wait in a burst", request: request(700*ms, time.Second)},
		{name: "a long wait in a burst", request: request(1050*ms, time.Second), reject: true},
		{name: "the same, by a measured wait", request: request(1050*ms, 0), ownWait: 300 * ms, reject: true},
		{name: "by reports of others alone", request: request(time.Minute, 0)},
		{name: "a standing queue", earlier: repeat(20, 800*ms), request: request(400*ms, time.Second), reject: true},
		{name: "a short wait in a standing queue", earlier: repeat(20, 800*ms), request: request(140*ms, time.Second)},
		{name: "short waits", earlier: repeat(10, 100*ms), request: request(700*ms, time.Second)},
		{name: "a queue that has drained", earlier: append(repeat(20, 800*ms), repeat(20, 0)...), request: request(700*ms, time.Second)},
		{name: "a long wait after an idle time", earlier: []time.Duration{0, 0, 900 * ms}, request: request(700*ms, time.Second)},
		{name: "one long wait", earlier: append(repeat(20, 0), 2*time.Second), request: request(700*ms, time.Second)},
		{name: "a long answer while a queue grows", earlier: repeat(20, 420*ms), request: longRequest(3300 * ms), reject: true},
		{name: "a short answer while a queue grows", earlier: repeat(20, 420*ms), request: longRequest(3100 * ms)},
		{name: "a long answer in a burst", request: longRequest(9 * time.Second)},
		{name: "no target", request: AdmissionRequest{Wait: time.Minute, Pending: func() time.Duration { return time.Minute }}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var q Queue
			now := t0
			for _, wait := range tt.earlier {
				now = now.Add(100 * ms)
				q.CheckAdmission(now, request(wait, 0))
			}
			if tt.ownWait > 0 {
				q.ResponseStarted(now, tt.ownWait)
			}
			is.Equal(q.CheckAdmission(now.Add(100*ms), tt.request) > 0, tt.reject)
		})
	}
}

func repeat(n int, d time.Duration) []time.Duration {
	list := make([]time.Duration, n)
	for i := range list {
		list[i] = d
	}
	return list
}

// Retry times are spread over a range and never immediate.
func TestRetryTimesAreSpread(t *testing.T) {
	is := is.New(t)
	distinct := make(map[time.Duration]bool)
	for i := range uint64(100) {
		var q Queue
		a := request(2000*time.Millisecond, 2*time.Second)
		a.Hash = 7919 * i
		d := q.CheckAdmission(t0, a)
		is.True(d >= time.Second && d <= 2*time.Second)
		distinct[d] = true
	}
	is.True(len(distinct) > 50)
	var q Queue
	is.True(q.CheckAdmission(t0, request(1001*time.Millisecond, time.Second)) >= minRetryAfter)
}

// Old measurements are ignored.
func TestOldWaitsAreIgnored(t *testing.T) {
	is := is.New(t)
	var q Queue
	q.ResponseStarted(t0, time.Second)
	is.True(q.CheckAdmission(at(4900), request(time.Minute, 0)) > 0)
	is.Equal(q.CheckAdmission(at(5100), request(time.Minute, 0)), time.Duration(0))
}
