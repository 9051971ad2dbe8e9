package balance

import "time"

// Copying of KV cache between engines.
const (
	// minFetchTokens is the minimum number of tokens for which a copy is worthwhile:
	// setting up a copy takes an engine a few milliseconds, in which it could prefill
	// about as many.
	minFetchTokens = 128
	// bitsPerByte converts the size of a token to bits.
	bitsPerByte = 8
	// bitsPerMbpsMs is the number of bits that a link of one megabit per second carries
	// in a millisecond.
	bitsPerMbpsMs = 1000
)

// source is an engine that has the beginning of a prompt cached.
type source struct {
	upstream *upstream
	// tokens is the number of tokens that it is expected to have cached.
	tokens int
}

// sourceFor returns the engine that the chosen one should copy from, with no tokens if a
// copy is not worthwhile. The engine copies only the tokens that it lacks, so naming a
// source costs nothing. A source is named even if the chosen engine is expected to have
// all of the prompt cached: when memory is short, it evicts parts that this gateway still
// assumes to be there. That saved a tenth of the repeated prefill of shared parts on one
// day of bursts, and a fifth on another.
func (p *pool) sourceFor(now time.Time, chosen *upstream, candidates []*upstream, prompt Prompt, keys []uint64) source {
	if len(prompt.Shared()) == 0 || !p.copiesCache() {
		return source{}
	}
	best := bestSource(now, chosen, candidates, prompt, keys)
	if best.tokens < minFetchTokens || p.transferMs(best.tokens) > float64(best.tokens)/p.speed.tokensPerMs() {
		return source{}
	}
	return best
}

// copiesCache reports whether the pool's engines copy KV cache from one another over a
// link of known bandwidth.
func (p *pool) copiesCache() bool {
	return p.engine != nil && p.engine.Moves && p.engine.LinkMbps > 0
}

// bestSource returns the engine other than the chosen one that is expected to have the
// most of the shared parts cached: one that this gateway has used, or the home of a
// prefix.
func bestSource(now time.Time, chosen *upstream, candidates []*upstream, prompt Prompt, keys []uint64) source {
	var best source
	consider := func(u *upstream, tokens int) {
		if u != chosen && tokens > best.tokens {
			best = source{upstream: u, tokens: tokens}
		}
	}
	shared := prompt.Shared()
	for _, u := range candidates {
		consider(u, u.cache.prefilledTokens(now, prompt, keys[:len(shared)]))
	}
	tokens := 0
	for i, part := range shared {
		tokens += part.Tokens
		consider(homeOfKey(candidates, keys[i]), int(homeCachedShare*float64(tokens)))
	}
	return best
}

// transferMs is the time to copy the tokens over the link between two engines, in
// milliseconds.
func (p *pool) transferMs(tokens int) float64 {
	return float64(tokens*p.engine.TokenBytes*bitsPerByte) / (p.engine.LinkMbps * bitsPerMbpsMs)
}
