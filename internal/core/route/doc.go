// Package route picks the agents that a request is offered to.
//
// An entry uses a subset of each pool, chosen by rendezvous hashing with its own
// availability zone first. From this subset the table samples a few agents and picks those
// with the least expected wait, based on the load reported with their last responses and on
// the offers that this entry has made since. Failing agents are ejected for a limited time,
// and never more than a fixed share of the subset at once.
//
// # Usage
//
//	t := route.New(route.Options{Entry: id, Zone: zone}, rng)
//	t.SetMembers(set)
//	picks := t.Pick(now, route.Request{Pool: "judge", Tier: 1}, 2)
package route
