package balance

import "time"

// maxMemoryShare is the fraction of an engine's memory that running requests may fill by
// this gateway's estimate. Beyond it the engine would soon preempt requests in the middle
// of their answers and prefill them again.
const maxMemoryShare = 0.9

// requestTokens is the memory that the request is expected to take, in tokens.
func (p *pool) requestTokens(r Request) int {
	return r.Prompt.Tokens + int(p.outputs.expected(r))
}

// observeTokens updates the mean memory of a request.
func (p *pool) observeTokens(tokens int) {
	if p.meanTokens == 0 {
		p.meanTokens = float64(tokens)
	}
	p.meanTokens += smoothing * (float64(tokens) - p.meanTokens)
}

// overflow is the number of tokens by which the requests would exceed the engine's memory
// with this one added. As many have to be prefilled again.
func (p *pool) overflow(now time.Time, u *upstream, r Request) float64 {
	if p.engine == nil || p.engine.MemoryTokens == 0 {
		return 0
	}
	room := maxMemoryShare * float64(p.engine.MemoryTokens)
	return max(0, u.memoryTokens(now, p.meanTokens)+float64(p.requestTokens(r))-room)
}
