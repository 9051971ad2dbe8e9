package balance

import "time"

// Load is the load that an upstream reports with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Percent is the current duration of its work relative to the usual one; 0 if not
	// reported.
	Percent int
}

// loadTTL is the age at which a load report is ignored, since many requests come and go
// in that time.
const loadTTL = 2 * time.Second

// load is the latest report of an upstream, and the number of requests that this gateway
// had there at the time.
type load struct {
	Load
	at         time.Time
	ownRunning int
	known      bool
}

// reportedFull reports whether the upstream recently reported that it is nearly full.
func (u *upstream) reportedFull(now time.Time) bool {
	return u.load.known && now.Sub(u.load.at) < loadTTL && u.load.isFull()
}

// run is a request that this gateway sent and that has not ended.
type run struct {
	route string
	// organisation is the hash of the name of the organisation that sent it.
	organisation uint64
	// unread is the number of prompt tokens that the engine still has to prefill; 0 after
	// the first event.
	unread int
	// tokens is the memory that it takes at an engine: its prompt and its expected
	// answer.
	tokens int
	// targetGap is the longest gap between events that the caller tolerates; 0 for any.
	targetGap time.Duration
	// leastUrgent marks a request of the lowest urgency in its pool.
	leastUrgent bool
	sentAt      time.Time
	// deadline is when the caller gives up; zero for never.
	deadline time.Time
	// started is true after the first event, which arrived at startedAt.
	started   bool
	startedAt time.Time
	// countedHanging is true once it was counted as a hanging request.
	countedHanging bool
	// expected is the expected time to the first event at an engine of the pool's usual
	// speed, in milliseconds.
	expected float64
}

// others estimates the number of requests of other gateways at the upstream.
func (u *upstream) others(now time.Time) float64 {
	if u.hasPeerLoad(now) {
		return float64(u.peerLoad.Requests)
	}
	if !u.load.known {
		return 0
	}
	confidence := 1 - float64(now.Sub(u.load.at))/float64(loadTTL)
	if confidence <= 0 {
		return 0
	}
	return confidence * float64(max(0, u.load.Running+u.load.Waiting-u.load.ownRunning))
}

// inFlight estimates the number of requests at the upstream.
func (u *upstream) inFlight(now time.Time) float64 {
	return float64(len(u.running)) + u.others(now)
}

// unread estimates the prompt tokens that wait for prefill at the engine. The engine has
// read on at perMs tokens per millisecond since other gateways reported theirs.
func (u *upstream) unread(now time.Time, perMs float64) int {
	tokens := 0
	if u.hasPeerLoad(now) {
		tokens = max(0, u.peerLoad.Unread-int(perMs*milliseconds(now.Sub(u.peerLoadAt))))
	}
	for _, r := range u.running {
		tokens += r.unread
	}
	return tokens
}

// memoryTokens estimates the memory that the requests at the engine take, in tokens.
// Requests of other gateways whose size is unknown are assumed to have the mean size.
func (u *upstream) memoryTokens(now time.Time, mean float64) float64 {
	tokens := mean * u.others(now)
	if u.hasPeerLoad(now) {
		tokens = float64(u.peerLoad.Tokens)
	}
	for _, r := range u.running {
		tokens += float64(r.tokens)
	}
	return tokens
}

// tight counts the streams with a gap target up to the limit.
func (u *upstream) tight(now time.Time, limit time.Duration) int {
	n := u.ownTight(limit)
	if u.hasPeerLoad(now) {
		n += u.peerLoad.Tight
	}
	return n
}

// ownTight counts such streams of this gateway.
func (u *upstream) ownTight(limit time.Duration) int {
	n := 0
	for _, r := range u.running {
		if r.targetGap > 0 && r.targetGap <= limit {
			n++
		}
	}
	return n
}

// longestPending is the longest time that a request of the lowest urgency of this gateway
// has been waiting for its first event.
func (p *pool) longestPending(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, u := range p.members {
		for _, r := range u.running {
			if r.leastUrgent && !r.started {
				longest = max(longest, now.Sub(r.sentAt))
			}
		}
	}
	return longest
}

// SetLoad records the load that came with an answer.
func (t *Table) SetLoad(now time.Time, id string, l Load) {
	u, ok := t.upstreams[id]
	if !ok {
		return
	}
	u.pace.Report.Observe(now, l.Percent)
	u.load = load{Load: l, at: now, ownRunning: len(u.running), known: true}
}
