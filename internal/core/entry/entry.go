// Package entry implements admission and agent selection for one entry host.
//
// It combines the rate limits of the organisations, the overload gates, the routing
// table of agents and the retry budgets. It performs no I/O and must be used by one
// goroutine.
//
// # Usage
//
//	e := entry.New(entry.Options{Route: route.Options{Entry: id, Zone: zone}}, cfg, rng)
//	e.SetMembers(set)
//	r, rejection := e.Admit(now, call)
//	if rejection != nil {
//		return rejection
//	}
//	effects := r.Start(now)
package entry

import (
	"math/rand/v2"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/agent"
	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/dispatch"
	"github.com/gladegauge/gladegauge/internal/core/gate"
	"github.com/gladegauge/gladegauge/internal/core/limit"
	"github.com/gladegauge/gladegauge/internal/core/member"
	"github.com/gladegauge/gladegauge/internal/core/retry"
	"github.com/gladegauge/gladegauge/internal/core/route"
)

// Options are the settings of an entry.
type Options struct {
	Route    route.Options
	Dispatch dispatch.Options
	// NoGates ignores closed gates, so every request is offered to agents. It is
	// the baseline in comparisons.
	NoGates bool
}

// Entry is the control state of one entry host. It is not safe for concurrent
// use.
type Entry struct {
	options Options
	cfg     *config.Config
	set     *member.Set
	table   *route.Table
	limiter *limit.Limiter
	gates   *gate.Gates
	budgets map[string]*retry.Budget
}

// New returns an entry that knows no hosts.
func New(o Options, cfg *config.Config, rng *rand.Rand) *Entry {
	return &Entry{
		options: o,
		cfg:     cfg,
		set:     member.NewSet(),
		table:   route.New(o.Route, rng),
		limiter: limit.New(),
		gates:   gate.New(),
		budgets: make(map[string]*retry.Budget),
	}
}

// Config returns the current configuration.
func (e *Entry) Config() *config.Config { return e.cfg }

// SetConfig applies a new configuration.
func (e *Entry) SetConfig(cfg *config.Config) { e.cfg = cfg }

// SetMembers applies a new list of hosts.
func (e *Entry) SetMembers(set *member.Set) {
	e.set = set
	e.table.SetMembers(set)
}

// Members returns the current list of hosts.
func (e *Entry) Members() *member.Set { return e.set }

// Table returns the entry's routing table of agents.
func (e *Entry) Table() *route.Table { return e.table }

// Call is a request received from a caller.
type Call struct {
	Organisation *config.Organisation
	Class        *config.Class
	Pool         *config.Pool
	// Prefix is the hash of the beginning of the prompt. SharedPrefix is true if the prompt goes
	// on after it, so that other requests may begin alike.
	Prefix       uint64
	SharedPrefix bool
	// Bound is the agent that issued the call's idempotency key, or zero.
	Bound member.Host
}

// Rejection is the reason why a request was not admitted. The request did not run.
type Rejection struct {
	// Limited is true if the organisation's rate limit was exceeded, and false for
	// overload.
	Limited    bool
	RetryAfter time.Duration
}

// AdmittedRequest is a request that passed the rate limit and the overload gate.
type AdmittedRequest struct {
	*dispatch.Request
	key gate.Key
}

// Admit admits a request or rejects it at once.
func (e *Entry) Admit(now time.Time, c Call) (*AdmittedRequest, *Rejection) {
	if wait, ok := e.limiter.Take(now, c.Organisation, e.set.Entries()); !ok {
		return nil, &Rejection{Limited: true, RetryAfter: wait}
	}
	key := gate.Key{Pool: c.Pool.Name, Class: c.Class.Name, Organisation: c.Organisation.Name}
	if wait, ok := e.gates.Pass(now, key); !ok && !e.options.NoGates {
		return nil, &Rejection{RetryAfter: wait}
	}
	spec := dispatch.Spec{
		Class:   c.Class,
		Pool:    c.Pool.Name,
		Arrived: now,
		Prefix:  c.Prefix,
		Bound:   c.Bound,
	}
	callbacks := dispatch.Callbacks{Pick: e.table.Pick, Spend: e.budget(c.Pool.Name).Spend}
	return &AdmittedRequest{Request: dispatch.New(spec, e.options.Dispatch, callbacks), key: key}, nil
}

func (e *Entry) budget(pool string) *retry.Budget {
	b, ok := e.budgets[pool]
	if !ok {
		b = retry.NewBudget(retry.DefaultRatio, retry.DefaultReserve)
		e.budgets[pool] = b
	}
	return b
}

// RecordReport records the load that an agent reported.
func (e *Entry) RecordReport(now time.Time, id string, l agent.Load) {
	e.table.Answered(now, id, l)
}

// OfferAnswered records the first response of an agent to an offer.
func (e *Entry) OfferAnswered(id string) { e.table.OfferAnswered(id) }

// AgentFailed records that an agent was unreachable or that its upstream closed the
// connection early.
func (e *Entry) AgentFailed(now time.Time, id string) { e.table.Failed(now, id) }

// Finished records the outcome of a request. id is the agent that ran it, if any.
func (e *Entry) Finished(now time.Time, t *AdmittedRequest, id string, o dispatch.Outcome) {
	switch {
	case o.Result == dispatch.Completed:
		e.table.Succeeded(id)
		e.budget(t.key.Pool).Success()
		e.gates.Admitted(t.key)
	case o.Result == dispatch.NotRun && o.Reason == agent.Overload:
		e.gates.Refused(now, t.key, o.RetryAfter)
	}
}
