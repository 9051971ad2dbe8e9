package surge

import (
	"math"
	"time"
)

const (
	// highLag and lowLag are the lags above which more connections are closed, and below
	// which fewer are. A request takes several steps, and each is late by about the lag.
	highLag = 60 * time.Millisecond
	lowLag  = 20 * time.Millisecond
	// minHigh is the number of measurements in a row that must be high: a pause of the process
	// or of its host gives a single one.
	minHigh = 3
	// growth and decline are by how much the closed part changes per second.
	growth  = 1.5
	decline = 0.25
	// maxClosed bounds the closed part.
	maxClosed = 0.95
	// maxStep bounds the time that one measurement accounts for.
	maxStep = 300 * time.Millisecond
	// acceptInterval is the time after which a connection is accepted in any case.
	acceptInterval = 150 * time.Millisecond
	// usualHalfLife and rateHalfLife are the half-lives of the usual and of the present rate
	// of new connections.
	usualHalfLife = 20 * time.Second
	rateHalfLife  = 500 * time.Millisecond
	// surgeFactor is how much higher than usual the rate must be.
	surgeFactor = 1.5
	// minAge is the time after the first connection from which on the usual rate is known.
	minAge = 10 * time.Second
)

// rate is an exponentially decaying rate of events per second. The zero value is a rate of 0.
type rate struct {
	value float64
	at    time.Time
}

// add adds events at the time.
func (r *rate) add(now time.Time, events float64, halfLife time.Duration) {
	seconds := halfLife.Seconds()
	r.value = r.value*math.Exp2(-max(0, now.Sub(r.at).Seconds())/seconds) + events*math.Ln2/seconds
	r.at = now
}

// Guard decides on the new connections of one gateway. It is not safe for concurrent use.
type Guard struct {
	lag        time.Duration
	measuredAt time.Time
	// high is the number of high lags in a row.
	high       int
	present    rate
	usual      rate
	closed     float64
	acceptedAt time.Time
	// firstAt is when the first connection came.
	firstAt time.Time
}

// New returns a guard that accepts all connections.
func New(now time.Time) *Guard {
	return &Guard{measuredAt: now, present: rate{at: now}, usual: rate{at: now}}
}

// Measure records by how much a periodic task ran late.
func (g *Guard) Measure(now time.Time, lag time.Duration) {
	step := min(max(0, now.Sub(g.measuredAt)), maxStep)
	g.measuredAt = now
	g.lag = lag
	g.present.add(now, 0, rateHalfLife)
	if lag <= highLag {
		g.high = 0
	} else {
		g.high++
	}
	switch {
	case g.high >= minHigh && (g.closed > 0 || g.surges()):
		g.closed = min(maxClosed, g.closed+growth*step.Seconds())
	case lag < lowLag:
		g.closed = max(0, g.closed-decline*step.Seconds())
	}
}

// surges reports whether new connections come more often than usual.
func (g *Guard) surges() bool {
	return g.usual.at.Sub(g.firstAt) >= minAge && g.present.value > surgeFactor*g.Usual()
}

// Admit decides on a new connection: false means that it is to be closed unread. random is a
// uniformly distributed number from 0 to 1.
func (g *Guard) Admit(now time.Time, random float64) bool {
	if g.firstAt.IsZero() {
		g.firstAt = now
	}
	g.present.add(now, 1, rateHalfLife)
	if g.closed == 0 {
		g.usual.add(now, 1, usualHalfLife)
	}
	if random < g.closed && now.Sub(g.acceptedAt) < acceptInterval {
		return false
	}
	g.acceptedAt = now
	return true
}

// Closed is the part of the new connections that is closed.
func (g *Guard) Closed() float64 { return g.closed }

// Lag is the latest lag.
func (g *Guard) Lag() time.Duration { return g.lag }

// Rate is the present rate of new connections per second, and Usual the usual one.
func (g *Guard) Rate() float64 { return g.present.value }

// Usual is the usual rate of new connections per second. What was counted so far is a part of
// it only, as the rate began at 0.
func (g *Guard) Usual() float64 {
	age := g.usual.at.Sub(g.firstAt).Seconds()
	if age <= 0 {
		return 0
	}
	return g.usual.value / (1 - math.Exp2(-age/usualHalfLife.Seconds()))
}
