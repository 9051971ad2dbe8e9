package balance

import "time"

// The load that this answers: more prompts than the pool can read. If all are taken,
// all of them wait until few are in time and many are given up after they were read,
// and streams pause beside engines that never stop reading. At four times the usual
// prompts, an eighth of them were given up and one chat in twelve was in time.
//
// So a request that would wait for longer than its target before it is read is turned
// away at once, with the time after which it is expected to fit. Only the least urgent
// requests of a pool are: urgent ones go before them in the engines' queues, and
// nothing is turned away to make room for what stands below it. As the wait is what
// decides, some are always taken, large or small.

const (
	// busyShare is the part of its target that a request may wait before it is read.
	// At 1.2 fewer were in time; at 0.7 more were, but where the load just fitted one
	// in fifty was turned away for nothing.
	busyShare = 1.0
	// busySeen is the part of that wait that this gateway must have seen itself: what
	// others tell may be wrong, and turns nobody away alone.
	busySeen = 0.5
	// waitsWeight is the weight of the latest request in the waits that were seen.
	waitsWeight = 0.2
	// comeBackLeast and comeBackMost bound the time after which to come back, as a
	// multiple of what is too much of the wait. Prompts come on meanwhile, and callers
	// that come back at once would wait again.
	comeBackLeast = 1.0
	comeBackMost  = 2.0
	// comeBackFirst is the shortest such time, in milliseconds: a few steps of an
	// engine.
	comeBackFirst = 50.0
	// comeBackSteps is into how many steps the time is spread.
	comeBackSteps = 1024
)

// tooBusy returns the time after which the request is to come back; 0 if it may go to
// the choice now.
func (p *pool) tooBusy(now time.Time, r Request, c Choice) time.Duration {
	if !r.Least || r.Target == 0 || r.Prompt.Tokens == 0 || len(r.Exclude) > 0 {
		return 0
	}
	limit := busyShare * milliseconds(r.Target)
	if c.Wait <= limit || p.waitSeen(now) < busySeen*limit {
		return 0
	}
	spread := comeBackLeast + (comeBackMost-comeBackLeast)*float64(r.Hash%comeBackSteps)/comeBackSteps
	ms := max(comeBackFirst, spread*(c.Wait-limit))
	return time.Duration(ms * float64(time.Millisecond))
}

// waitSeen is how long the least urgent requests of this gateway wait for their first
// event, by those that had it lately and those that wait for it, in milliseconds.
func (p *pool) waitSeen(now time.Time) float64 {
	seen, _ := p.waits.value(now)
	for _, u := range p.members {
		for _, r := range u.running {
			if r.least && !r.begun {
				seen = max(seen, milliseconds(now.Sub(r.sentAt)))
			}
		}
	}
	return seen
}
