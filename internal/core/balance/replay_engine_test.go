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
	// needs is the memory that it holds once it is admitted.
	needs  int
	ended  bool
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
	// waiting holds the prompts that are not admitted, reading those that are not
	// read yet, running the others. Only a replay that admits has waiting ones.
	waiting []*replayRun
	reading []*replayRun
	running []*replayRun
	stepped bool
	// kept is when each part was used last; the oldest give way.
	kept   map[uint64]time.Time
	sizes  map[uint64]int
	tokens int
	// rests are the times in which it refuses everything and asks for rest.
	rests replayRests
	fault replayFault
	// limit is the limit that it names for a time.
	limit replayLimit
	// used is the memory of the admitted requests, beside the kept parts.
	used int
}

// arrive takes a request. What it and the source of its copy lack has to be read.
func (e *replayEngine) arrive(run *replayRun, from *replayEngine) {
	e.limit.arrived(e.r.now, run.gateway)
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
	run.needs = run.prompt.Parts[len(keys)-1].Tokens + run.output
	if e.r.admits {
		e.waiting = append(e.waiting, run)
		slices.SortStableFunc(e.waiting, func(a, b *replayRun) int { return cmp.Compare(a.class.tier, b.class.tier) })
		e.r.after(milliseconds(run.class.patient-e.r.now.Sub(run.came)), func() { e.cut(run) })
		e.admit()
		e.step()
		return
	}
	e.reading = append(e.reading, run)
	slices.SortStableFunc(e.reading, func(a, b *replayRun) int { return cmp.Compare(a.class.tier, b.class.tier) })
	e.step()
}

func (e *replayEngine) has(key uint64) bool {
	_, ok := e.kept[key]
	return ok
}

// admit takes waiting prompts while there are slots and memory.
func (e *replayEngine) admit() {
	for len(e.waiting) > 0 && len(e.reading)+len(e.running) < replaySlots && e.used+e.waiting[0].needs <= replayMemory {
		run := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.used += run.needs
		e.reading = append(e.reading, run)
	}
}

// cut ends the run of a caller that has left.
func (e *replayEngine) cut(run *replayRun) {
	if run.ended || e.dead {
		return
	}
	run.ended = true
	before := len(e.waiting)
	is := func(other *replayRun) bool { return other == run }
	e.waiting = slices.DeleteFunc(e.waiting, is)
	e.reading = slices.DeleteFunc(e.reading, is)
	e.running = slices.DeleteFunc(e.running, is)
	if len(e.waiting) == before {
		e.used -= run.needs
	}
	if run.made > 0 {
		e.r.cutTokens += run.prompt.Tokens
	}
	run.gateway.table.Ended(e.r.now, run.choice, Abandoned, Answer{})
	e.r.count(run.class, goneResult)
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
		if run.made%e.r.eventTokens == 0 {
			e.event(run)
		}
		if run.made < run.output {
			e.running = append(e.running, run)
			continue
		}
		run.ended = true
		e.used -= run.needs
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
		e.answers(run)
		e.r.began(run)
		e.running = append(e.running, run)
	}
	e.reading = reading
	e.admit()
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
	room := replayMemory / 2
	if e.r.admits {
		room = replayMemory - e.used
	}
	for e.tokens > room && len(e.kept) > 0 {
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
	lost := slices.Concat(e.waiting, e.reading, e.running)
	e.waiting, e.reading, e.running = nil, nil, nil
	e.kept = make(map[uint64]time.Time)
	for _, run := range lost {
		run.gateway.table.Ended(e.r.now, run.choice, Broken, Answer{})
		e.r.count(run.class, lostResult)
	}
}
