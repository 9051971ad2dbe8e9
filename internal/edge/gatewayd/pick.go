package gatewayd

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/balance"
)

// pick asks the control goroutine for an upstream.
func (x *request) pick() (balance.Choice, bool) {
	var choice balance.Choice
	var ok bool
	route := x.admission.Route
	x.server.control.Must(func(now time.Time) {
		if len(x.tried) == 0 {
			x.server.budget.Success()
		}
		choice, ok = x.server.table.Pick(now, balance.Request{
			Route:   route.Name,
			Pool:    x.admission.Pool,
			Pause:   route.PauseTarget,
			Target:  route.Target,
			Prompt:  x.call.Prompt,
			Exclude: x.tried,
			Hash:    uint64(x.began.UnixNano()),
		})
	})
	if ok {
		x.tried = append(x.tried, choice.ID)
		x.logPick(choice)
	}
	return choice, ok
}

// spend takes a retry from the budget.
func (s *Server) spend() bool {
	ok := false
	s.control.Must(func(time.Time) { ok = s.budget.Spend() })
	return ok
}
