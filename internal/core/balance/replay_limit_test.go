package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/notice"
)

const (
	// limitWindow is the time over which an engine counts what it gets, limitOverrun how
	// many times its limit it bears, and limitSlack how many requests beside that.
	limitWindow  = 4 * time.Second
	limitOverrun = 1.5
	limitSlack   = 5
	// limitKnownAfter is how long after it named its limit an engine counts, and
	// toldBefore how long before a request its gateway must have been told.
	limitKnownAfter = 3 * time.Second
	toldBefore      = 500 * time.Millisecond
)

// replayLimit is the limit that an engine names for a time.
type replayLimit struct {
	from, to  time.Time
	perSecond float64
	// told is when each gateway first got an answer that names it.
	told map[*replayGateway]time.Time
	// ofTold is what comes of gateways that were told by an answer, all what comes of
	// anybody, since it has been known for a while.
	ofTold, all []time.Time
}

// limit lets so many engines name a limit for a time.
func (r *replay) limit(n int, perSecond, from, length float64) {
	gateways := uint64(len(r.gateways))
	r.lends = true
	for i, g := range r.gateways {
		g.table.holds = func(_ time.Time, key uint64, n int) bool { return (uint64(i)+key)%gateways < uint64(n) }
		g.table.SetLimitBounds(LimitBounds{Window: limitWindow, Overrun: limitOverrun, Slack: limitSlack}, func() int { return len(r.gateways) })
	}
	for _, e := range r.order[:n] {
		begin := t0.Add(time.Duration(from * float64(time.Second)))
		e.limit = replayLimit{
			from: begin, to: begin.Add(time.Duration(length * float64(time.Second))), perSecond: perSecond,
			told: make(map[*replayGateway]time.Time),
		}
	}
}

// borrowMs is the time to a holder and back.
const borrowMs = 3.0

// borrow asks holders for a turn, one after the other, for a request without an engine.
func (r *replay) borrow(q *replayRequest) {
	ask := Request{Pool: "p", Route: q.class.name, TargetGap: q.class.pauseLimit(), Tier: q.class.tier, Target: q.class.target,
		Prompt: q.prompt, Exclude: q.tried, Hash: r.rng.Uint64(), Least: q.class.tier == 2}
	r.borrowOf(q, ask, q.gateway.table.Borrowable(r.now, ask))
}

// borrowOf asks a holder of the first of the loans.
func (r *replay) borrowOf(q *replayRequest, ask Request, loans []BorrowCandidate) {
	if len(loans) == 0 {
		r.turnedAwayByRest(q)
		return
	}
	l := loans[0]
	n := uint64(len(r.gateways))
	// The holders are those for which (number + key) modulo n is below their number.
	holder := r.gateways[(n-l.Key%n+uint64(r.rng.IntN(min(l.Holders, int(n)))))%n]
	r.after(borrowMs, func() {
		wait, ok := holder.table.Lend(r.now, l.Start(), ask.Least)
		if !ok {
			q.gateway.table.BorrowRefused(r.now, l.Instance, wait)
			r.borrowOf(q, ask, loans[1:])
			return
		}
		r.lent++
		if c, ok := q.gateway.table.PickBorrowed(r.now, ask, l.Instance); ok {
			r.sendTo(q, c)
			return
		}
		r.turnedAwayByRest(q)
	})
}

// arrived counts a request of the gateway.
func (l *replayLimit) arrived(now time.Time, g *replayGateway) {
	if now.Sub(l.from) < limitKnownAfter || !now.Before(l.to) {
		return
	}
	l.all = append(l.all, now)
	if told, ok := l.told[g]; ok && now.Sub(told) >= toldBefore {
		l.ofTold = append(l.ofTold, now)
	}
}

// answers tells the gateway of a request what the head of its answer says.
func (e *replayEngine) answers(run *replayRun) {
	l, now := &e.limit, e.r.now
	n := notice.Notice{SentAt: run.choice.pickedAt}
	if !now.Before(l.from) && now.Before(l.to) {
		n.Limit = notice.Limit{Named: true, PerSecond: l.perSecond}
		if _, ok := l.told[run.gateway]; !ok {
			l.told[run.gateway] = now
		}
	}
	run.gateway.table.Notice(now, run.choice.Instance, n)
}

// busiest is the most of the arrivals within the time.
func busiest(arrivals []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// allowedIn is what an engine with the limit bears in a window.
func allowedIn(perSecond float64) float64 {
	return limitOverrun*limitWindow.Seconds()*perSecond + limitSlack
}

// limitRow is a load on a pool of twelve engines of which some name a limit.
type limitRow struct {
	gateways int
	limited  int
	limit    float64
	// load is the part of what the engines without a limit carry, or all if there are none.
	load float64
	// The least shares in time, and the least part of the limits that is used.
	check, chat, used float64
}

// play checks what comes to the engines, and what becomes of the requests.
func (row limitRow) play(t *testing.T) {
	const engines = 12
	const from, length = 2, 16
	is := is.New(t)
	left := engines - row.limited
	if left == 0 {
		left = engines
	}
	r := newAdmittingReplay(row.gateways, engines, steadyClasses(row.load*float64(left)/engines))
	r.limit(row.limited, row.limit, from, length)
	var still []int
	for s := range limitGoneAfter {
		r.after(1000*float64(from+length+s+1), func() { still = append(still, r.limitsKept()) })
	}
	r.run(from + length + limitGoneAfter)
	r.report(t)
	most, ofAll, came := 0, 0, 0
	for _, e := range r.order[:row.limited] {
		most = max(most, busiest(e.limit.ofTold, limitWindow))
		ofAll = max(ofAll, busiest(e.limit.all, limitWindow))
		came += len(e.limit.all)
	}
	counted := length - limitKnownAfter.Seconds()
	used := float64(came) / float64(row.limited) / row.limit / counted
	t.Logf("at most %d in %v, %d of anybody, %.1f are borne, used %.2f, lent %d", most, limitWindow, ofAll, allowedIn(row.limit), used, r.lent)
	is.True(float64(most) <= allowedIn(row.limit))
	is.True(float64(ofAll) <= allowedIn(row.limit))
	is.True(r.share("check", inTime) >= row.check)
	is.True(r.share("chat", inTime) >= row.chat)
	is.True(used >= row.used)
	t.Logf("of %d limits at gateways are left after each second since the end: %v", row.gateways*row.limited, still)
	is.Equal(still[limitGoneAfter-1], 0)
}

// limitGoneAfter is the number of seconds after which no gateway keeps a limit that ended.
const limitGoneAfter = 8

// limitsKept is the number of limits that gateways keep now, summed up over all of them.
func (r *replay) limitsKept() int {
	n := 0
	for _, g := range r.gateways {
		n += g.table.LimitedUpstreams()
	}
	return n
}

// Engines of a pool of twelve name a limit for 16 s. In any 4 s they get no more than they
// bear from all gateways that were told, however many these are. One gateway alone is what
// a chooser could do that knows everything.
func TestReplaysOfLimits(t *testing.T) {
	rows := []limitRow{
		{gateways: 4, limited: 2, limit: 1, load: 0.7, check: 0.98, chat: 0.98, used: 0.4},
		{gateways: 30, limited: 2, limit: 1, load: 0.7, check: 0.98, chat: 0.98},
		{gateways: 1, limited: 6, limit: 1, load: 1.2, check: 0.9, chat: 0.95, used: 0.85},
		{gateways: 4, limited: 6, limit: 1, load: 1.2, check: 0.88, chat: 0.95, used: 0.8},
		{gateways: 30, limited: 6, limit: 1, load: 1.2, check: 0.88, chat: 0.95, used: 0.65},
		{gateways: 1, limited: 12, limit: 4, load: 0.7, check: 0.42, chat: 0.85, used: 0.85},
		{gateways: 4, limited: 12, limit: 4, load: 0.7, check: 0.4, chat: 0.8, used: 0.8},
		{gateways: 30, limited: 12, limit: 4, load: 0.7, check: 0.45, chat: 0.78, used: 0.72},
		{gateways: 4, limited: 12, limit: 12, load: 0.7, check: 0.95, chat: 0.95},
		{gateways: 30, limited: 12, limit: 12, load: 0.7, check: 0.94, chat: 0.94},
		{gateways: 30, limited: 12, limit: 50, load: 0.7, check: 0.95, chat: 0.95},
	}
	for _, row := range rows {
		t.Run(fmt.Sprintf("%d gateways, %d take %v a second, load %.1f", row.gateways, row.limited, row.limit, row.load), row.play)
	}
}
