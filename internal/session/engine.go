package session

import (
	"slices"
	"time"
)

// Rates of the fake engines.
const (
	engineStep = 20 * time.Millisecond
	// tokenRate is tokens a second of one run.
	tokenRate = 40.0
	// promptTime is the time of a prompt whose prefix is not cached.
	promptTime = 120 * time.Millisecond
	// cachedPromptTime is the time of one whose prefix is.
	cachedPromptTime = 40 * time.Millisecond
	// resumeTime is the time to take up an answer again.
	resumeTime = 60 * time.Millisecond
	// serviceTime is the time of one call of a plain service.
	serviceTime = 600 * time.Millisecond
	// reportEvery is the time between two pieces of an answer.
	reportEvery    = 200 * time.Millisecond
	cachedPrefixes = 6
)

// engineRun is one request that an engine works on.
type engineRun struct {
	id       string
	req      *request
	prompt   time.Duration
	produced float64
	from     int
	sent     int
	sentAt   time.Time
}

// engine is a fake upstream.
type engine struct {
	s     *Session
	host  *agentHost
	speed float64
	down  bool
	runs  []*engineRun
	cache []int
}

func (e *engine) start(id string, req *request, from int) {
	r := &engineRun{id: id, req: req, from: from, produced: float64(from), sent: from}
	switch {
	case req.service:
		r.prompt = serviceTime
	case from > 0:
		r.prompt = resumeTime
	default:
		r.prompt = e.promptTime(req.prefix)
	}
	e.runs = append(e.runs, r)
	e.s.note(record{Kind: engineStarted, Request: req.id, Attempt: id, Agent: e.host.id, Class: req.class.Name, Tokens: from})
}

// promptTime is shorter for a cached prefix; the cache holds a few.
func (e *engine) promptTime(prefix int) time.Duration {
	at := slices.Index(e.cache, prefix)
	if at >= 0 {
		e.cache = slices.Delete(e.cache, at, at+1)
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > cachedPrefixes {
		e.cache = e.cache[1:]
	}
	if at >= 0 {
		return cachedPromptTime
	}
	return promptTime
}

// stop ends a run and returns the tokens made.
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

// finish notes the work of a run that ended.
func (e *engine) finish(r *engineRun, k kind) {
	e.s.note(record{Kind: k, Request: r.req.id, Attempt: r.id, Agent: e.host.id, Class: r.req.class.Name, Tokens: int(r.produced) - r.from})
}

// step lets the engine work for one step.
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

// advance moves one run on and reports whether it is complete.
func (e *engine) advance(r *engineRun) bool {
	work := time.Duration(float64(engineStep) * e.speed)
	if r.prompt > 0 {
		used := min(r.prompt, work)
		r.prompt -= used
		work -= used
	}
	if r.prompt > 0 {
		return false
	}
	if r.req.service {
		r.produced = 1
		return true
	}
	r.produced = min(r.produced+work.Seconds()*tokenRate, float64(r.req.tokens))
	now := e.s.world.now
	if int(r.produced) > r.sent && (r.sent == r.from || now.Sub(r.sentAt) >= reportEvery) {
		r.sent = int(r.produced)
		r.sentAt = now
		e.host.progress(r.id, r.sent)
	}
	return int(r.produced) >= r.req.tokens
}

// crash ends all runs.
func (e *engine) crash() {
	e.down = true
	runs := e.runs
	e.runs = nil
	e.cache = nil
	for _, r := range runs {
		e.finish(r, engineStopped)
		e.host.broke(r.id, int(r.produced))
	}
}
