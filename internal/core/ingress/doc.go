// Package ingress evaluates what the operator's configuration allows for a request.
//
// A Table is one immutable version of that configuration: routes by host and path, the
// pools behind them, and the organisations with their keys. The next version is a new
// Table. A Table contains neither times nor health; a View adds the latest time at which
// its version was known to be the newest.
//
// # Usage
//
//	t, faults := ingress.New(version, routes, pools, organisations, limits)
//	r, ok := t.Route("shop.example", "/activate/17")
//	o, ok := t.Organisation(key)
//	pool := r.Pool(ingress.HashID(id))
package ingress
