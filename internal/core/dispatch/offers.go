package dispatch

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/member"
	"github.com/gladegauge/gladegauge/internal/core/route"
)

// phase is the state of an attempt.
type phase int

type attempt struct {
	agent member.Host
	phase phase
	// incarnation is the agent incarnation that granted the slot.
	incarnation string
	// failed is true if the agent refused the attempt or the connection was lost.
	failed bool
	// stale is true if the agent refused the attempt because its grant had expired, or the
	// agent had been paused.
	stale bool
}

func (a *attempt) fail() {
	a.phase = closed
	a.failed = true
}

// offerMore offers the request to up to n more agents. It finishes the request if
// there is no further agent and no open offer.
func (r *Request) offerMore(now time.Time, n int) []Effect {
	n = min(n, r.options.MaxOffers-len(r.attempts))
	var picks []member.Host
	if n > 0 && !r.bound() {
		picks = r.pick(now, n)
	}
	if len(picks) == 0 && r.openOffers() == 0 {
		return r.finishExhausted()
	}
	return r.offer(picks)
}

// pick chooses up to n agents for further offers: others than before, or, if there are none
// and no offer is open, those that refused a claim as stale.
func (r *Request) pick(now time.Time, n int) []member.Host {
	picks := r.pickExcept(now, r.excluded(), n)
	if len(picks) == 0 && r.openOffers() == 0 {
		return r.pickExcept(now, r.excludedExceptStale(), n)
	}
	return picks
}

func (r *Request) pickExcept(now time.Time, exclude []string, n int) []member.Host {
	return r.callbacks.Pick(now, route.Request{
		Pool:    r.spec.Pool,
		Tier:    r.spec.Class.Tier,
		Prefix:  r.spec.Prefix,
		Exclude: exclude,
	}, n)
}

func (r *Request) offer(picks []member.Host) []Effect {
	effects := make([]Effect, 0, len(picks))
	copies := r.openOffers() + len(picks)
	for _, host := range picks {
		r.attempts = append(r.attempts, &attempt{agent: host, phase: offered})
		effects = append(effects, Offer{
			Attempt: len(r.attempts) - 1,
			Agent:   host,
			Copies:  copies,
		})
	}
	return effects
}

// excluded returns the agents that must not receive another offer: those with an
// open or claimed attempt, and those that refused or failed. An agent whose offer
// was withdrawn may receive another one.
func (r *Request) excluded() []string {
	var ids []string
	for _, a := range r.attempts {
		if a.phase != closed || a.failed {
			ids = append(ids, a.agent.ID)
		}
	}
	return ids
}

// excludedExceptStale returns the agents that must not receive another offer if no other
// agent is left. An agent that refused a claim as stale is healthy: under load, claims reach
// it after the grant has expired, and the only agent of a pool was lost to the request.
func (r *Request) excludedExceptStale() []string {
	var ids []string
	for _, a := range r.attempts {
		if a.phase != closed || (a.failed && !a.stale) {
			ids = append(ids, a.agent.ID)
		}
	}
	return ids
}

// openOffers returns the number of unanswered offers.
func (r *Request) openOffers() int {
	n := 0
	for _, a := range r.attempts {
		if a.phase == offered {
			n++
		}
	}
	return n
}

// finishExhausted finishes a request for which no further agent is available.
func (r *Request) finishExhausted() []Effect {
	switch {
	case !r.mayHaveRun:
		return r.finish(r.refusal)
	case r.spec.Class.Repeatable:
		return r.finish(Outcome{Result: Incomplete, RetryAfter: r.refusal.RetryAfter})
	default:
		return r.finish(Outcome{Result: Unknown})
	}
}

func (r *Request) withdrawAll() []Effect {
	var effects []Effect
	for n, a := range r.attempts {
		if a.phase != closed {
			a.phase = closed
			effects = append(effects, Withdraw{Attempt: n})
		}
	}
	return effects
}

// recountOrFinish finishes the request if no offer is open. Otherwise it tells the
// agents with open offers how many of them remain.
func (r *Request) recountOrFinish() []Effect {
	copies := r.openOffers()
	if copies == 0 {
		return r.finishExhausted()
	}
	var effects []Effect
	for n, a := range r.attempts {
		if a.phase == offered {
			effects = append(effects, Recount{Attempt: n, Copies: copies})
		}
	}
	return effects
}
