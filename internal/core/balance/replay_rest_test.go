package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/notice"
)

const (
	// askedRest is what an engine that sheds asks for.
	askedRest = 3 * time.Second
	// onTheWay is how long after a refusal requests that were on their way may come.
	onTheWay = 500 * time.Millisecond
	// refusedComeBack is when the callers of a refused request come back while others of
	// the pool do not rest.
	refusedComeBack = 50 * time.Millisecond
)

// replayRests is what an engine does while it sheds.
type replayRests struct {
	from, to time.Time
	// asked is when it last asked each gateway for rest, and got what came of that one
	// since, beside what was on its way.
	asked map[*replayGateway]time.Time
	got   map[*replayGateway]int
	// most is the most that came of one gateway in a rest, and came the arrivals in all.
	most, came int
	// after is the number of requests in each half of a second after it has stopped.
	after [halves]int
}

// sheds reports whether the engine refuses everything now, and counts what comes.
func (e *replayEngine) sheds(now time.Time) bool {
	s := &e.rests
	if i := int(now.Sub(s.to) / (500 * time.Millisecond)); !s.to.IsZero() && !now.Before(s.to) && i < len(s.after) {
		s.after[i]++
	}
	return !now.Before(s.from) && now.Before(s.to)
}

// refuse turns a request away and asks its gateway for rest. The caller comes back.
func (e *replayEngine) refuse(q *replayRequest, c Choice) {
	r, s, g := e.r, &e.rests, q.gateway
	s.came++
	if asked, ok := s.asked[g]; ok && r.now.Sub(asked) < askedRest {
		if r.now.Sub(asked) > onTheWay {
			s.got[g]++
			s.most = max(s.most, s.got[g])
		}
	} else {
		s.asked[g], s.got[g] = r.now, 0
	}
	r.after(1, func() {
		g.table.Notice(r.now, c.Instance, notice.Notice{Rest: askedRest})
		g.table.Ended(r.now, c, Refused, Answer{})
		left, _ := g.table.RetryAfter(r.now, "p", uint64(r.now.UnixNano()))
		r.turnedAway(q, max(refusedComeBack, left))
	})
}

// shed lets so many engines refuse everything for a time.
func (r *replay) shed(n int, from, length float64) {
	for _, e := range r.order[:n] {
		begin := t0.Add(time.Duration(from * float64(time.Second)))
		e.rests = replayRests{from: begin, to: begin.Add(time.Duration(length * float64(time.Second))),
			asked: make(map[*replayGateway]time.Time), got: make(map[*replayGateway]int)}
	}
}

// halves is into how many halves of a second the time after a rest is cut.
const halves = 8

// steadyClasses are checks, notes and chats without bursts, as many as twelve engines just
// carry at scale 1.
func steadyClasses(scale float64) []replayClass {
	classes := shiftedClasses(1.35 * scale)
	for i := range classes {
		classes[i].burst, classes[i].more = 1, nil
	}
	return classes
}

// Engines of a pool of twelve refuse everything for 8 s and ask for rest, at a load that
// fits what is left and at one that does not. No gateway sends more than two requests into
// a rest; the load goes to the others, where the least urgent are turned away first; and
// after the rest nobody is flooded.
func TestReplaysOfRest(t *testing.T) {
	const engines = 12
	tests := []struct {
		resting int
		// load is the part of what the others carry.
		load float64
		// The least shares in time.
		check, chat float64
	}{
		{resting: 0, load: 0.7, check: 0.95, chat: 0.98},
		{resting: 0, load: 1, check: 0.95, chat: 0.98},
		{resting: 0, load: 1.2, check: 0.8, chat: 0.95},
		{resting: 1, load: 0.7, check: 0.95, chat: 0.98},
		{resting: 1, load: 1.2, check: 0.8, chat: 0.95},
		// Each gateway on its own refusals: 78 of them, chats 0.915. Told: 50 and 0.990. With
		// first requests after a rest of the least urgent only: 45 and 0.978.
		{resting: 6, load: 0.7, check: 0.9, chat: 0.9},
		{resting: 6, load: 1.2, check: 0.8, chat: 0.9},
		// Half of the time there is nobody to go to.
		{resting: 12, load: 0.7, check: 0.4, chat: 0.4},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d of %d at %.1f", tt.resting, engines, tt.load), func(t *testing.T) {
			is := is.New(t)
			left := engines - tt.resting
			if left == 0 {
				left = engines
			}
			r := newAdmittingReplay(5, engines, steadyClasses(tt.load*float64(left)/engines))
			r.shed(tt.resting, 4, 8)
			r.run(16)
			r.report(t)
			most, came, after := 0, 0, 0
			var all [halves]int
			for _, e := range r.order {
				most, came = max(most, e.rests.most), came+e.rests.came
				for i, n := range e.rests.after {
					after = max(after, n)
					all[i] += n
				}
			}
			t.Logf("most in a rest %d, refused %d, most in half a second after %d, all %v", most, came, after, all)
			is.True(most <= 2)
			is.True(r.share("check", inTime) >= tt.check)
			is.True(r.share("chat", inTime) >= tt.chat)
			is.True(after <= replaySlots/3)
		})
	}
}
