package balance

import "time"

// Load is what an upstream says of itself in an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Percent is how long work takes there now, of what is usual; 0 if it does not say.
	Percent int
}

// staleAfter is the age at which a load says nothing any more: many requests
// come and go in that time.
const loadTTL = 2 * time.Second

// load is the latest word of an upstream, and what this gateway had sent then.
type load struct {
	Load
	at         time.Time
	ownRunning int
	known      bool
}

// saysFull reports whether the upstream said lately that it has nearly all that it takes.
func (u *upstream) reportedFull(now time.Time) bool {
	return u.load.known && now.Sub(u.load.at) < loadTTL && u.load.isFull()
}

// run is a request that this gateway sent and that has not ended.
type run struct {
	route string
	// organisation is the hash of the name of who sends it.
	organisation uint64
	// unread is the part of the prompt that the engine has to read, in tokens;
	// 0 once its first event came.
	unread int
	// tokens is the memory that it fills at an engine: its prompt and its
	// expected answer.
	tokens int
	// pause is the longest pause that its caller bears; 0 for any.
	targetGap time.Duration
	// least says that no request for the pool is less urgent.
	lowestPriority bool
	sentAt         time.Time
	// deadline is when its caller leaves; zero for never.
	deadline time.Time
	// begun is true once its first event came, at begunAt.
	started   bool
	startedAt time.Time
	// hangs is true once it was counted as one that hangs.
	hung bool
	// expected is the time to its first event, in milliseconds, at an engine that
	// is as fast as its pool.
	expected float64
}

// others estimates how many requests of other gateways are at the upstream.
func (u *upstream) others(now time.Time) float64 {
	if u.hasPeerLoad(now) {
		return float64(u.peerLoad.Requests)
	}
	if !u.load.known {
		return 0
	}
	trust := 1 - float64(now.Sub(u.load.at))/float64(loadTTL)
	if trust <= 0 {
		return 0
	}
	return trust * float64(max(0, u.load.Running+u.load.Waiting-u.load.ownRunning))
}

// inFlight estimates how many requests are at the upstream.
func (u *upstream) inFlight(now time.Time) float64 {
	return float64(len(u.running)) + u.others(now)
}

// unread is the prompt tokens that wait to be read at the engine, as far as they
// are known. It has read on since other gateways told of theirs, at the given speed in
// tokens a millisecond.
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

// memoryTokens estimates the memory that the requests at the engine fill, in
// tokens. Those of other gateways are taken to have the mean.
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

// tight counts the streams that bear only pauses up to the limit.
func (u *upstream) tight(now time.Time, limit time.Duration) int {
	n := u.ownTight(limit)
	if u.hasPeerLoad(now) {
		n += u.peerLoad.Tight
	}
	return n
}

// ownTight counts those of this gateway.
func (u *upstream) ownTight(limit time.Duration) int {
	n := 0
	for _, r := range u.running {
		if r.targetGap > 0 && r.targetGap <= limit {
			n++
		}
	}
	return n
}

// pendingLeast is the longest time that one of the least urgent requests of this gateway
// has waited for its first event until now.
func (p *pool) longestPending(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, u := range p.members {
		for _, r := range u.running {
			if r.lowestPriority && !r.started {
				longest = max(longest, now.Sub(r.sentAt))
			}
		}
	}
	return longest
}

// Reported takes the load that rode on an answer.
func (t *Table) Reported(now time.Time, id string, l Load) {
	u, ok := t.upstreams[id]
	if !ok {
		return
	}
	u.load = load{Load: l, at: now, ownRunning: len(u.running), known: true}
}
