// Package route picks the agents that a request is offered to.
//
// An entry uses a subset of each pool, chosen by rendezvous hashing with its
// own availability zone first. From it the table samples a few agents and
// takes those with the least expected wait, by the load that rode on their
// last answers and by what this entry has offered since. Agents that fail are
// ejected for a time, never more than a bounded share of the subset.
//
// # Usage
//
//	t := route.New(route.Options{Entry: id, Zone: zone}, rng)
//	t.SetMembers(now, set)
//	picks := t.Pick(now, route.Request{Pool: "judge", Tier: 1}, 2)
package route
