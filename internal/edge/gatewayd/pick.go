package gatewayd

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/ingress"
)

// pick asks the control goroutine for an upstream.
func (x *request) pick() (balance.Choice, bool) {
	var choice balance.Choice
	var ok bool
	x.server.control.DoWithoutCancel(func(now time.Time) {
		if len(x.tried) == 0 {
			x.server.budget(x.admission.Pool).Request(now)
		}
		choice, ok = x.server.table.Pick(now, x.wants())
	})
	if !ok && choice.RetryAfter == 0 {
		choice, ok = x.borrow()
	}
	return x.picked(choice, ok)
}

// fromBackup asks for the engine that keeps a copy of the run's memory.
func (x *request) fromBackup() (balance.Choice, bool) {
	var choice balance.Choice
	var ok bool
	x.continuing = true
	x.server.control.DoWithoutCancel(func(now time.Time) {
		choice, ok = x.server.table.Continue(now, x.wants(), x.backup)
	})
	return x.picked(choice, ok)
}

// picked notes a choice.
func (x *request) picked(choice balance.Choice, ok bool) (balance.Choice, bool) {
	if ok {
		x.tried = append(x.tried, choice.ID)
		x.logPick(choice)
	}
	return choice, ok
}

// wants is the request as the choice of an upstream sees it.
func (x *request) wants() balance.Request {
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
		Exclude:      x.tried,
		Least:        x.view.Table.IsLeastUrgent(x.admission.Organisation, route, x.admission.Pool),
		Isolate:      x.progress.Suspect,
		Hash:         uint64(x.began.UnixNano()),
	}
}

// organisation is the name of who sends the request; empty on public routes.
func (x *request) organisation() string {
	if o := x.admission.Organisation; o != nil {
		return o.Name
	}
	return ""
}

// spend takes a retry from the budget of the request's pool.
func (x *request) spend() bool {
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
