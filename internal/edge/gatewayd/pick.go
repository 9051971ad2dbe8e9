package gatewayd

import (
	"context"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/admission"
	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/gateway"
	"github.com/gladegauge/gladegauge/internal/core/ingress"
	"github.com/gladegauge/gladegauge/internal/core/rollout"
)

// pick chooses an upstream for the next attempt, after a wait in the queue of a contended
// plain service. It returns a refusal if the queue rejects the request. If there is no upstream,
// it tries to borrow a turn of a rate-limited upstream from another gateway.
func (x *request) pick(ctx context.Context) (balance.Choice, bool, *gateway.Refusal) {
	var choice balance.Choice
	var ok bool
	var q queued
	x.server.control.DoWithoutCancel(func(now time.Time) {
		if len(x.tried) == 0 {
			x.server.budget(x.admission.Pool).Request(now)
			x.server.demand.tracker.Arrived(now, x.admission.Pool)
		}
		if q = x.arrive(now); q.Outcome == admission.Admitted {
			choice, ok = x.server.table.Pick(now, x.pickRequest(now))
		}
	})
	if refusal := x.await(ctx, q); refusal != nil {
		return choice, false, refusal
	}
	if q.Outcome == admission.Queued {
		x.server.control.DoWithoutCancel(func(now time.Time) {
			choice, ok = x.server.table.Pick(now, x.pickRequest(now))
		})
	}
	if !ok && choice.RetryAfter == 0 {
		choice, ok = x.borrow(ctx)
	}
	choice, ok = x.recordChoice(choice, ok)
	return choice, ok, nil
}

// pickBackup chooses the engine that holds a backup of the run's KV cache.
func (x *request) pickBackup(context.Context) (balance.Choice, bool, *gateway.Refusal) {
	var choice balance.Choice
	var ok bool
	x.continuing = true
	x.server.control.DoWithoutCancel(func(now time.Time) {
		choice, ok = x.server.table.Continue(now, x.balanceRequest(), x.backup)
	})
	choice, ok = x.recordChoice(choice, ok)
	return choice, ok, nil
}

// recordChoice records and logs a choice, unless ok is false.
func (x *request) recordChoice(choice balance.Choice, ok bool) (balance.Choice, bool) {
	if ok {
		x.tried = append(x.tried, choice.ID)
		x.logPick(choice)
	}
	return choice, ok
}

// pickRequest returns the request for Pick. A stream that its caller may resume does not begin
// at a version that other gateways may not know yet. It runs in the control loop.
func (x *request) pickRequest(now time.Time) balance.Request {
	r := x.balanceRequest()
	if x.admission.Route.MayResume() && x.version == rollout.Unstated {
		r.Avoid = x.server.streams.Unsettled(now, x.admission.Pool)
	}
	return r
}

// balanceRequest returns the properties of the request that the choice of an upstream
// depends on.
func (x *request) balanceRequest() balance.Request {
	route := x.admission.Route
	return balance.Request{
		Route:        route.Name,
		Pool:         x.admission.Pool,
		TargetGap:    route.EventGapTarget,
		Target:       route.Target,
		Tier:         route.Tier,
		Prompt:       x.call.Prompt,
		Organisation: ingress.HashID(x.organisation()),
		Deadline:     x.admission.Deadline,
		Protect:      route.Kind == ingress.Stream && !route.Resumable && !x.progress.Suspect,
		Version:      x.version,
		Exclude:      x.tried,
		Least:        x.view.Table.IsLeastUrgent(x.admission.Organisation, route, x.admission.Pool),
		Isolate:      x.progress.Suspect,
		Hash:         uint64(x.startedAt.UnixNano()),
	}
}

// organisation returns the name of the organisation that sent the request; empty on public
// routes.
func (x *request) organisation() string {
	if o := x.admission.Organisation; o != nil {
		return o.Name
	}
	return ""
}

// spendRetry takes a retry from the pool's retry budget and reports whether one was left.
func (x *request) spendRetry() bool {
	ok := false
	gateways := 0
	x.server.control.DoWithoutCancel(func(now time.Time) {
		ok = x.server.budget(x.admission.Pool).Spend(now)
		gateways = x.server.gateways
	})
	if !ok {
		x.server.metrics.retriesDenied.Inc()
		x.log().Str("pool", x.admission.Pool).Int("gateways", gateways).Msg("retry budget is used up")
	}
	return ok
}
