package gatewayd

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/gateway"
	"github.com/gladegauge/gladegauge/platform"
)

const (
	// assumedGateways is the number of gateways that the retry budget is split
	// over until another one tells how many there are.
	assumedGateways = 6
	// retryMargin is the part of the budget that is used: requests of the same
	// window that other gateways refuse are not known here.
	retryMargin = 0.8
	// defaultRetryWindow is the span in which retries are counted if the settings name
	// none.
	defaultRetryWindow = 10 * time.Second
	// keyMargin is taken off the time within which a revoked key must be
	// refused: a watch may hear nothing for a second before it is cut off, and
	// a check needs a moment to take effect.
	keyMargin = 1200 * time.Millisecond
	// listMargin is taken off the time within which a leaving upstream must get
	// nothing new, and a configuration be in force: for the last poll of a parent, and
	// to ask the store and to take its answer.
	listMargin = 250 * time.Millisecond
	// leastKeyPart divides the time within which a revoked key must be refused:
	// keys are honoured for at least that part of it, however short it is.
	leastKeyPart = 4
)

// boundsOf returns the bounds of admission.
func boundsOf(b platform.Bounds) gateway.Bounds {
	g := gateway.Bounds{DenyAge: b.ConfigWithin, UrgencySteps: platform.UrgencySteps}
	for _, within := range []time.Duration{b.DrainWithin, b.ConfigWithin, b.EvacuateWithin} {
		if within <= 0 {
			continue
		}
		if age := max(within-listMargin, within/leastKeyPart); g.ListAge == 0 || age < g.ListAge {
			g.ListAge = age
		}
	}
	if b.StrictRevocation {
		g.KeyAge = max(b.RevokeWithin-keyMargin, b.RevokeWithin/leastKeyPart)
	}
	return g
}

// coldLimits returns the limits of what cold upstreams get.
func coldLimits(b platform.Bounds) balance.ColdLimits {
	return balance.ColdLimits{Overrun: b.ColdOverrun, Slack: b.ColdSlack}
}

// limitBounds returns what upstreams bear beyond the limits that they name.
func limitBounds() balance.LimitBounds {
	return balance.LimitBounds{Window: platform.LimitWindow, Overrun: platform.LimitOverrun, Slack: platform.LimitSlack}
}

// budgetBounds returns the share, the reserve and the span of this gateway's part of
// the retry budget of a pool.
func budgetBounds(b platform.Bounds, gateways int) (share, reserve float64, span time.Duration) {
	span = b.RetryWindow
	if span <= 0 {
		span = defaultRetryWindow
	}
	return retryMargin * b.RetryShare, retryMargin * b.RetryReserve / float64(gateways), span
}
