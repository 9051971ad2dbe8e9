package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/demand"
	"github.com/gladegauge/gladegauge/internal/core/ingress"
	"github.com/gladegauge/gladegauge/internal/core/occupancy"
)

// replayResult is the outcome of a request.
type replayResult int

const (
	inTime replayResult = iota
	lateResult
	gapMissedResult
	failedResult
	refusedResult
	abandonedResult
)

// replayRequest is a caller's request.
type replayRequest struct {
	class     *replayClass
	gateway   *replayGateway
	prompt    Prompt
	output    int
	arrivedAt time.Time
	began     time.Time
	tried     []string
	// retried is true once the request was rejected and the caller retried.
	retried bool
	// organisation is the index of its organisation plus one; 0 in a replay without them.
	organisation uint64
}

// replayGateway is one gateway: the real table, and the loads that it last reported.
type replayGateway struct {
	table *Table
	loads occupancy.Loads
	// receivedParts is the number of entries of cachedParts that it has received.
	receivedParts int
	// demand is nil in a replay without organisations.
	demand *demand.Tracker
}

// replay is a discrete-event simulation of a load in virtual time: gateways with real
// tables, simulated engines, and load reports of a given age.
type replay struct {
	now        time.Time
	rng        *rand.Rand
	eventQueue eventQueue
	engines    map[string]*replayEngine
	order      []*replayEngine
	gateways   []*replayGateway
	classes    []replayClass
	// reportInterval is the time between two load reports of a gateway.
	reportInterval time.Duration
	// reportDelay is the age of a report on arrival.
	reportDelay   time.Duration
	total         occupancy.Loads
	cachedParts   []occupancy.Part
	cachedPartsBy []int
	results       map[string]map[replayResult]int
	readAgain     int
	// refusals is the number of refused connections to crashed engines.
	refusals int
	// admitsByMemory makes engines admit prompts while their memory lasts and prefill the
	// admitted ones in order of admission, whatever their tier; callers give up at their
	// deadline.
	admitsByMemory bool
	// eventTokens is the number of tokens per stream event.
	eventTokens int
	// outvoted and hanging are how often votes demoted an engine at a gateway, and
	// considered a prompt to hang.
	outvoted, hanging int
	// abandonedTokens is the number of tokens prefilled for answers that were abandoned.
	abandonedTokens int
	// lending is true if gateways lend each other turns, lent is the number of turns
	// lent.
	lending bool
	lent    int
	// paces redraws the engines' speeds and makes them report their load and pace.
	paces *replayPaces
	// organisations is nil in a replay without them.
	organisations *replayOrganisations
	// connections are the connections between gateways and engines; nil if they are not
	// simulated.
	connections *replayConnections
	// concentration makes most requests arrive at one gateway; nil for none.
	concentration *replayConcentration
	// firstEvents is the number of responses that began, and waited the sum of the times
	// from their arrival until then.
	firstEvents int
	waited      time.Duration
	end         time.Time
	listed      []Instance
}

// hintSpread is the error of callers' estimates of their answers' lengths, as the
// standard deviation of the logarithm.
const hintSpread = 0.5

// newReplay returns a replay of so many gateways and engines.
func newReplay(gateways, engines int, reportInterval, reportDelay time.Duration, classes []replayClass) *replay {
	r := &replay{
		now: t0, rng: rand.New(rand.NewPCG(1, 2)),
		engines: make(map[string]*replayEngine), classes: classes, reportInterval: reportInterval, reportDelay: reportDelay,
		eventTokens: eventTokens,
		total:       make(occupancy.Loads), results: make(map[string]map[replayResult]int),
	}
	cfg := replayConfig(classes)
	for i := range engines {
		id := fmt.Sprintf("i-%d", i)
		e := &replayEngine{r: r, id: id, speed: []float64{1, 1, 1.3}[i%3], cachedAt: make(map[uint64]time.Time), cachedSizes: make(map[uint64]int)}
		r.engines[id] = e
		r.order = append(r.order, e)
		r.listed = append(r.listed, Instance{ID: id, Address: id, Zone: fmt.Sprint(i % 5), Pool: "p", Slots: replaySlots, Created: int64(i + 1)})
	}
	for i := range gateways {
		g := &replayGateway{table: New(fmt.Sprint(i % 5)), loads: make(occupancy.Loads)}
		g.table.SetInstances(r.now, r.listed)
		g.table.SetPools(cfg)
		r.gateways = append(r.gateways, g)
		r.after(milliseconds(reportInterval)*float64(i)/float64(gateways), func() { r.exchangeReports(i) })
	}
	return r
}

func replayConfig(classes []replayClass) *ingress.Table {
	var routes []*ingress.Route
	for i := range classes {
		c := &classes[i]
		routes = append(routes, &ingress.Route{Name: c.name, Prefix: "/" + c.name + "/", Kind: ingress.Stream, Tier: c.tier, Target: c.target, EventGapTarget: c.gapLimit(), Timeout: c.timeout, MaxAttempts: 1, Shares: []ingress.Share{{Pool: "p", Weight: 1}}})
	}
	engine := &ingress.Engine{Slots: replaySlots, MemoryTokens: replayMemory, EventTokens: eventTokens, Moves: true, LinkMbps: 550_000, TokenBytes: 18_432}
	cfg, faults := ingress.New(1, routes, []ingress.Pool{{Name: "p", Engine: engine}}, nil, ingress.Limits{})
	if len(faults) > 0 {
		panic(faults)
	}
	return cfg
}

// run simulates the load for so many seconds and lets running requests end.
func (r *replay) run(seconds float64) {
	r.end = t0.Add(time.Duration(seconds * float64(time.Second)))
	for i := range r.classes {
		r.scheduleNext(&r.classes[i])
	}
	r.play()
}

// play processes the scheduled events until a few seconds after the end.
func (r *replay) play() {
	for r.eventQueue.Len() > 0 && r.now.Before(r.end.Add(6*time.Second)) {
		item := heap.Pop(&r.eventQueue).(scheduledEvent)
		r.now = item.at
		item.action()
	}
}

// scheduleNext schedules the next request of a class.
func (r *replay) scheduleNext(c *replayClass) {
	since := r.now.Sub(t0).Seconds()
	rate := c.perSecond * float64(len(r.order))
	if since >= c.burstAt && since < c.burstAt+c.burstFor {
		rate *= c.burst
	}
	for _, b := range c.moreBursts {
		if since >= b.at && since < b.at+b.length {
			rate *= b.factor
		}
	}
	r.after(r.rng.ExpFloat64()/rate*1000, func() {
		if r.now.Before(r.end) {
			r.request(c)
			r.scheduleNext(c)
		}
	})
}

// request creates a caller's request at a random gateway.
func (r *replay) request(c *replayClass) {
	r.requestAt(c, r.gateways[r.concentration.gateway(r.now, r.rng, len(r.gateways))], r.organisations.draw())
}

// requestAt creates a request of the organisation at the gateway.
func (r *replay) requestAt(c *replayClass, g *replayGateway, organisation uint64) {
	q := &replayRequest{class: c, gateway: g, arrivedAt: r.now, organisation: organisation}
	r.organisations.sent(q)
	r.concentration.sent(r.now)
	q.output = max(1, int(r.spread(c.output, c.spread)))
	q.prompt = Prompt{Model: 1, MaxOutput: 4 * c.output, OutputHint: q.output}
	if r.admitsByMemory {
		q.prompt.OutputHint = max(1, int(float64(q.output)*math.Exp(hintSpread*r.rng.NormFloat64())))
	}
	for i, part := range c.shared {
		q.prompt.Parts = append(q.prompt.Parts, Part{ID: uint64(c.tier*1_000_000 + i*100_000 + r.rng.IntN(part.variants)), Tokens: part.tokens})
	}
	q.prompt.Parts = append(q.prompt.Parts, Part{ID: r.rng.Uint64(), Tokens: max(20, int(r.spread(c.own, 0)))})
	for _, part := range q.prompt.Parts {
		q.prompt.Tokens += part.Tokens
	}
	r.send(q)
}

// spread draws from a log-normal distribution with the given mean.
func (r *replay) spread(mean int, sigma float64) float64 {
	if sigma == 0 {
		sigma = 0.8
	}
	return float64(mean) * math.Exp(sigma*r.rng.NormFloat64()-sigma*sigma/2)
}

// send picks an engine for the request and sends it there.
func (r *replay) send(q *replayRequest) {
	if q.gateway.demand != nil {
		q.gateway.demand.Arrived(r.now, "p")
	}
	c, ok := q.gateway.table.Pick(r.now, Request{Pool: "p", Route: q.class.name, TargetGap: q.class.gapLimit(), Tier: q.class.tier,
		Target: q.class.target, Deadline: q.arrivedAt.Add(q.class.timeout), Prompt: q.prompt, Exclude: q.tried, Hash: r.rng.Uint64(), Least: q.class.tier == 2, Organisation: q.organisation})
	if c.RetryAfter > 0 {
		r.rejected(q, c.RetryAfter)
		return
	}
	if !ok && c.RetryAfter == 0 && r.lending {
		r.borrow(q)
		return
	}
	if !ok || len(q.tried) == 4 {
		r.rejectedInBackoff(q)
		return
	}
	r.sendTo(q, c)
}

// sendTo sends the request to the chosen engine.
func (r *replay) sendTo(q *replayRequest, c Choice) {
	q.tried = append(q.tried, c.ID)
	e := r.engines[c.ID]
	if e.fault.applies(r.now) {
		e.applyFault(q, c)
		return
	}
	if e.sheds(r.now) {
		e.refuse(q, c)
		return
	}
	if e.dead {
		r.refusals++
		r.after(1, func() {
			q.gateway.table.Ended(r.now, c, Dead, Answer{})
			r.send(q)
		})
		return
	}
	var from *replayEngine
	for _, other := range r.order {
		if c.FetchFrom != "" && other.id == c.FetchFrom {
			from = other
		}
	}
	ms := 1.0
	if from != nil {
		ms += copyMs
	}
	run := &replayRun{replayRequest: q, choice: c}
	ms += r.connections.use(r.now, q.gateway, c.ID)
	r.after(ms, func() {
		if e.dead {
			q.gateway.table.Ended(r.now, c, Broken, Answer{})
			r.count(q.class, failedResult)
			return
		}
		e.arrive(run, from)
	})
}

// rejectedInBackoff makes the caller of a request without an upstream retry if all
// engines are backing off.
func (r *replay) rejectedInBackoff(q *replayRequest) {
	left, _ := q.gateway.table.RetryAfter(r.now, Request{Pool: "p", Hash: uint64(r.now.UnixNano())})
	if left == 0 {
		r.count(q.class, refusedResult)
		return
	}
	r.rejected(q, left)
}

// rejected makes a caller retry once, if its deadline allows the delay.
func (r *replay) rejected(q *replayRequest, retryAfter time.Duration) {
	if q.retried || retryAfter > (q.class.timeout-r.now.Sub(q.arrivedAt))/3 {
		r.count(q.class, refusedResult)
		return
	}
	q.retried = true
	q.tried = nil
	r.after(milliseconds(retryAfter), func() { r.send(q) })
}

func (r *replay) began(run *replayRun) {
	run.began = r.now
	r.firstEvents++
	r.waited += r.now.Sub(run.arrivedAt)
	run.gateway.table.ResponseStarted(r.now, run.choice)
	if r.paces != nil {
		e := r.engines[run.choice.ID]
		run.gateway.table.SetLoad(r.now, e.id, r.paces.load(e))
	}
}

func (r *replay) completed(run *replayRun) {
	r.connections.release(r.now, run.gateway, run.choice.ID)
	run.gateway.table.Ended(r.now, run.choice, Completed, Answer{Tokens: run.generated, LongestGap: run.longest})
	first := run.began.Sub(run.arrivedAt)
	r.organisations.completed(run, r.now)
	if first <= run.class.timeout && !run.retried {
		r.concentration.served(run.arrivedAt)
	}
	switch {
	case first > run.class.timeout:
		r.count(run.class, abandonedResult)
	case first > run.class.target:
		r.count(run.class, lateResult)
	case run.longest > run.class.gapLimit():
		r.count(run.class, gapMissedResult)
	default:
		r.count(run.class, inTime)
	}
}

func (r *replay) count(c *replayClass, result replayResult) {
	if r.results[c.name] == nil {
		r.results[c.name] = make(map[replayResult]int)
	}
	r.results[c.name][result]++
}

// share is the share of a class's requests with the result.
func (r *replay) share(name string, result replayResult) float64 {
	n := 0
	for _, count := range r.results[name] {
		n += count
	}
	return float64(r.results[name][result]) / float64(max(n, 1))
}

func (r *replay) cachedAnywhere(key uint64) bool {
	for _, e := range r.order {
		if !e.dead && e.cached(key) {
			return true
		}
	}
	return false
}

// exchangeReports sends the report of a gateway and delivers those of all others to it.
func (r *replay) exchangeReports(i int) {
	g := r.gateways[i]
	loads := g.table.Loads(r.now)
	cachedParts := g.table.TakeNewParts()
	r.after(milliseconds(r.reportDelay), func() {
		for id, l := range g.loads {
			r.total[id] = subtractLoads(r.total[id], l)
		}
		for id, l := range loads {
			r.total[id] = addLoads(r.total[id], l)
		}
		g.loads = loads
		for _, part := range cachedParts {
			r.cachedParts = append(r.cachedParts, part)
			r.cachedPartsBy = append(r.cachedPartsBy, i)
		}
		others := make(occupancy.Loads, len(r.total))
		for id, l := range r.total {
			if o := subtractLoads(l, loads[id]); o != (occupancy.Load{}) {
				others[id] = o
			}
		}
		d := g.table.SetPeerLoads(r.now, PeerLoads{Loads: others, Age: r.reportDelay + r.reportInterval/2, TTL: 7 * r.reportInterval, Gateways: len(r.gateways)})
		r.outvoted += len(d.Outvoted)
		r.hanging += len(d.Hanging)
		var parts []occupancy.Part
		for ; g.receivedParts < len(r.cachedParts); g.receivedParts++ {
			if r.cachedPartsBy[g.receivedParts] != i {
				parts = append(parts, r.cachedParts[g.receivedParts])
			}
		}
		g.table.AddPeerParts(r.now, parts)
	})
	r.after(milliseconds(r.reportInterval), func() { r.exchangeReports(i) })
}

// crash crashes a share of the engines; they are removed from the list after three
// heartbeats.
func (r *replay) crash(seconds, share float64) {
	r.after(1000*seconds, func() {
		var left []Instance
		for i, in := range r.listed {
			if i < int(share*float64(len(r.listed))) {
				r.engines[in.ID].crash()
				continue
			}
			left = append(left, in)
		}
		r.listed = left
		r.after(3600, func() {
			for _, g := range r.gateways {
				g.table.SetInstances(r.now, r.listed)
			}
		})
	})
}

func (r *replay) after(ms float64, action func()) {
	r.eventQueue.seq++
	heap.Push(&r.eventQueue, scheduledEvent{at: r.now.Add(time.Duration(ms * float64(time.Millisecond))), seq: r.eventQueue.seq, action: action})
}

func (r *replay) report(t *testing.T) {
	t.Helper()
	for _, c := range r.classes {
		t.Logf("%-6s in time %.3f late %.3f gap missed %.3f failed %.3f refused %.3f abandoned %.3f", c.name,
			r.share(c.name, inTime), r.share(c.name, lateResult), r.share(c.name, gapMissedResult), r.share(c.name, failedResult), r.share(c.name, refusedResult), r.share(c.name, abandonedResult))
	}
	t.Logf("prefilled again %d k, connections refused %d, outvoted %d, hanging %d", r.readAgain/1000, r.refusals, r.outvoted, r.hanging)
}
