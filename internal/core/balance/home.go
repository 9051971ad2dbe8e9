package balance

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// homeCachedShare is the fraction of the shared prompt that its home is assumed to have
// cached if this gateway itself has not sent the prompt there.
const homeCachedShare = 0.8

// homeOf returns the upstream to which all gateways send the deepest shared part.
func homeOf(candidates []*upstream, p Prompt, keys []uint64) *upstream {
	shared := len(p.Shared())
	if shared == 0 {
		return nil
	}
	return homeOfKey(candidates, keys[shared-1])
}

// homeOfKey returns the first upstream in the rendezvous order of the key.
func homeOfKey(candidates []*upstream, key uint64) *upstream {
	var home *upstream
	var best uint64
	for _, u := range candidates {
		if score := rendezvous.Mix(key, u.hash); home == nil || score > best {
			home, best = u, score
		}
	}
	return home
}

// unreadTokens is the number of prompt tokens that the engine would have to prefill.
func unreadTokens(now time.Time, u *upstream, p Prompt, keys []uint64, home bool) int {
	cachedTokens := u.cache.cachedTokens(now, p, keys)
	if home {
		shared := 0
		for _, part := range p.Shared() {
			shared += part.Tokens
		}
		cachedTokens = max(cachedTokens, int(homeCachedShare*float64(shared)))
	}
	return max(0, p.Tokens-cachedTokens)
}
