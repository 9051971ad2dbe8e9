package ingress

import (
	"cmp"
	"slices"
)

// rank orders requests: the organisation's tier goes before the route's.
type rank struct {
	organisation int
	route        int
}

func compareRanks(a, b rank) int {
	if c := cmp.Compare(a.organisation, b.organisation); c != 0 {
		return c
	}
	return cmp.Compare(a.route, b.route)
}

// ranksOf returns the ranks that the configuration can give, the highest first.
func ranksOf(routes []*Route, organisations []Organisation) []rank {
	tiers := []int{0}
	for _, o := range organisations {
		tiers = append(tiers, o.Tier)
	}
	var ranks []rank
	for _, tier := range tiers {
		for _, r := range routes {
			ranks = append(ranks, rank{organisation: tier, route: r.Tier})
		}
	}
	slices.SortFunc(ranks, compareRanks)
	return slices.Compact(ranks)
}

// Urgency returns the place of a request among steps classes, 0 for the most
// urgent. The organisation is nil on public routes.
func (t *Table) Urgency(o *Organisation, r *Route, steps int) int {
	want := rank{route: r.Tier}
	if o != nil {
		want.organisation = o.Tier
	}
	i, _ := slices.BinarySearchFunc(t.ranks, want, compareRanks)
	if len(t.ranks) <= steps {
		return min(i, steps-1)
	}
	return i * steps / (len(t.ranks) + 1)
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
