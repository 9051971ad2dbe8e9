package balance

import "time"

// Copies of KV cache between engines.
const (
	// fetchLeast is the least number of tokens that are worth a copy: to set one
	// up takes an engine a few milliseconds, in which it reads about as many.
	fetchLeast = 128
	// bitsPerByte and bitsPerMs turn the size of a token and a megabit a second
	// into time on a link.
	bitsPerByte = 8
	bitsPerMs   = 1000
)

// source is an engine that keeps a beginning of a prompt.
type source struct {
	upstream *upstream
	// tokens is the part that it is believed to keep.
	tokens int
}

// sourceFor returns the engine that the chosen one should copy from; one with
// no tokens if a copy is not worth it. The engine copies only what it lacks, so
// that naming one costs nothing if this gateway's picture is behind.
func (p *pool) sourceFor(now time.Time, chosen *upstream, candidates []*upstream, border int, prompt Prompt, keys []uint64) source {
	shared := len(prompt.shared())
	if shared == 0 || p.engine == nil || !p.engine.Moves || p.engine.LinkMbps <= 0 {
		return source{}
	}
	var best source
	consider := func(u *upstream, tokens int) {
		if u != chosen && tokens > best.tokens {
			best = source{upstream: u, tokens: tokens}
		}
	}
	for _, u := range candidates {
		consider(u, u.cache.held(now, prompt, keys[:shared]))
	}
	tokens := 0
	for i, part := range prompt.shared() {
		tokens += part.Tokens
		consider(homeOfKey(candidates[border:], keys[i]), int(homeCredit*float64(tokens)))
	}
	more := best.tokens - chosen.cache.held(now, prompt, keys)
	if more < fetchLeast || p.moveMs(more) > float64(more)/p.speed.tokensPerMs() {
		return source{}
	}
	return best
}

// moveMs is the time that a copy of the tokens takes on the link between two
// engines, in milliseconds.
func (p *pool) moveMs(tokens int) float64 {
	return float64(tokens*p.engine.TokenBytes*bitsPerByte) / (p.engine.LinkMbps * bitsPerMs)
}
