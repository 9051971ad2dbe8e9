package balance

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// homeCredit is the part of the shared prompt that its home is believed to
// keep when this gateway itself has not sent it there.
const homeKeptShare = 0.8

// homeOf returns the upstream that all gateways send the shared part to.
func homeOf(candidates []*upstream, p Prompt, keys []uint64) *upstream {
	shared := len(p.shared())
	if shared == 0 {
		return nil
	}
	return homeOfKey(candidates, keys[shared-1])
}

// homeOfKey returns the first upstream in rendezvous order of the key.
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

// unreadTokens is the part of the prompt that the engine would read anew.
func unreadTokens(now time.Time, u *upstream, p Prompt, keys []uint64, home bool) int {
	kept := u.cache.kept(now, p, keys)
	if home {
		shared := 0
		for _, part := range p.shared() {
			shared += part.Tokens
		}
		kept = max(kept, int(homeKeptShare*float64(shared)))
	}
	return max(0, p.Tokens-kept)
}
