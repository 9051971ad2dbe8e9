package balance

import "github.com/gladegauge/gladegauge/internal/core/rendezvous"

// Part is a part of a prompt that other requests may share.
type Part struct {
	// ID is the hash of the part's name.
	ID uint64
	// Name is the identity that the caller gave to the part.
	Name   string
	Tokens int
}

// Prompt describes the prompt of a request. The zero value is a request without one.
type Prompt struct {
	// Model is the hash of the model's name.
	Model uint64
	// Parts are in order; the last one is private to the request or its session.
	Parts []Part
	// Tokens is the size of the whole prompt.
	Tokens int
	// MaxOutput is the maximum number of tokens of the answer.
	MaxOutput int
	// OutputHint is the caller's estimate of that number, often far off but right in the
	// median; 0 if there is none.
	OutputHint int
}

// expectedOutput is the expected number of tokens of the answer while nothing is known
// about its route.
func (p Prompt) expectedOutput() float64 {
	if p.OutputHint > 0 {
		return float64(p.OutputHint)
	}
	return float64(p.MaxOutput) / 2
}

// Shared returns the parts that other requests may share.
func (p Prompt) Shared() []Part {
	if len(p.Parts) < 2 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// chain returns a cache key for each prefix of parts. A part is usable only if all parts
// before it are cached as well, so its key covers them.
func (p Prompt) chain() []uint64 {
	keys := make([]uint64, len(p.Parts))
	key := p.Model
	for i, part := range p.Parts {
		key = rendezvous.Mix(key, part.ID)
		keys[i] = key
	}
	return keys
}
