package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/notice"
)

const (
	// requestedBackoff is the backoff that a shedding engine requests.
	requestedBackoff = 3 * time.Second
	// inFlightWindow is how long after a refusal requests that were already in flight may
	// arrive.
	inFlightWindow = 500 * time.Millisecond
	// refusedRetryAfter is when callers of a refused request retry while other engines of
	// the pool are not backing off.
	refusedRetryAfter = 50 * time.Millisecond
)

// replayShedding is the load shedding of an engine and what arrives meanwhile.
type replayShedding struct {
	from, to time.Time
	// asked is when it last asked each gateway to back off, and received the number of
	// requests from that gateway since, except those in flight.
	asked    map[*replayGateway]time.Time
	received map[*replayGateway]int
	// most is the maximum number of requests from one gateway in a backoff, and arrivals
	// the total number of requests while shedding.
	most, arrivals int
	// after is the number of requests in each half second after shedding has ended.
	after [halfSeconds]int
}

// sheds reports whether the engine refuses all requests now, and counts arrivals after
// the end.
func (e *replayEngine) sheds(now time.Time) bool {
	s := &e.shedding
	if i := int(now.Sub(s.to) / (500 * time.Millisecond)); !s.to.IsZero() && !now.Before(s.to) && i < len(s.after) {
		s.after[i]++
	}
	return !now.Before(s.from) && now.Before(s.to)
}

// refuse rejects a request and asks its gateway to back off. The caller retries.
func (e *replayEngine) refuse(q *replayRequest, c Choice) {
	r, s, g := e.r, &e.shedding, q.gateway
	s.arrivals++
	if asked, ok := s.asked[g]; ok && r.now.Sub(asked) < requestedBackoff {
		if r.now.Sub(asked) > inFlightWindow {
			s.received[g]++
			s.most = max(s.most, s.received[g])
		}
	} else {
		s.asked[g], s.received[g] = r.now, 0
	}
	r.after(1, func() {
		g.table.Notice(r.now, c.Instance, notice.Notice{Backoff: requestedBackoff})
		g.table.Ended(r.now, c, Refused, Answer{})
		left, _ := g.table.RetryAfter(r.now, Request{Pool: "p", Hash: uint64(r.now.UnixNano())})
		r.rejected(q, max(refusedRetryAfter, left))
	})
}

// shed makes the first n engines refuse all requests for a time.
func (r *replay) shed(n int, from, length float64) {
	for _, e := range r.order[:n] {
		begin := t0.Add(time.Duration(from * float64(time.Second)))
		e.shedding = replayShedding{from: begin, to: begin.Add(time.Duration(length * float64(time.Second))),
			asked: make(map[*replayGateway]time.Time), received: make(map[*replayGateway]int)}
	}
}

// halfSeconds is the number of half seconds that are counted after shedding.
const halfSeconds = 8

// steadyClasses are checks, notes and chats without bursts. Scale 1 is the capacity of
// the engines.
func steadyClasses(scale float64) []replayClass {
	classes := burstyClasses(1.35 * scale)
	for i := range classes {
		classes[i].burst, classes[i].moreBursts = 1, nil
	}
	return classes
}

// Engines of a pool of twelve refuse all requests for 8 s and ask for a backoff, at loads
// that the other engines can and cannot handle. No gateway sends more than two requests
// to an engine in a backoff; the load moves to the other engines, where the least urgent
// requests are rejected first; and after the backoff no engine gets a flood of requests.
func TestReplaysOfBackoff(t *testing.T) {
	const engines = 12
	tests := []struct {
		sheddingEngines int
		// load is relative to the capacity of the other engines.
		load float64
		// check and chat are the minimum shares in time.
		check, chat float64
	}{
		{sheddingEngines: 0, load: 0.7, check: 0.95, chat: 0.98},
		{sheddingEngines: 0, load: 1, check: 0.95, chat: 0.98},
		{sheddingEngines: 0, load: 1.2, check: 0.8, chat: 0.95},
		{sheddingEngines: 1, load: 0.7, check: 0.95, chat: 0.98},
		{sheddingEngines: 1, load: 1.2, check: 0.8, chat: 0.95},
		// 78 refusals and 0.915 of the chats in time if each gateway knows only its own
		// refusals; 50 and 0.990 if gateways share them; 45 and 0.978 if in addition only
		// least urgent requests are the first ones after a backoff.
		{sheddingEngines: 6, load: 0.7, check: 0.9, chat: 0.9},
		{sheddingEngines: 6, load: 1.2, check: 0.8, chat: 0.9},
		// No engine is available for half of the time.
		{sheddingEngines: 12, load: 0.7, check: 0.4, chat: 0.4},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d of %d at %.1f", tt.sheddingEngines, engines, tt.load), func(t *testing.T) {
			is := is.New(t)
			left := engines - tt.sheddingEngines
			if left == 0 {
				left = engines
			}
			r := newAdmittingReplay(5, engines, steadyClasses(tt.load*float64(left)/engines))
			r.shed(tt.sheddingEngines, 4, 8)
			r.run(16)
			r.report(t)
			most, arrivals, after := 0, 0, 0
			var all [halfSeconds]int
			for _, e := range r.order {
				most, arrivals = max(most, e.shedding.most), arrivals+e.shedding.arrivals
				for i, n := range e.shedding.after {
					after = max(after, n)
					all[i] += n
				}
			}
			t.Logf("most in a backoff %d, refused %d, most in half a second afterwards %d, all %v", most, arrivals, after, all)
			is.True(most <= 2)
			is.True(r.share("check", inTime) >= tt.check)
			is.True(r.share("chat", inTime) >= tt.chat)
			is.True(after <= replaySlots/3)
		})
	}
}
