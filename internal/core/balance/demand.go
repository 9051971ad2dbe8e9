package balance

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/demand"
	"github.com/gladegauge/gladegauge/internal/core/fairness"
)

// Shares returns the use of the named pool by organisations, which decides who is above
// the common level; nil if there is no such pool.
func (t *Table) Shares(pool string) *fairness.Shares {
	if p, ok := t.pools[pool]; ok {
		return p.queue.Shares()
	}
	return nil
}

// UpdateDemand passes the demand for each pool at this gateway to the tracker, and what
// other gateways reported from the tracker to the pools. The use by organisations is
// passed only for pools that this or another gateway finds contended.
func (t *Table) UpdateDemand(now time.Time, d *demand.Tracker) {
	for name, p := range t.pools {
		shares := p.queue.Shares()
		contended := shares.Contended(now)
		var users []demand.User
		if contended || d.ContendedElsewhere(now, name) {
			users = shares.Own(now)
		}
		d.SetUse(name, contended, users)
		if p.engine != nil {
			d.SetWaiting(name, p.waiting())
		}
		shares.SetOthers(d.OtherUsers(now, name))
	}
}

// waiting is the number of prompts of this gateway that have no first event yet.
func (p *pool) waiting() int {
	n := 0
	for _, u := range p.members {
		for _, r := range u.running {
			if !r.started && r.unread > 0 {
				n++
			}
		}
	}
	return n
}
