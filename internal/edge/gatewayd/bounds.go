package gatewayd

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/gateway"
	"github.com/gladegauge/gladegauge/platform"
)

const (
	// assumedGateways is the number of gateways that share the retry budget until another
	// gateway reports how many there are.
	assumedGateways = 6
	// retryMargin is the fraction of the budget that is used, because the requests of the
	// same window that other gateways refuse are not known here.
	retryMargin = 0.8
	// defaultRetryWindow is the window in which retries are counted if the settings name
	// none.
	defaultRetryWindow = 10 * time.Second
	// keyMargin is subtracted from the time within which a revoked key must be refused: a
	// watch may receive nothing for a second before it is cut off, and a check needs some
	// time to take effect.
	keyMargin = 1200 * time.Millisecond
	// listMargin is subtracted from the time within which a leaving upstream must get no
	// new requests and a configuration must be in force. It covers the last poll of a
	// parent, the query to the store and its answer.
	listMargin = 250 * time.Millisecond
	// minAgeDivisor divides the time within which a change must take effect. However
	// short it is, keys are accepted and the list is used for at least that fraction of it.
	minAgeDivisor = 4
)

// admissionBounds returns the bounds of admission.
func admissionBounds(b platform.Bounds) gateway.Bounds {
	g := gateway.Bounds{MaxDenyAge: b.ConfigWithin, UrgencySteps: platform.UrgencySteps}
	for _, within := range []time.Duration{b.DrainWithin, b.ConfigWithin, b.EvacuateWithin} {
		if within <= 0 {
			continue
		}
		if age := max(within-listMargin, within/minAgeDivisor); g.MaxListAge == 0 || age < g.MaxListAge {
			g.MaxListAge = age
		}
	}
	if b.StrictRevocation {
		g.MaxKeyAge = max(b.RevokeWithin-keyMargin, b.RevokeWithin/minAgeDivisor)
	}
	return g
}

// coldLimits returns the limits of requests to cold upstreams.
func coldLimits(b platform.Bounds) balance.ColdLimits {
	return balance.ColdLimits{Overrun: b.ColdOverrun, Slack: b.ColdSlack}
}

// limitBounds returns by how much upstreams tolerate requests beyond the limits that they
// announce.
func limitBounds() balance.LimitBounds {
	return balance.LimitBounds{Window: platform.LimitWindow, Overrun: platform.LimitOverrun, Slack: platform.LimitSlack}
}

// budgetBounds returns the ratio, the reserve and the window of this gateway's share of
// the retry budget of a pool.
func budgetBounds(b platform.Bounds, gateways int) (ratio, reserve float64, window time.Duration) {
	window = b.RetryWindow
	if window <= 0 {
		window = defaultRetryWindow
	}
	return retryMargin * b.RetryShare, retryMargin * b.RetryReserve / float64(gateways), window
}
