package ingress

import "slices"

// ranks are the tiers that the configuration knows, the highest first.
type ranks struct {
	routes        []int
	organisations []int
}

func ranksOf(routes []*Route, organisations []Organisation) ranks {
	var r ranks
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

// Urgency returns the place of a request among steps classes, 0 for the most urgent. The
// route's tier goes before the organisation's: no request is preempted, or waits, for a less
// urgent kind of anybody. The organisation is nil on public routes.
func (t *Table) Urgency(o *Organisation, r *Route, steps int) int {
	tier := 0
	if o != nil {
		tier = o.Tier
	}
	kind, _ := slices.BinarySearch(t.ranks.routes, r.Tier)
	organisation, _ := slices.BinarySearch(t.ranks.organisations, tier)
	kinds, organisations := len(t.ranks.routes), len(t.ranks.organisations)
	if kinds*organisations <= steps {
		return min(kind*organisations+organisation, steps-1)
	}
	first, next := kind*steps/kinds, (kind+1)*steps/kinds
	return min(first+organisation*(next-first)/organisations, steps-1)
}

// leasts are the lowest tiers of the configuration.
type leasts struct {
	organisation int
	// routes is the lowest tier of the routes of each pool.
	routes map[string]int
}

func leastsOf(routes []*Route, organisations []Organisation) leasts {
	l := leasts{routes: make(map[string]int)}
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

// IsLeast reports whether no request for the pool can be less urgent. The organisation
// is nil on public routes.
func (t *Table) IsLeast(o *Organisation, r *Route, pool string) bool {
	organisation := 0
	if o != nil {
		organisation = o.Tier
	}
	return organisation >= t.leasts.organisation && r.Tier >= t.leasts.routes[pool]
}
