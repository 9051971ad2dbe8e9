package session

import (
	"slices"
	"time"
)

// Speeds and sizes of the fake engines.
const (
	engineStep = 20 * time.Millisecond
	// tokenRate is the tokens per second of one run.
	tokenRate = 40.0
	// prefillTime is the prefill time of a prompt whose prefix is not cached.
	prefillTime = 120 * time.Millisecond
	// cachedPrefillTime is the prefill time of a prompt whose prefix is cached.
	cachedPrefillTime = 40 * time.Millisecond
	// resumeTime is the prefill time of a resumed response.
	resumeTime = 60 * time.Millisecond
	// serviceTime is the duration of a call to a plain service.
	serviceTime = 600 * time.Millisecond
	// chunkInterval is the minimum time between two chunks of a response.
	chunkInterval   = 200 * time.Millisecond
	prefixCacheSize = 6
)

// engineRun is a request that runs on an engine.
type engineRun struct {
	id  string
	req *request
	// prefill is the remaining time before the run produces tokens.
	prefill  time.Duration
	produced float64
	// offset is the number of tokens at which the response is resumed.
	offset int
	sent   int
	sentAt time.Time
}

// engine is a fake upstream. Its runs do not slow each other down.
type engine struct {
	s           *Session
	host        *agentHost
	speed       float64
	down        bool
	runs        []*engineRun
	prefixCache []int
}

func (e *engine) start(id string, req *request, offset int) {
	r := &engineRun{id: id, req: req, offset: offset, produced: float64(offset), sent: offset}
	switch {
	case req.service:
		r.prefill = serviceTime
	case offset > 0:
		r.prefill = resumeTime
	default:
		r.prefill = e.prefillTime(req.prefix)
	}
	e.runs = append(e.runs, r)
	e.s.addRecord(record{Kind: engineStarted, Request: req.id, Attempt: id, Agent: e.host.id, Class: req.class.Name, Tokens: offset})
}

// prefillTime returns the prefill time of a prompt and updates the prefix cache, which
// evicts the least recently used prefix.
func (e *engine) prefillTime(prefix int) time.Duration {
	at := slices.Index(e.prefixCache, prefix)
	if at >= 0 {
		e.prefixCache = slices.Delete(e.prefixCache, at, at+1)
	}
	e.prefixCache = append(e.prefixCache, prefix)
	if len(e.prefixCache) > prefixCacheSize {
		e.prefixCache = e.prefixCache[1:]
	}
	if at >= 0 {
		return cachedPrefillTime
	}
	return prefillTime
}

// stop ends a run and returns the number of tokens produced.
func (e *engine) stop(id string) int {
	for i, r := range e.runs {
		if r.id == id {
			e.runs = slices.Delete(e.runs, i, i+1)
			e.finish(r, engineStopped)
			return int(r.produced)
		}
	}
	return 0
}

// finish records the end of a run and the tokens that it produced.
func (e *engine) finish(r *engineRun, k kind) {
	e.s.addRecord(record{Kind: k, Request: r.req.id, Attempt: r.id, Agent: e.host.id, Class: r.req.class.Name, Tokens: int(r.produced) - r.offset})
}

// step advances all runs by engineStep.
func (e *engine) step() {
	if e.down {
		return
	}
	var ended []*engineRun
	for _, r := range e.runs {
		if e.advance(r) {
			ended = append(ended, r)
		}
	}
	for _, r := range ended {
		e.runs = slices.DeleteFunc(e.runs, func(other *engineRun) bool { return other == r })
		e.finish(r, engineEnded)
		e.host.ended(r.id, int(r.produced))
	}
}

// advance advances one run by engineStep and reports whether it is complete.
func (e *engine) advance(r *engineRun) bool {
	work := time.Duration(float64(engineStep) * e.speed)
	if r.prefill > 0 {
		used := min(r.prefill, work)
		r.prefill -= used
		work -= used
	}
	if r.prefill > 0 {
		return false
	}
	if r.req.service {
		r.produced = 1
		return true
	}
	r.produced = min(r.produced+work.Seconds()*tokenRate, float64(r.req.tokens))
	now := e.s.clock.now
	if int(r.produced) > r.sent && (r.sent == r.offset || now.Sub(r.sentAt) >= chunkInterval) {
		r.sent = int(r.produced)
		r.sentAt = now
		e.host.progress(r.id, r.sent)
	}
	return int(r.produced) >= r.req.tokens
}

// crash takes the engine down and interrupts all runs. The prefix cache is lost.
func (e *engine) crash() {
	e.down = true
	runs := e.runs
	e.runs = nil
	e.prefixCache = nil
	for _, r := range runs {
		e.finish(r, engineStopped)
		e.host.interrupted(r.id, int(r.produced))
	}
}
