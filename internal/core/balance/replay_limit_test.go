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
	// came is what comes while it holds, of gateways that were told; all is what comes
	// of anybody.
	came, all []time.Time
}

// limit lets so many engines name a limit for a time.
func (r *replay) limit(n int, perSecond, from, length float64) {
	for _, e := range r.order[:n] {
		begin := t0.Add(time.Duration(from * float64(time.Second)))
		e.limit = replayLimit{
			from: begin, to: begin.Add(time.Duration(length * float64(time.Second))), perSecond: perSecond,
			told: make(map[*replayGateway]time.Time),
		}
	}
}

// arrived counts a request of the gateway.
func (l *replayLimit) arrived(now time.Time, g *replayGateway) {
	if now.Before(l.from) || !now.Before(l.to) {
		return
	}
	l.all = append(l.all, now)
	told, ok := l.told[g]
	if ok && now.Sub(told) >= toldBefore && now.Sub(l.from) >= limitKnownAfter {
		l.came = append(l.came, now)
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

// Engines of a pool of twelve name a limit for 16 s. In any 4 s they get no more than they
// bear from all gateways that were told, however many these are.
func TestReplaysOfLimits(t *testing.T) {
	const engines = 12
	tests := []struct {
		gateways int
		limited  int
		limit    float64
		// load is the part of what the others carry.
		load float64
	}{
		{gateways: 4, limited: 2, limit: 1, load: 0.7},
		{gateways: 30, limited: 2, limit: 1, load: 0.7},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d gateways, %d of %d take %v a second, load %.1f", tt.gateways, tt.limited, engines, tt.limit, tt.load), func(t *testing.T) {
			is := is.New(t)
			r := newAdmittingReplay(tt.gateways, engines, steadyClasses(tt.load*float64(engines-tt.limited)/engines))
			r.limit(tt.limited, tt.limit, 2, 16)
			r.run(22)
			r.report(t)
			for _, e := range r.order[:tt.limited] {
				most := busiest(e.limit.came, limitWindow)
				t.Logf("%s: at most %d in %v, %d arrived", e.id, most, limitWindow, len(e.limit.all))
				is.True(float64(most) <= allowedIn(tt.limit))
			}
		})
	}
}
