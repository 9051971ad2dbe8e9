package admission

import "time"

// initialTokens are the tokens of a gateway when the pool becomes contended: the mean number
// at a random moment. With a full token, all gateways would send a call at once.
const initialTokens = 0.5

// bucket paces calls: a token is needed for each.
type bucket struct {
	tokens float64
	at     time.Time
}

// refill adds the tokens since the last call, at perSecond and up to burst.
func (b *bucket) refill(now time.Time, perSecond, burst float64) {
	if b.at.IsZero() {
		b.tokens, b.at = min(burst, initialTokens), now
		return
	}
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens += perSecond * elapsed.Seconds()
		b.at = now
	}
	b.tokens = min(b.tokens, burst)
}

// take takes a token if there is one and so many more.
func (b *bucket) take(spare float64) bool {
	if b.tokens < 1+spare {
		return false
	}
	b.tokens--
	return true
}

// until is the time until there are n tokens.
func (b *bucket) until(n int, perSecond float64) time.Duration {
	missing := float64(n) - b.tokens
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / perSecond * float64(time.Second))
}

// spend takes a token that need not be there: a call that is sent while the pool is not
// contended.
func (b *bucket) spend() { b.tokens = max(0, b.tokens-1) }

// start leaves at most initialTokens.
func (b *bucket) start() { b.tokens = min(b.tokens, initialTokens) }
