package dispatch

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/agent"
	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/member"
	"github.com/gladegauge/gladegauge/internal/core/route"
)

// Defaults of a request.
const (
	// DefaultWidth is the number of agents that hold an offer at a time.
	DefaultWidth = 2
	// DefaultOffers bounds the offers of one request.
	DefaultOffers = 6
	// DefaultResumes is how often a broken answer is continued elsewhere.
	DefaultResumes = 1
	// StallAfter is the silence after which a claimed attempt is taken to be
	// lost; agents with a run that makes no tokens send heartbeats.
	StallAfter = 4 * time.Second
)

// Options are the settings of all requests of an entry. Zero values take the
// defaults.
type Options struct {
	Width   int
	Offers  int
	Resumes int
	// NoResume gives up on a broken answer; the baseline.
	NoResume bool
}

func (o Options) withDefaults() Options {
	if o.Width == 0 {
		o.Width = DefaultWidth
	}
	if o.Offers == 0 {
		o.Offers = DefaultOffers
	}
	if o.Resumes == 0 && !o.NoResume {
		o.Resumes = DefaultResumes
	}
	return o
}

// Spec is what the request asks for.
type Spec struct {
	Class   *config.Class
	Pool    string
	Arrived time.Time
	Prefix  uint64
	// Bound is the one agent an idempotency key belongs to, or zero.
	Bound member.Host
}

// Seams are what a request needs of its entry.
type Seams struct {
	// Pick returns agents to offer to, and counts the offers.
	Pick func(now time.Time, r route.Request, n int) []member.Host
	// Spend takes one retry from the pool's budget.
	Spend func() bool
}

const (
	offered phase = iota + 1
	claimed
	closed
)

// Request is one request in progress. It is not safe for concurrent use.
type Request struct {
	spec      Spec
	options   Options
	seams     Seams
	attempts  []*attempt
	running   int
	everRan   bool
	delivered int
	resumes   int
	fixed     bool
	heardAt   time.Time
	refusal   Outcome
	done      bool
}

// none is the number of no attempt.
const none = -1

// New returns a request that was not offered yet.
func New(spec Spec, o Options, s Seams) *Request {
	return &Request{
		spec:    spec,
		options: o.withDefaults(),
		seams:   s,
		running: none,
		refusal: Outcome{Result: NotRun},
	}
}

// bound reports whether the request belongs to one agent.
func (r *Request) bound() bool { return r.spec.Bound.ID != "" }

// Done reports whether the request has its outcome.
func (r *Request) Done() bool { return r.done }

// Agent returns the agent of an attempt.
func (r *Request) Agent(n int) member.Host { return r.attempts[n].agent }

// Delivered returns the length of the answer that the caller has.
func (r *Request) Delivered() int { return r.delivered }

// Start makes the first offers.
func (r *Request) Start(now time.Time) []Effect {
	if r.bound() {
		return r.offer([]member.Host{r.spec.Bound})
	}
	return r.widen(now, r.options.Width)
}

func (r *Request) finish(o Outcome) []Effect {
	effects := r.withdrawAll()
	r.done = true
	return append(effects, Finish{Outcome: o})
}

// live reports whether an event of the attempt still matters.
func (r *Request) live(n int, p phase) bool {
	return !r.done && r.attempts[n].phase == p
}

// Granted claims the attempt and withdraws the others.
func (r *Request) Granted(now time.Time, n int, incarnation string) []Effect {
	if !r.live(n, offered) {
		return nil
	}
	r.attempts[n].phase = closed
	effects := r.withdrawAll()
	r.attempts[n].phase = claimed
	r.attempts[n].incarnation = incarnation
	r.running = n
	r.everRan = true
	r.heardAt = now
	return append(effects, Claim{Attempt: n, Offset: r.delivered, Incarnation: incarnation})
}

// Refusal is an agent's word that an attempt did not run.
type Refusal struct {
	Reason     agent.Reason
	RetryAfter time.Duration
	// Incarnation is the one that refused. After a claim only the incarnation
	// that granted the slot can know that nothing ran.
	Incarnation string
}

// Refused takes a refusal. Another agent is tried unless the reason holds
// everywhere.
func (r *Request) Refused(now time.Time, n int, refusal Refusal) []Effect {
	reason := refusal.Reason
	switch {
	case r.live(n, claimed) && refusal.Incarnation != r.attempts[n].incarnation:
		return r.Broken(now, n, false)
	case r.live(n, claimed):
		// The claim came too late, so nothing of this attempt ran.
		r.attempts[n].fail()
		r.running = none
		r.everRan = r.delivered > 0 || r.resumes > 0
	case r.live(n, offered):
		r.attempts[n].fail()
	default:
		return nil
	}
	r.noteRefusal(reason, refusal.RetryAfter)
	if reason == agent.WrongIncarnation && r.bound() {
		// The key's agent is gone, and with it the knowledge whether an earlier
		// use of the key ran.
		return r.finish(Outcome{Result: Unknown})
	}
	if reason == agent.Expired || reason == agent.UnknownKey {
		return r.exhausted()
	}
	if reason == agent.Overload && (r.open() > 0 || len(r.attempts) > r.options.Width) {
		return r.unlessOpen()
	}
	return r.widen(now, 1)
}

// noteRefusal keeps the reason and the earliest time to come back.
func (r *Request) noteRefusal(reason agent.Reason, retryAfter time.Duration) {
	r.refusal.Reason = reason
	if r.refusal.RetryAfter == 0 || (retryAfter > 0 && retryAfter < r.refusal.RetryAfter) {
		r.refusal.RetryAfter = retryAfter
	}
}

// Deliver tells that the caller has the answer up to an offset. It reports
// whether the piece belongs to the answer; a piece of another attempt does not.
func (r *Request) Deliver(now time.Time, n, end int) bool {
	if !r.live(n, claimed) {
		return false
	}
	r.heardAt = now
	r.delivered = max(r.delivered, end)
	return true
}

// Fixed tells that the answer is not made of events: once a part of it was
// delivered, the rest cannot come from another run, which may answer otherwise.
func (r *Request) Fixed() { r.fixed = true }

// Ended tells that the attempt's answer is complete.
func (r *Request) Ended(n int) []Effect {
	if !r.live(n, claimed) {
		return nil
	}
	r.attempts[n].phase = closed
	return r.finish(Outcome{Result: Completed})
}

// AlreadyRun tells that a request with the same key or attempt ran before.
func (r *Request) AlreadyRun(n int) []Effect {
	if r.done || r.attempts[n].phase == closed {
		return nil
	}
	r.attempts[n].phase = closed
	return r.finish(Outcome{Result: AlreadyRun})
}

// Broken tells that the attempt was lost: its agent or upstream cannot be
// reached, or broke off. If notRun, the upstream certainly did not take it.
func (r *Request) Broken(now time.Time, n int, notRun bool) []Effect {
	switch {
	case r.live(n, offered):
		r.attempts[n].fail()
		return r.afterLostOffer(now)
	case r.live(n, claimed):
		r.attempts[n].fail()
		r.running = none
		return r.afterLostRun(now, notRun)
	default:
		return nil
	}
}

// afterLostOffer tries another agent; nothing ran, so this costs no upstream
// any work.
func (r *Request) afterLostOffer(now time.Time) []Effect {
	if r.open() > 0 {
		return nil
	}
	if r.bound() {
		return r.finish(Outcome{Result: Unknown})
	}
	return r.widen(now, 1)
}

func (r *Request) afterLostRun(now time.Time, notRun bool) []Effect {
	if notRun {
		r.everRan = r.delivered > 0 || r.resumes > 0
	}
	if notRun && !r.everRan {
		if !r.seams.Spend() {
			return r.finish(Outcome{Result: NotRun, Reason: agent.UpstreamDown, RetryAfter: time.Second})
		}
		return r.widen(now, r.options.Width)
	}
	if !r.spec.Class.Repeatable {
		return r.finish(Outcome{Result: Unknown})
	}
	if (r.fixed && r.delivered > 0) || r.resumes >= r.options.Resumes || !r.seams.Spend() {
		return r.finish(Outcome{Result: Incomplete, RetryAfter: time.Second})
	}
	r.resumes++
	return r.widen(now, r.options.Width)
}

// RunOnce ends the resumes: each further run may end another upstream.
func (r *Request) RunOnce() { r.options.Resumes = 0 }

// HungUp tells that the caller left: what waits or runs is cancelled.
func (r *Request) HungUp() []Effect {
	if r.done {
		return nil
	}
	return r.finish(Outcome{Result: Abandoned})
}

// Tick lets time pass: a claimed attempt that fell silent is taken to be lost.
func (r *Request) Tick(now time.Time) []Effect {
	if r.done {
		return nil
	}
	if r.running == none {
		return nil
	}
	return r.checkStall(now)
}

func (r *Request) checkStall(now time.Time) []Effect {
	n := r.running
	if now.Sub(r.heardAt) < StallAfter {
		return nil
	}
	effects := []Effect{Withdraw{Attempt: n}}
	return append(effects, r.Broken(now, n, false)...)
}
