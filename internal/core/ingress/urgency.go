package ingress

import "slices"

// tiers are the distinct tiers of the configuration, the highest first.
type tiers struct {
	routes        []int
	organisations []int
}

func tiersOf(routes []*Route, organisations []Organisation) tiers {
	var r tiers
	for _, route := range routes {
		r.routes = append(r.routes, route.Tier)
	}
	r.organisations = []int{0} // of public routes
	for _, o := range organisations {
		r.organisations = append(r.organisations, o.Tier)
	}
	r.routes, r.organisations = distinct(r.routes), distinct(r.organisations)
	return r
}

func distinct(tiers []int) []int {
	slices.Sort(tiers)
	return slices.Compact(tiers)
}

// Urgency returns the urgency class of a request among steps classes, 0 for the most
// urgent. The route's tier takes precedence over the organisation's: no request is
// preempted by, or waits for, a less urgent kind of any organisation. The organisation is
// nil on public routes.
func (t *Table) Urgency(o *Organisation, r *Route, steps int) int {
	tier := 0
	if o != nil {
		tier = o.Tier
	}
	kind, _ := slices.BinarySearch(t.tiers.routes, r.Tier)
	organisation, _ := slices.BinarySearch(t.tiers.organisations, tier)
	kinds, organisations := len(t.tiers.routes), len(t.tiers.organisations)
	if kinds*organisations <= steps {
		return min(kind*organisations+organisation, steps-1)
	}
	first, next := kind*steps/kinds, (kind+1)*steps/kinds
	return min(first+organisation*(next-first)/organisations, steps-1)
}

// lowestTiers are the lowest tiers of the configuration.
type lowestTiers struct {
	organisation int
	// routes is the lowest tier of the routes of each pool.
	routes map[string]int
}

func lowestTiersOf(routes []*Route, organisations []Organisation) lowestTiers {
	l := lowestTiers{routes: make(map[string]int)}
	for _, o := range organisations {
		l.organisation = max(l.organisation, o.Tier)
	}
	for _, r := range routes {
		for _, s := range r.Shares {
			l.routes[s.Pool] = max(l.routes[s.Pool], r.Tier)
		}
	}
	return l
}

// IsLeastUrgent reports whether no request for the pool can be less urgent. The
// organisation is nil on public routes.
func (t *Table) IsLeastUrgent(o *Organisation, r *Route, pool string) bool {
	organisation := 0
	if o != nil {
		organisation = o.Tier
	}
	return organisation >= t.lowestTiers.organisation && r.Tier >= t.lowestTiers.routes[pool]
}
