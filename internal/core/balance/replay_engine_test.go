package balance

import (
	"cmp"
	"slices"
	"time"
)

// Figures of the engines in a replay: they batch continuously, read prompts in
// chunks between the tokens of other requests, and copy KV cache from each other.
const (
	replaySlots  = 64
	replayMemory = 289_000
	// stepMs is an engine's step without work, slotMs what each request adds.
	stepMs = 3.1
	slotMs = 0.1
	// chunkTokens is the most that is read of prompts in a step, at readingPerMs.
	chunkTokens  = 2048
	readingPerMs = 57.0
	// eventTokens is the size of an event of a stream.
	eventTokens = 12
	// copyMs is the time to copy the parts of a prompt from another engine.
	copyMs = 5.0
)

// replayRun is a request at an engine.
type replayRun struct {
	*replayRequest
	choice Choice
	// unread is what has to be read yet, and made the tokens of its answer.
	unread int
	made   int
	lastAt time.Time
	// longest is the longest time between two events.
	longest time.Duration
	gaps    Gaps
	heardAt time.Time
}

// replayEngine plays one model engine.
type replayEngine struct {
	r     *replay
	id    string
	speed float64
	dead  bool
	// reading holds the prompts that are not read yet, running the others.
	reading []*replayRun
	running []*replayRun
	stepped bool
	// kept is when each part was used last; the oldest give way.
	kept   map[uint64]time.Time
	sizes  map[uint64]int
	tokens int
}

// arrive takes a request. What it and the source of its copy lack has to be read.
func (e *replayEngine) arrive(run *replayRun, from *replayEngine) {
	keys := run.prompt.chain()
	held, i := 0, 0
	for ; i < len(keys) && e.has(keys[i]); i++ {
		held += run.prompt.Parts[i].Tokens
	}
	if from != nil && !from.dead {
		for ; i < len(keys) && from.has(keys[i]); i++ {
			held += run.prompt.Parts[i].Tokens
		}
	}
	for j := i; j < len(keys)-1; j++ {
		if e.r.someoneHas(keys[j]) {
			e.r.readAgain += run.prompt.Parts[j].Tokens
		}
	}
	run.unread = run.prompt.Tokens - held
	e.reading = append(e.reading, run)
	slices.SortStableFunc(e.reading, func(a, b *replayRun) int { return cmp.Compare(a.class.tier, b.class.tier) })
	e.step()
}

func (e *replayEngine) has(key uint64) bool {
	_, ok := e.kept[key]
	return ok
}

// step begins the next step unless one is under way.
func (e *replayEngine) step() {
	if e.stepped || e.dead || len(e.reading)+len(e.running) == 0 {
		return
	}
	e.stepped = true
	left := chunkTokens
	for _, run := range e.reading {
		n := min(left, run.unread)
		run.unread -= n
		left -= n
	}
	took := stepMs + slotMs*float64(len(e.running)) + float64(chunkTokens-left)/readingPerMs
	e.r.after(took*e.speed, e.stepEnds)
}

// stepEnds gives each running request its next token.
func (e *replayEngine) stepEnds() {
	e.stepped = false
	if e.dead {
		return
	}
	running := e.running
	e.running = nil
	for _, run := range running {
		run.made++
		if run.made%eventTokens == 0 {
			e.event(run)
		}
		if run.made < run.output {
			e.running = append(e.running, run)
			continue
		}
		e.r.completed(run)
	}
	var reading []*replayRun
	for _, run := range e.reading {
		if run.unread > 0 || len(e.running) >= replaySlots {
			reading = append(reading, run)
			continue
		}
		e.keep(run)
		run.lastAt, run.heardAt = e.r.now, e.r.now
		e.r.began(run)
		e.running = append(e.running, run)
	}
	e.reading = reading
	e.step()
}

// event passes an event to the gateway.
func (e *replayEngine) event(run *replayRun) {
	gap := e.r.now.Sub(run.lastAt)
	run.lastAt = e.r.now
	run.longest = max(run.longest, gap)
	run.gaps = run.gaps.With(gap)
	if e.r.now.Sub(run.heardAt) >= 200*time.Millisecond {
		run.gateway.table.Heard(e.r.now, e.id, run.gaps)
		run.gaps = Gaps{}
		run.heardAt = e.r.now
	}
}

// keep notes the parts that were read; the ones unused for the longest give way.
func (e *replayEngine) keep(run *replayRun) {
	for i, key := range run.prompt.chain() {
		if !e.has(key) {
			e.tokens += run.prompt.Parts[i].Tokens
			e.sizes[key] = run.prompt.Parts[i].Tokens
		}
		e.kept[key] = e.r.now
	}
	for e.tokens > replayMemory/2 {
		var oldest uint64
		for key, at := range e.kept {
			if old, ok := e.kept[oldest]; !ok || at.Before(old) || (at.Equal(old) && key < oldest) {
				oldest = key
			}
		}
		e.tokens -= e.sizes[oldest]
		delete(e.kept, oldest)
		delete(e.sizes, oldest)
	}
}

// crash loses all requests; the port refuses from now on.
func (e *replayEngine) crash() {
	e.dead = true
	lost := append(e.reading, e.running...)
	e.reading, e.running = nil, nil
	e.kept = make(map[uint64]time.Time)
	for _, run := range lost {
		run.gateway.table.Ended(e.r.now, run.choice, Broken, Answer{})
		e.r.count(run.class, lostResult)
	}
}
