package session

import (
	"fmt"
	"strings"
	"time"
)

// Limits of the checks.
const (
	// leavingGracePeriod is the time after which a leaving upstream starts no new requests.
	leavingGracePeriod = 3 * time.Second
	// starvationLimit is the maximum time between two starts of a class that has
	// waiting requests.
	starvationLimit = 60 * time.Second
)

// checker reads a transcript and collects violations of the guarantees. It shares no code
// with the core's decisions.
type checker struct {
	s              *Session
	violations     []string
	starts         map[int]int
	running        map[int]int
	outcome        map[int]string
	produced       map[int]int
	leavingSince   map[string]time.Duration
	waitingByClass map[string]int
	isWaiting      map[int]bool
	lastStart      map[string]time.Duration
}

// Violations returns the violations of the guarantees in the session.
func (s *Session) Violations() []string {
	c := &checker{
		s:              s,
		starts:         make(map[int]int),
		running:        make(map[int]int),
		outcome:        make(map[int]string),
		produced:       make(map[int]int),
		leavingSince:   make(map[string]time.Duration),
		waitingByClass: make(map[string]int),
		isWaiting:      make(map[int]bool),
		lastStart:      make(map[string]time.Duration),
	}
	for _, r := range s.records {
		c.check(r)
	}
	c.checkEnd()
	return c.violations
}

func (c *checker) fail(r record, format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%s: %s", r, fmt.Sprintf(format, args...)))
}

func (c *checker) check(r record) {
	switch r.Kind {
	case accepted:
		c.addWaiting(r)
	case refused:
		c.refused(r)
	case preempted:
		c.preempted(r)
	case engineStarted:
		c.started(r)
	case engineStopped, engineEnded:
		c.running[r.Request]--
		c.produced[r.Request] += r.Tokens
	case finished:
		c.finished(r)
	case leaving:
		c.leavingSince[r.Agent] = r.At
	default:
	}
}

// addWaiting records that a request waits for its first start.
func (c *checker) addWaiting(r record) {
	if c.isWaiting[r.Request] || c.starts[r.Request] > 0 || c.outcome[r.Request] != "" {
		return
	}
	c.isWaiting[r.Request] = true
	if c.waitingByClass[r.Class] == 0 {
		c.lastStart[r.Class] = r.At
	}
	c.waitingByClass[r.Class]++
}

// removeWaiting ends the wait of a request and checks that its class did not starve.
func (c *checker) removeWaiting(r record) {
	if !c.isWaiting[r.Request] {
		return
	}
	c.isWaiting[r.Request] = false
	if gap := r.At - c.lastStart[r.Class]; gap > starvationLimit {
		c.fail(r, "class starved for %s", gap)
	}
	c.waitingByClass[r.Class]--
}

// started checks that a non-repeatable request runs at most once, that a request does not
// run after it was answered as not run, and that a leaving upstream starts no new requests.
func (c *checker) started(r record) {
	class, _ := c.s.site.Config.Class(r.Class)
	c.removeWaiting(r)
	c.lastStart[r.Class] = r.At
	c.starts[r.Request]++
	c.running[r.Request]++
	if !class.Repeatable && c.starts[r.Request] > 1 {
		c.fail(r, "a request that may not be repeated ran %d times", c.starts[r.Request])
	}
	if c.outcome[r.Request] == "not_run" {
		c.fail(r, "started after it was answered as not run")
	}
	if at, ok := c.leavingSince[r.Agent]; ok && r.At-at > leavingGracePeriod && r.Tokens == 0 {
		c.fail(r, "started %s after its upstream began to leave", r.At-at)
	}
}

// refused checks that no protected request is shed while a run of a lower tier could have
// been preempted for it.
func (c *checker) refused(r record) {
	class, _ := c.s.site.Config.Class(r.Class)
	if class.Protected && r.Detail == "overload" && r.PreemptibleRuns > c.maxFloorRuns(r) {
		c.fail(r, "a protected request was shed while %d runs of lower tiers went on", r.PreemptibleRuns)
	}
}

// maxFloorRuns returns the number of slots that runs on floor shares may occupy.
func (c *checker) maxFloorRuns(r record) int {
	const slotsPerFloorRun = 10
	pool, _ := c.s.site.Config.Pool(c.s.agent(r.Agent).pool)
	return max(1, pool.Slots/slotsPerFloorRun)
}

func (c *checker) preempted(r record) {
	class, _ := c.s.site.Config.Class(r.Class)
	if class.Protected {
		c.fail(r, "a protected request was preempted")
	}
	if !class.Repeatable {
		c.fail(r, "a request that may not be repeated was preempted")
	}
}

// finished checks that a request is answered once, that one that is answered as not run was
// never started, and that the response of a completed request has all its tokens.
func (c *checker) finished(r record) {
	c.removeWaiting(r)
	if c.outcome[r.Request] != "" {
		c.fail(r, "answered twice")
	}
	result, _, _ := strings.Cut(r.Detail, " ")
	c.outcome[r.Request] = result
	req := c.s.requests[r.Request-1]
	switch result {
	case "not_run":
		if c.starts[r.Request] > 0 {
			c.fail(r, "answered as not run after it had been started")
		}
	case "completed":
		if r.Tokens != req.tokens || c.produced[r.Request] < req.tokens {
			c.fail(r, "complete with %d of %d tokens", r.Tokens, req.tokens)
		}
	}
}

// checkEnd checks that every request was answered and that none still runs after its answer.
func (c *checker) checkEnd() {
	for _, req := range c.s.requests {
		if c.outcome[req.id] == "" {
			c.violations = append(c.violations, fmt.Sprintf("request %d (%s) was never answered", req.id, req.class.Name))
		}
		if c.running[req.id] > 0 && c.outcome[req.id] != "" {
			c.violations = append(c.violations, fmt.Sprintf("request %d (%s) runs on after its answer", req.id, req.class.Name))
		}
	}
}
