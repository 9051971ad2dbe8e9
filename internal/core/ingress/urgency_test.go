package ingress

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against preempting the most urgent kind of request while less urgent ones run on.
// When the organisation's tier took precedence over the route's, 14 requests of the most
// urgent kind were preempted at an engine that ran out of memory: 110 of its 156 "picked"
// lines in the 5 s before were of that kind, by organisations of the second tier with
// "urgency":3, and 19 of any kind, by those of the first tier with 0 and 1. With the
// route's tier first, none were preempted that way.
func TestRouteTierBeforeOrganisationTier(t *testing.T) {
	const steps = 10
	for _, tiers := range []struct{ routes, organisations int }{{3, 1}, {3, 2}, {3, 3}, {3, 5}, {4, 4}, {10, 2}, {2, 40}} {
		t.Run(fmt.Sprintf("%d tiers of routes, %d of organisations", tiers.routes, tiers.organisations), func(t *testing.T) {
			is := is.New(t)
			var routes []*Route
			for i := range tiers.routes {
				routes = append(routes, &Route{
					Name: fmt.Sprint(i), Prefix: fmt.Sprintf("/%d/", i), Kind: Stream, Tier: i, Timeout: time.Second,
					MaxAttempts: 1, Shares: []Share{{Pool: "p", Weight: 1}},
				})
			}
			var organisations []Organisation
			for i := range tiers.organisations {
				organisations = append(organisations, Organisation{Name: fmt.Sprint("o", i), Tier: i})
			}
			table, faults := New(1, routes, []Pool{{Name: "p"}}, organisations, Limits{})
			is.Equal(len(faults), 0)
			least := -1
			for _, r := range routes {
				most := least
				for i := range organisations {
					u := table.Urgency(&organisations[i], r, steps)
					is.True(u > least && u < steps) // all of this kind rank after the previous one
					is.True(u >= most)              // and within it, in the order of the organisations
					most = u
				}
				least = most
			}
		})
	}
}
