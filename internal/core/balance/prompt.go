package balance

import "github.com/gladegauge/gladegauge/internal/core/rendezvous"

// Part is a piece of a prompt that other requests may share.
type Part struct {
	// ID is the hash of the part's identity.
	ID     uint64
	Tokens int
}

// Prompt is what a request says of its prompt. The zero value is a request
// without one.
type Prompt struct {
	// Model is the hash of the model's name.
	Model uint64
	// Parts are in order; the last one belongs to the request or its session.
	Parts []Part
	// Tokens is the size of the whole prompt.
	Tokens int
	// MaxOutput bounds the tokens of the answer.
	MaxOutput int
	// OutputHint is the caller's guess of those tokens, often far off but right
	// in the median; 0 if there is none.
	OutputHint int
}

// expectedOutput is the number of tokens that the answer is likely to have
// while nothing is known of its route.
func (p Prompt) expectedOutput() float64 {
	if p.OutputHint > 0 {
		return float64(p.OutputHint)
	}
	return float64(p.MaxOutput) / 2
}

// shared returns the parts that other requests may share.
func (p Prompt) shared() []Part {
	if len(p.Parts) < 2 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// chain returns a key for each leading run of parts. A part is only of use
// when all parts before it are kept as well, so the key covers them.
func (p Prompt) chain() []uint64 {
	keys := make([]uint64, len(p.Parts))
	key := p.Model
	for i, part := range p.Parts {
		key = rendezvous.Mix(key, part.ID)
		keys[i] = key
	}
	return keys
}
