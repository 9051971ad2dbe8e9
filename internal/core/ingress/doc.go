// Package ingress says what an operator's configuration allows a request to do.
//
// A Table is one version of that configuration: routes by host and path, the
// pools behind them, and the organisations with their keys. It is immutable;
// the next version is a new Table. Time and health are no part of it: the
// proof that a version is still the newest travels beside it in a View.
//
// # Usage
//
//	t, faults := ingress.New(version, routes, pools, organisations, limits)
//	r, ok := t.Route("shop.example", "/activate/17")
//	o, ok := t.Organisation(key)
//	pool := r.Pool(ingress.HashID(id))
package ingress
