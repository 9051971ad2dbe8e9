package ingress

import (
	"maps"
	"slices"
)

// PoolNames returns the sorted names of the pools.
func (t *Table) PoolNames() []string { return slices.Sorted(maps.Keys(t.pools)) }

// OrganisationNames returns the sorted names of the organisations that have keys.
func (t *Table) OrganisationNames() []string {
	names := make([]string, 0, len(t.organisations))
	for _, o := range t.organisations {
		names = append(names, o.Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
