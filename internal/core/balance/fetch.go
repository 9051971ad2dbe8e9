package balance

import "time"

// Copies of KV cache between engines.
const (
	// fetchLeast is the least number of tokens that are worth a copy: to set one
	// up takes an engine a few milliseconds, in which it reads about as many.
	minFetchTokens = 128
	// bitsPerByte turns the size of a token into bits.
	bitsPerByte = 8
	// mbpsBits is what a link of a megabit a second carries in a millisecond, in
	// bits.
	bitsPerMbpsMs = 1000
)

// source is an engine that keeps a beginning of a prompt.
type source struct {
	upstream *upstream
	// tokens is the part that it is believed to keep.
	tokens int
}

// sourceFor returns the engine that the chosen one should copy from; one with
// no tokens if a copy is not worth it. The engine copies only what it lacks, so
// that naming one costs nothing. One is named also if the chosen engine is believed to
// keep all of it: where memory is short, parts give way that this gateway still
// believes in. That took a tenth of the shared parts that were read again away on a
// day of bursts, and a fifth on another.
func (p *pool) sourceFor(now time.Time, chosen *upstream, candidates []*upstream, prompt Prompt, keys []uint64) source {
	if len(prompt.shared()) == 0 || !p.copiesCache() {
		return source{}
	}
	best := bestSource(now, chosen, candidates, prompt, keys)
	if best.tokens < minFetchTokens || p.transferMs(best.tokens) > float64(best.tokens)/p.speed.tokensPerMs() {
		return source{}
	}
	return best
}

// copies reports whether the pool's engines copy KV cache from one another, over
// a link of known speed.
func (p *pool) copiesCache() bool {
	return p.engine != nil && p.engine.Moves && p.engine.LinkMbps > 0
}

// mostKept returns the engine beside the chosen one that is believed to keep the
// most of the shared parts: one that this gateway used, or the home of a
// beginning.
func bestSource(now time.Time, chosen *upstream, candidates []*upstream, prompt Prompt, keys []uint64) source {
	var best source
	consider := func(u *upstream, tokens int) {
		if u != chosen && tokens > best.tokens {
			best = source{upstream: u, tokens: tokens}
		}
	}
	shared := prompt.shared()
	for _, u := range candidates {
		consider(u, u.cache.keptAndRead(now, prompt, keys[:len(shared)]))
	}
	tokens := 0
	for i, part := range shared {
		tokens += part.Tokens
		consider(homeOfKey(candidates, keys[i]), int(homeKeptShare*float64(tokens)))
	}
	return best
}

// moveMs is the time that a copy of the tokens takes on the link between two
// engines, in milliseconds.
func (p *pool) transferMs(tokens int) float64 {
	return float64(tokens*p.engine.TokenBytes*bitsPerByte) / (p.engine.LinkMbps * bitsPerMbpsMs)
}
