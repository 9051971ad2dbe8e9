package dispatch

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/member"
	"github.com/gladegauge/gladegauge/internal/core/route"
)

// phase is the state of one attempt.
type phase int

type attempt struct {
	agent member.Host
	phase phase
	// incarnation is the one that granted the slot.
	incarnation string
	// failed is true if the agent refused the attempt or was lost.
	failed bool
}

func (a *attempt) fail() {
	a.phase = closed
	a.failed = true
}

// widen offers to up to n more agents; without any it ends the request.
func (r *Request) widen(now time.Time, n int) []Effect {
	n = min(n, r.options.Offers-len(r.attempts))
	var picks []member.Host
	if n > 0 && !r.bound() {
		picks = r.seams.Pick(now, route.Request{
			Pool:    r.spec.Pool,
			Tier:    r.spec.Class.Tier,
			Prefix:  r.spec.Prefix,
			Exclude: r.excluded(),
		}, n)
	}
	if len(picks) == 0 && r.open() == 0 {
		return r.exhausted()
	}
	return r.offer(picks)
}

func (r *Request) offer(picks []member.Host) []Effect {
	effects := make([]Effect, 0, len(picks))
	copies := r.open() + len(picks)
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

// excluded returns the agents that must not get another offer: those that
// have one, and those that refused or were lost. One whose offer was withdrawn
// may be asked again.
func (r *Request) excluded() []string {
	var ids []string
	for _, a := range r.attempts {
		if a.phase != closed || a.failed {
			ids = append(ids, a.agent.ID)
		}
	}
	return ids
}

// open returns the number of offers without an answer.
func (r *Request) open() int {
	n := 0
	for _, a := range r.attempts {
		if a.phase == offered {
			n++
		}
	}
	return n
}

// exhausted ends a request that no agent is left for.
func (r *Request) exhausted() []Effect {
	switch {
	case !r.everRan:
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

// unlessOpen ends the request if no offer is left without an answer. Agents
// that still hold one learn how many they are.
func (r *Request) unlessOpen() []Effect {
	copies := r.open()
	if copies == 0 {
		return r.exhausted()
	}
	var effects []Effect
	for n, a := range r.attempts {
		if a.phase == offered {
			effects = append(effects, Recount{Attempt: n, Copies: copies})
		}
	}
	return effects
}
