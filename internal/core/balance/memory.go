package balance

import "time"

// memoryShare is the part of an engine's memory that running requests may fill
// by this gateway's estimate. Beyond it the engine would soon take memory from
// requests in the middle of their answers, and read them anew.
const maxMemoryShare = 0.9

// tokensOf is the memory that the request is expected to fill, in tokens.
func (p *pool) requestTokens(r Request) int {
	return r.Prompt.Tokens + int(p.outputs.expected(r))
}

// learnTokens follows the mean memory of a request.
func (p *pool) learnTokens(tokens int) {
	if p.meanTokens == 0 {
		p.meanTokens = float64(tokens)
	}
	p.meanTokens += ewmaWeight * (float64(tokens) - p.meanTokens)
}

// overflow is the number of tokens that would not fit the engine's memory any
// more with the request. As many have to be read anew.
func (p *pool) overflow(now time.Time, u *upstream, r Request) float64 {
	if p.engine == nil || p.engine.MemoryTokens == 0 {
		return 0
	}
	room := maxMemoryShare * float64(p.engine.MemoryTokens)
	return max(0, u.memoryTokens(now, p.meanTokens)+float64(p.requestTokens(r))-room)
}
