package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var t0 = time.Unix(1000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// ask is a request with a target of a second.
func ask(wait, pending time.Duration) Ask {
	return Ask{Target: time.Second, Wait: wait, Pending: func() time.Duration { return pending }, Tokens: 1000}
}

// long is one whose answer takes the time, for a caller that waits for four seconds.
func long(end time.Duration) Ask {
	a := ask(420*time.Millisecond, time.Second)
	a.End, a.Left = end, 4*time.Second
	return a
}

// A wait is taken while it is short, a longer one only while no queue stands, and none
// by the word of others alone.
func TestTurnAway(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		// met are the waits of earlier requests, one each 100 ms.
		met []time.Duration
		ask Ask
		// seen is the wait of one that was read before.
		seen time.Duration
		away bool
	}{
		{name: "no wait", ask: ask(0, time.Second)},
		{name: "a wait in a burst", ask: ask(700*ms, time.Second)},
		{name: "a long wait in a burst", ask: ask(1050*ms, time.Second), away: true},
		{name: "the same, by one that was read", ask: ask(1050*ms, 0), seen: 300 * ms, away: true},
		{name: "by the word of others alone", ask: ask(time.Minute, 0)},
		{name: "a standing queue", met: repeat(20, 800*ms), ask: ask(400*ms, time.Second), away: true},
		{name: "a short wait in a standing queue", met: repeat(20, 800*ms), ask: ask(140*ms, time.Second)},
		{name: "short waits", met: repeat(10, 100*ms), ask: ask(700*ms, time.Second)},
		{name: "a queue that is gone", met: append(repeat(20, 800*ms), repeat(20, 0)...), ask: ask(700*ms, time.Second)},
		{name: "the first one in a while meets a long wait", met: []time.Duration{0, 0, 900 * ms}, ask: ask(700*ms, time.Second)},
		{name: "one long wait", met: append(repeat(20, 0), 2*time.Second), ask: ask(700*ms, time.Second)},
		{name: "a long answer while a queue grows", met: repeat(20, 420*ms), ask: long(3300 * ms), away: true},
		{name: "a short answer while a queue grows", met: repeat(20, 420*ms), ask: long(3100 * ms)},
		{name: "a long answer in a burst", ask: long(9 * time.Second)},
		{name: "no target", ask: Ask{Wait: time.Minute, Pending: func() time.Duration { return time.Minute }}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var q Queue
			now := t0
			for _, wait := range tt.met {
				now = now.Add(100 * ms)
				q.TurnAway(now, ask(wait, 0))
			}
			if tt.seen > 0 {
				q.Began(now, tt.seen)
			}
			is.Equal(q.TurnAway(now.Add(100*ms), tt.ask) > 0, tt.away)
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

// Callers come back spread over the time after which there is room, and not at once.
func TestComeBackIsSpread(t *testing.T) {
	is := is.New(t)
	seen := make(map[time.Duration]bool)
	for i := range uint64(100) {
		var q Queue
		a := ask(2000*time.Millisecond, 2*time.Second)
		a.Hash = 7919 * i
		d := q.TurnAway(t0, a)
		is.True(d >= time.Second && d <= 2*time.Second)
		seen[d] = true
	}
	is.True(len(seen) > 50)
	var q Queue
	is.True(q.TurnAway(t0, ask(1001*time.Millisecond, time.Second)) >= comeBackFirst)
}

// What was seen long ago says nothing.
func TestOldWaitsAreForgotten(t *testing.T) {
	is := is.New(t)
	var q Queue
	q.Began(t0, time.Second)
	is.True(q.TurnAway(at(4900), ask(time.Minute, 0)) > 0)
	is.Equal(q.TurnAway(at(5100), ask(time.Minute, 0)), time.Duration(0))
}
