package agent

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/ledger"
	"github.com/gladegauge/gladegauge/internal/core/queue"
)

// Offer handles an offer: it is queued, granted a slot or refused.
func (a *Agent) Offer(now time.Time, o Offer) []Effect {
	if a.ledger.State(o.ID).Live() {
		// Duplicate message: the attempt is already known.
		return nil
	}
	if refusal := a.inadmissible(now, o); refusal != nil {
		return []Effect{refusal}
	}
	class, _ := a.cfg.Class(o.Class)
	it := &queue.Item{
		ID:           o.ID,
		Class:        class,
		Organisation: o.Organisation,
		Weight:       o.Weight,
		Arrived:      o.Arrived,
		Lead:         a.lead(class),
		Copies:       o.Copies,
	}
	effects, admitted := a.admit(now, it)
	if !admitted {
		return append(effects, a.refuse(now, o.ID, Overload, class))
	}
	a.ledger.Set(now, o.ID, ledger.Waiting)
	a.offers[o.ID] = o
	a.queue.Push(it)
	return append(effects, a.schedule(now)...)
}

// inadmissible returns the effect for an offer that must not be queued, or nil.
func (a *Agent) inadmissible(now time.Time, o Offer) Effect {
	switch a.ledger.State(o.ID) {
	case ledger.Ran:
		return Fail{ID: o.ID, AlreadyRun: true}
	case ledger.NotRun:
		return Refuse{ID: o.ID, Reason: Stale}
	case ledger.None, ledger.Waiting, ledger.Granted, ledger.Running:
	}
	if o.Incarnation != "" && o.Incarnation != a.options.Incarnation {
		return Refuse{ID: o.ID, Reason: WrongIncarnation}
	}
	if o.Key != "" {
		if effect := a.keys.check(o); effect != nil {
			return effect
		}
	}
	if a.leaving {
		return Refuse{ID: o.ID, Reason: Leaving}
	}
	if left := a.backoffLeft(now); left > 0 {
		return Refuse{ID: o.ID, Reason: UpstreamDown, RetryAfter: left}
	}
	if a.down {
		return Refuse{ID: o.ID, Reason: UpstreamDown, RetryAfter: time.Second}
	}
	if _, ok := a.cfg.Class(o.Class); !ok {
		return Refuse{ID: o.ID, Reason: UnknownClass}
	}
	return nil
}

// Recount updates the number of agents that hold a waiting offer.
func (a *Agent) Recount(id string, copies int) {
	a.queue.SetCopies(id, copies)
}

// Claim starts a granted attempt. A claim that is late, duplicated, without a grant
// or for the grant of another incarnation starts nothing.
func (a *Agent) Claim(now time.Time, id, incarnation string) []Effect {
	if incarnation != a.options.Incarnation {
		return []Effect{Refuse{ID: id, Reason: WrongIncarnation}}
	}
	r, ok := a.runs[id]
	if !ok || r.claimed {
		return a.claimWithoutGrant(id)
	}
	if a.paused(now) || now.Sub(r.granted) > GrantTTL {
		a.release(id)
		return append([]Effect{a.refuse(now, id, Stale, r.item.Class)}, a.schedule(now)...)
	}
	if o := a.offers[id]; o.Key != "" && !a.keys.use(o) {
		a.release(id)
		a.finish(now, id, ledger.NotRun)
		return append([]Effect{Fail{ID: id, AlreadyRun: true}}, a.schedule(now)...)
	}
	a.ledger.Set(now, id, ledger.Running)
	return []Effect{a.start(now, id, r)}
}

func (a *Agent) claimWithoutGrant(id string) []Effect {
	switch a.ledger.State(id) {
	case ledger.Ran:
		return []Effect{Fail{ID: id, AlreadyRun: true}}
	case ledger.Running:
		return nil
	case ledger.None, ledger.Waiting, ledger.Granted, ledger.NotRun:
	}
	return []Effect{Refuse{ID: id, Reason: Stale}}
}

func (a *Agent) start(now time.Time, id string, r *run) Effect {
	r.claimed = true
	r.started = now
	r.lastTokenAt = now
	r.produced = r.item.Produced
	r.observed = r.produced
	r.observedAt = now
	return Start{ID: id, Produced: r.item.Produced}
}

// Withdraw cancels an offer, or stops a run after its caller disconnected.
func (a *Agent) Withdraw(now time.Time, id string) []Effect {
	if it, ok := a.queue.Remove(id); ok {
		a.finish(now, id, a.endState(it.ID))
		return nil
	}
	r, ok := a.runs[id]
	if !ok {
		a.ledger.Set(now, id, ledger.NotRun)
		return nil
	}
	if !r.claimed {
		a.release(id)
		a.finish(now, id, ledger.NotRun)
		return a.schedule(now)
	}
	r.withdrawn = true
	if r.stopping {
		return nil
	}
	a.markStopping(r)
	return []Effect{Stop{ID: id}}
}

func (a *Agent) endState(id string) ledger.State {
	if a.ledger.State(id).Started() {
		return ledger.Ran
	}
	return ledger.NotRun
}

// Progress records the number of tokens of the response produced so far.
func (a *Agent) Progress(now time.Time, id string, produced int) {
	r, ok := a.runs[id]
	if !ok || !r.claimed || produced <= r.produced {
		return
	}
	a.queue.CreditFloorShares(produced - r.produced)
	a.tierTokens[r.item.Class.Tier-1] += produced - r.produced
	if r.produced == 0 && r.item.Class.FirstToken > 0 {
		a.adjustSlackFactor(r.item.Class, now.Sub(r.item.Arrived) <= r.item.Class.FirstToken)
	}
	if r.produced == 0 {
		a.timeToFirstToken += smoothing * float64(now.Sub(r.started)-time.Duration(a.timeToFirstToken))
	}
	r.produced = produced
	r.lastTokenAt = now
	if d := now.Sub(r.observedAt); d >= minSpeedInterval {
		a.observeSpeed(produced-r.observed, d)
		r.observed = produced
		r.observedAt = now
	}
}

// Ended handles the end of a run that was not stopped by the agent.
func (a *Agent) Ended(now time.Time, id string, end End, produced int) []Effect {
	r, ok := a.runs[id]
	if !ok || !r.claimed {
		return nil
	}
	a.Progress(now, id, produced)
	a.queue.Settle(r.item, r.produced-r.item.Produced)
	a.release(id)
	switch end {
	case Completed:
		a.queue.ObserveResponse(r.item.Class, max(1, r.produced))
		if r.item.Class.FirstToken == 0 {
			a.adjustSlackFactor(r.item.Class, now.Sub(r.item.Arrived) <= r.item.Class.Completion)
		}
		if r.produced <= 1 {
			a.observeSpeed(1, now.Sub(r.started))
		}
	case NeverRan:
		if o := a.offers[id]; o.Key != "" {
			a.keys.release(o)
		}
	case Interrupted:
	}
	a.finish(now, id, ledger.Ran)
	return a.schedule(now)
}

// Stopped handles the completion of a Stop. A preempted attempt returns to the queue
// and resumes where it was stopped.
func (a *Agent) Stopped(now time.Time, id string, produced int) []Effect {
	r, ok := a.runs[id]
	if !ok || !r.stopping {
		return nil
	}
	a.Progress(now, id, produced)
	a.queue.Settle(r.item, r.produced-r.item.Produced)
	a.release(id)
	if r.withdrawn || r.lost {
		a.finish(now, id, ledger.Ran)
		effects := a.schedule(now)
		if r.lost {
			effects = append([]Effect{Fail{ID: id}}, effects...)
		}
		return effects
	}
	r.item.Produced = r.produced
	r.item.Copies = 1
	r.item.Preemptions++
	a.queue.Requeue(r.item)
	return a.schedule(now)
}

func (a *Agent) finish(now time.Time, id string, s ledger.State) {
	a.ledger.Set(now, id, s)
	delete(a.offers, id)
}

// release removes a run and frees its slot.
func (a *Agent) release(id string) {
	r := a.runs[id]
	if r.stopping {
		a.stopping--
	}
	delete(a.runs, id)
	a.busySlots--
}

func (a *Agent) markStopping(r *run) {
	r.stopping = true
	a.stopping++
}
