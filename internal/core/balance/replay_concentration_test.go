package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/demand"
)

// Times of a concentration of most requests at one gateway.
const (
	concentrationAt = 6 * time.Second
	// concentrationContact is the time after which it must not cost requests any more.
	concentrationContact = 3 * time.Second
	concentrationEnd     = 15 * time.Second
	// concentrationPart is the part of the requests that arrive at that gateway.
	concentrationPart = 0.95
	// minServedAtOneGateway is the least share of the requests served at the first try, relative
	// to the seconds before.
	minServedAtOneGateway = 0.95
)

// replayConcentration makes most requests arrive at the first gateway, and counts those that
// are served at the first try in the seconds before and during that time.
type replayConcentration struct {
	sentBefore, servedBefore, sentDuring, servedDuring int
}

// gateway returns the index of the gateway of the next request.
func (c *replayConcentration) gateway(now time.Time, rng *rand.Rand, gateways int) int {
	n := rng.IntN(gateways)
	if c != nil && now.Sub(t0) >= concentrationAt && rng.Float64() < concentrationPart {
		return 0
	}
	return n
}

func (c *replayConcentration) sent(at time.Time) {
	if c != nil {
		c.count(at, &c.sentBefore, &c.sentDuring)
	}
}

func (c *replayConcentration) served(sentAt time.Time) {
	if c != nil {
		c.count(sentAt, &c.servedBefore, &c.servedDuring)
	}
}

func (c *replayConcentration) count(sentAt time.Time, before, during *int) {
	switch since := sentAt.Sub(t0); {
	case since < concentrationAt && since >= concentrationAt-concentrationContact:
		*before++
	case since >= concentrationAt+concentrationContact && since < concentrationEnd:
		*during++
	}
}

// ratio is the share of the requests served at the first try, relative to the seconds before.
func (c *replayConcentration) ratio() float64 {
	before := float64(c.servedBefore) / float64(max(1, c.sentBefore))
	during := float64(c.servedDuring) / float64(max(1, c.sentDuring))
	return during / before
}

// Most new connections go to one gateway, as a balancer may hand them out for some seconds. Its
// requests are served like before: neither the calls of a plain service nor the prompts for
// engines are rejected for a small share of the fleet that the gateway takes for its own.
func TestReplaysOfOneGatewayWithMostRequests(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name     string
		gateways int
		// load is the load relative to what the upstreams take.
		load float64
	}{
		{"3 gateways, half of the load that fits", 3, 0.5},
		{"3 gateways, as much as fits", 3, 0.9},
		{"6 gateways, as much as fits", 6, 0.9},
		{"30 gateways, half of the load that fits", 30, 0.5},
		{"30 gateways, as much as fits", 30, 0.9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			calls := concentratedCalls(tt.gateways, tt.load)
			prompts := concentratedPrompts(tt.gateways, tt.load)
			t.Logf("plain service: %.3f (%+v); engines: %.3f (%+v)", calls.ratio(), *calls, prompts.ratio(), *prompts)
			is.True(calls.ratio() >= minServedAtOneGateway)
			is.True(prompts.ratio() >= minServedAtOneGateway)
		})
	}
}

// concentratedCalls plays calls of a plain service whose gateways exchange their demand.
func concentratedCalls(gateways int, load float64) *replayConcentration {
	p := newPlainReplay(1, gateways, true, 1500*time.Millisecond, 150*time.Millisecond, 150*time.Millisecond)
	p.concentration = &replayConcentration{}
	p.end = t0.Add(concentrationEnd)
	relay := demand.New()
	relay.SetFleet(gateways+1, true)
	shares := make(map[*plainGateway]float64)
	trackers := make([]*demand.Tracker, gateways)
	for i, g := range p.fleet {
		trackers[i] = demand.New()
		trackers[i].SetFleet(gateways, false)
		shares[g] = 1 / float64(gateways)
		p.tellCallDemand(relay, trackers[i], i, func(share float64) { shares[g] = share })
	}
	p.share = func(g *plainGateway) float64 { return max(0.25/float64(gateways), shares[g]) }
	perSecond := load * plainReplicas * plainSlots / (plainWorkMs / 1000)
	p.arrive(func(time.Duration) float64 { return perSecond }, func() int {
		n := p.concentration.gateway(p.now, p.rng, gateways)
		trackers[n].Arrived(p.now, "p")
		return n
	})
	p.play()
	return p.concentration
}

// tellCallDemand sends the demand at a gateway to the relay and applies the answer.
func (p *plainReplay) tellCallDemand(relay, g *demand.Tracker, i int, set func(share float64)) {
	p.after(milliseconds(demand.Interval), func() { p.tellCallDemand(relay, g, i, set) })
	report := g.Own(p.now)
	p.after(milliseconds(p.reportDelay), func() {
		address := string(rune('A' + i))
		answer := relay.For(p.now, address)
		answer.Gateways--
		relay.RecordMember(p.now, address, report)
		g.RecordOthers(p.now, answer)
		set(g.Share(p.now, "p"))
	})
}

// concentratedPrompts plays prompts for engines.
func concentratedPrompts(gateways int, load float64) *replayConcentration {
	classes := burstyClasses(load)
	for i := range classes {
		classes[i].burst, classes[i].moreBursts = 1, nil
	}
	r := newAdmittingReplay(gateways, 24, classes)
	r.concentration = &replayConcentration{}
	r.run(concentrationEnd.Seconds())
	return r.concentration
}
