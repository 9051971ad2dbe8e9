package entry

import (
	"fmt"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/gate"
	"github.com/gladegauge/gladegauge/internal/core/route"
)

// Explanation describes the expected handling of a request and the reasons for it.
type Explanation struct {
	Decision   string
	Reasons    []string
	Candidates []route.State
}

// Explain returns the expected handling of a request of a class without admitting
// one. organisation may be empty.
func (e *Entry) Explain(now time.Time, className, organisation string) Explanation {
	class, ok := e.cfg.Class(className)
	if !ok {
		return Explanation{Decision: "rejected", Reasons: []string{fmt.Sprintf("there is no class %q", className)}}
	}
	if organisation != "" && !class.Allows(organisation) {
		return Explanation{Decision: "rejected", Reasons: []string{"the class is not open to the organisation"}}
	}
	var x Explanation
	for _, p := range e.cfg.Pools() {
		if e.cfg.Serves(p.Name, className) {
			e.explainPool(now, &x, p, class, organisation)
		}
	}
	return x
}

func (e *Entry) explainPool(now time.Time, x *Explanation, p *config.Pool, class *config.Class, organisation string) {
	states := e.table.States(now, p.Name, class.Tier)
	x.Candidates = append(x.Candidates, states...)
	if until, closed := e.gates.Closed(now, gate.Key{Pool: p.Name, Class: class.Name, Organisation: organisation}); closed {
		x.Decision = "refused at the entry"
		x.Reasons = append(x.Reasons, fmt.Sprintf("pool %s: agents refused the last request for overload; come back in %s", p.Name, until))
		return
	}
	best, usable := bestState(states)
	switch {
	case usable == 0:
		x.Decision = "refused"
		x.Reasons = append(x.Reasons, fmt.Sprintf("pool %s: none of %d agents can be used", p.Name, len(states)))
	case best.Wait <= class.StartTarget():
		x.Decision = "offered"
		x.Reasons = append(x.Reasons, fmt.Sprintf("pool %s: %s expects a wait of %s, within the target of %s", p.Name, best.ID, best.Wait, class.StartTarget()))
	default:
		x.Decision = "likely refused by the agents"
		x.Reasons = append(x.Reasons, fmt.Sprintf("pool %s: the best agent, %s, expects a wait of %s, above the target of %s", p.Name, best.ID, best.Wait, class.StartTarget()))
	}
}

func bestState(states []route.State) (best route.State, usable int) {
	for _, st := range states {
		if st.Ejected || st.Leaving {
			continue
		}
		if usable == 0 || st.Wait < best.Wait {
			best = st
		}
		usable++
	}
	return best, usable
}
