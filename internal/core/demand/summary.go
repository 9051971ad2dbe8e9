package demand

// MaxUsers is the number of heavy users of a pool in a summary. In a fleet with a few
// large organisations, those above their level are among them.
const MaxUsers = 8

// PoolDemand is the demand for one pool at one or several gateways.
type PoolDemand struct {
	// Arrivals is the number of calls per second.
	Arrivals float64
	// Waiting is the number of calls that wait.
	Waiting int
	// Contended is true if one of the gateways found itself that the pool receives more
	// than it can serve. It is never derived from reports, so that two gateways cannot
	// keep each other's state alive.
	Contended bool
	// Users are the heaviest users, at most MaxUsers. Empty if the pool is not contended,
	// or if the summary is one without users.
	Users []User
}

// empty reports whether there is no demand that is worth reporting.
func (p PoolDemand) empty() bool {
	return p.Arrivals < minArrivals && p.Waiting == 0 && !p.Contended && len(p.Users) == 0
}

// Summary maps the name of a pool to the demand for it. Pools without demand are omitted.
type Summary map[string]PoolDemand

// WithoutUsers returns a copy of the summary without the heavy users.
func (s Summary) WithoutUsers() Summary {
	out := make(Summary, len(s))
	for pool, d := range s {
		d.Users = nil
		out[pool] = d
	}
	return out
}
