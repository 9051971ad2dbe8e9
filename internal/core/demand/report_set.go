package demand

import "time"

const (
	// Interval is the minimum time between two summaries to the same gateway.
	Interval = 500 * time.Millisecond
	// UsersInterval is the minimum time between two summaries with heavy users, which are
	// most of its size. Use has a half-life of two seconds and changes little within one.
	UsersInterval = time.Second
	// ttl is how long a summary is valid: a few may be lost.
	ttl = 5 * Interval
)

// Report is a summary as it is sent.
type Report struct {
	Pools Summary
	// WithUsers is true if the heavy users of contended pools are included. If they are
	// not, those of the previous report stay valid.
	WithUsers bool
	// Gateways is the number of gateways that it is the sum of.
	Gateways int
}

// received is the latest report of one sender. Users arrived at usersAt.
type received struct {
	Report
	at, usersAt time.Time
}

// fresh reports whether the report is still valid.
func (r received) fresh(now time.Time) bool { return !r.at.IsZero() && now.Sub(r.at) <= ttl }

// updated returns the state after another report of the same sender.
func (r received) updated(now time.Time, next Report) received {
	if next.WithUsers {
		return received{Report: next, at: now, usersAt: now}
	}
	next.Pools = next.Pools.WithoutUsers()
	if now.Sub(r.usersAt) <= ttl {
		for pool, d := range next.Pools {
			d.Users = r.Pools[pool].Users
			next.Pools[pool] = d
		}
	}
	return received{Report: next, at: now, usersAt: r.usersAt}
}

// reportSet holds the latest reports of several gateways, cells or zones. Unlike that of
// package occupancy it keeps no incremental sum: a report has a few pools, and the largest
// users of each cannot be kept incrementally. An answer for 32 members takes 50 µs, twice
// per second for each.
type reportSet map[string]received

// record replaces the report of one sender.
func (s reportSet) record(now time.Time, from string, r Report) { s[from] = s[from].updated(now, r) }

// addTo adds the valid reports without that of one sender to the sum, and returns the
// number of gateways that they are of. It drops the other reports.
func (s reportSet) addTo(total sum, now time.Time, except string) int {
	gateways := 0
	for from, r := range s {
		if !r.fresh(now) {
			delete(s, from)
			continue
		}
		if from != except {
			total.add(r.Pools)
			gateways += r.Gateways
		}
	}
	return gateways
}
