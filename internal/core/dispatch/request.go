package dispatch

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/agent"
	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/member"
	"github.com/gladegauge/gladegauge/internal/core/route"
)

// Defaults for Options, and the stall timeout.
const (
	// DefaultConcurrentOffers is the number of agents that receive an offer concurrently.
	DefaultConcurrentOffers = 2
	// DefaultMaxOffers is the maximum number of offers per request.
	DefaultMaxOffers = 6
	// DefaultMaxResumes is the maximum number of times that an interrupted response is
	// resumed on another agent.
	DefaultMaxResumes = 1
	// StallTimeout is the time without any message after which a claimed attempt is
	// considered lost. Agents send heartbeats while a run produces no tokens.
	StallTimeout = 4 * time.Second
)

// Options are the settings shared by all requests of an entry. Zero values select
// the defaults.
type Options struct {
	ConcurrentOffers int
	MaxOffers        int
	MaxResumes       int
	// NoResume disables resuming interrupted responses. It is the baseline in
	// comparisons.
	NoResume bool
}

func (o Options) withDefaults() Options {
	if o.ConcurrentOffers == 0 {
		o.ConcurrentOffers = DefaultConcurrentOffers
	}
	if o.MaxOffers == 0 {
		o.MaxOffers = DefaultMaxOffers
	}
	if o.MaxResumes == 0 && !o.NoResume {
		o.MaxResumes = DefaultMaxResumes
	}
	return o
}

// Spec describes the request to dispatch.
type Spec struct {
	Class   *config.Class
	Pool    string
	Arrived time.Time
	Prefix  uint64
	// Bound is the agent that issued the request's idempotency key, or zero.
	Bound member.Host
}

// Callbacks are the functions of the entry that a request calls.
type Callbacks struct {
	// Pick selects up to n agents for new offers and counts the offers.
	Pick func(now time.Time, r route.Request, n int) []member.Host
	// Spend takes one retry from the pool's retry budget. It returns false if the
	// budget is exhausted.
	Spend func() bool
}

const (
	offered phase = iota + 1
	claimed
	closed
)

// Request is one request in progress. It is not safe for concurrent use.
type Request struct {
	spec           Spec
	options        Options
	callbacks      Callbacks
	attempts       []*attempt
	runningAttempt int
	mayHaveRun     bool
	delivered      int
	resumes        int
	notEventStream bool
	lastActivity   time.Time
	refusal        Outcome
	done           bool
}

// noAttempt is the value of runningAttempt while no attempt is claimed.
const noAttempt = -1

// New returns a request without offers.
func New(spec Spec, o Options, s Callbacks) *Request {
	return &Request{
		spec:           spec,
		options:        o.withDefaults(),
		callbacks:      s,
		runningAttempt: noAttempt,
		refusal:        Outcome{Result: NotRun},
	}
}

// bound reports whether the request may run only on the agent of its key.
func (r *Request) bound() bool { return r.spec.Bound.ID != "" }

// Done reports whether the request has finished.
func (r *Request) Done() bool { return r.done }

// Agent returns the agent of an attempt.
func (r *Request) Agent(n int) member.Host { return r.attempts[n].agent }

// Delivered returns the length of the response that the caller has received.
func (r *Request) Delivered() int { return r.delivered }

// Start makes the first offers.
func (r *Request) Start(now time.Time) []Effect {
	if r.bound() {
		return r.offer([]member.Host{r.spec.Bound})
	}
	return r.offerMore(now, r.options.ConcurrentOffers)
}

func (r *Request) finish(o Outcome) []Effect {
	effects := r.withdrawAll()
	r.done = true
	return append(effects, Finish{Outcome: o})
}

// inPhase reports whether the request is unfinished and attempt n is in phase p.
func (r *Request) inPhase(n int, p phase) bool {
	return !r.done && r.attempts[n].phase == p
}

// Granted handles the grant of a slot: it claims the attempt and withdraws the
// others.
func (r *Request) Granted(now time.Time, n int, incarnation string) []Effect {
	if !r.inPhase(n, offered) {
		return nil
	}
	r.attempts[n].phase = closed
	effects := r.withdrawAll()
	r.attempts[n].phase = claimed
	r.attempts[n].incarnation = incarnation
	r.runningAttempt = n
	r.mayHaveRun = true
	r.lastActivity = now
	return append(effects, Claim{Attempt: n, Offset: r.delivered, Incarnation: incarnation})
}

// Refusal is an agent's statement that an attempt did not run.
type Refusal struct {
	Reason     agent.Reason
	RetryAfter time.Duration
	// Incarnation is the agent incarnation that refused. After a claim, only the
	// incarnation that granted the slot can know that nothing ran.
	Incarnation string
}

// Refused handles a refusal. It tries another agent unless the reason applies to
// all agents.
func (r *Request) Refused(now time.Time, n int, refusal Refusal) []Effect {
	reason := refusal.Reason
	switch {
	case r.inPhase(n, claimed) && refusal.Incarnation != r.attempts[n].incarnation:
		return r.AttemptLost(now, n, false)
	case r.inPhase(n, claimed):
		// The claim arrived too late, so this attempt did not run.
		r.attempts[n].fail()
		r.runningAttempt = noAttempt
		r.mayHaveRun = r.delivered > 0 || r.resumes > 0
	case r.inPhase(n, offered):
		r.attempts[n].fail()
	default:
		return nil
	}
	r.attempts[n].stale = reason == agent.Stale
	r.recordRefusal(reason, refusal.RetryAfter)
	if reason == agent.WrongIncarnation && r.bound() {
		// The incarnation that issued the key is gone, so it is unknown whether
		// an earlier request with the key ran.
		return r.finish(Outcome{Result: Unknown})
	}
	if reason == agent.Expired || reason == agent.UnknownKey {
		return r.finishExhausted()
	}
	if reason == agent.Overload && (r.openOffers() > 0 || len(r.attempts) > r.options.ConcurrentOffers) {
		return r.recountOrFinish()
	}
	return r.offerMore(now, 1)
}

// recordRefusal stores the latest reason and the shortest retry delay.
func (r *Request) recordRefusal(reason agent.Reason, retryAfter time.Duration) {
	r.refusal.Reason = reason
	if r.refusal.RetryAfter == 0 || (retryAfter > 0 && retryAfter < r.refusal.RetryAfter) {
		r.refusal.RetryAfter = retryAfter
	}
}

// Deliver records that the caller has received the response up to offset end. It
// returns false for data of an attempt other than the claimed one.
func (r *Request) Deliver(now time.Time, n, end int) bool {
	if !r.inPhase(n, claimed) {
		return false
	}
	r.lastActivity = now
	r.delivered = max(r.delivered, end)
	return true
}

// MarkNotEventStream records that the response is not an event stream. Once part of
// such a response was delivered, it cannot be resumed from another run, whose
// response may differ.
func (r *Request) MarkNotEventStream() { r.notEventStream = true }

// Ended handles the end of a complete response.
func (r *Request) Ended(n int) []Effect {
	if !r.inPhase(n, claimed) {
		return nil
	}
	r.attempts[n].phase = closed
	return r.finish(Outcome{Result: Completed})
}

// AlreadyRun handles the report that the attempt, or a request with the same
// idempotency key, has run before.
func (r *Request) AlreadyRun(n int) []Effect {
	if r.done || r.attempts[n].phase == closed {
		return nil
	}
	r.attempts[n].phase = closed
	return r.finish(Outcome{Result: AlreadyRun})
}

// AttemptLost handles the loss of an attempt: its agent or upstream is unreachable or
// closed the connection early. notRun means that the upstream certainly did not
// accept the request.
func (r *Request) AttemptLost(now time.Time, n int, notRun bool) []Effect {
	switch {
	case r.inPhase(n, offered):
		r.attempts[n].fail()
		return r.afterLostOffer(now)
	case r.inPhase(n, claimed):
		r.attempts[n].fail()
		r.runningAttempt = noAttempt
		return r.afterLostRun(now, notRun)
	default:
		return nil
	}
}

// afterLostOffer tries another agent if no offer is open. It spends no retry
// budget, since nothing ran at an upstream.
func (r *Request) afterLostOffer(now time.Time) []Effect {
	if r.openOffers() > 0 {
		return nil
	}
	if r.bound() {
		return r.finish(Outcome{Result: Unknown})
	}
	return r.offerMore(now, 1)
}

func (r *Request) afterLostRun(now time.Time, notRun bool) []Effect {
	if notRun {
		r.mayHaveRun = r.delivered > 0 || r.resumes > 0
	}
	if notRun && !r.mayHaveRun {
		if !r.callbacks.Spend() {
			return r.finish(Outcome{Result: NotRun, Reason: agent.UpstreamDown, RetryAfter: time.Second})
		}
		return r.offerMore(now, r.options.ConcurrentOffers)
	}
	if !r.spec.Class.Repeatable {
		return r.finish(Outcome{Result: Unknown})
	}
	if (r.notEventStream && r.delivered > 0) || r.resumes >= r.options.MaxResumes || !r.callbacks.Spend() {
		return r.finish(Outcome{Result: Incomplete, RetryAfter: time.Second})
	}
	r.resumes++
	return r.offerMore(now, r.options.ConcurrentOffers)
}

// DisableResumes prevents further resumes, for a request whose runs may crash their
// upstreams.
func (r *Request) DisableResumes() { r.options.MaxResumes = 0 }

// CallerDisconnected handles a disconnect of the caller: it cancels all attempts.
func (r *Request) CallerDisconnected() []Effect {
	if r.done {
		return nil
	}
	return r.finish(Outcome{Result: Abandoned})
}

// Tick checks the claimed attempt for a stall.
func (r *Request) Tick(now time.Time) []Effect {
	if r.done {
		return nil
	}
	if r.runningAttempt == noAttempt {
		return nil
	}
	return r.checkStall(now)
}

func (r *Request) checkStall(now time.Time) []Effect {
	n := r.runningAttempt
	if now.Sub(r.lastActivity) < StallTimeout {
		return nil
	}
	effects := []Effect{Withdraw{Attempt: n}}
	return append(effects, r.AttemptLost(now, n, false)...)
}
