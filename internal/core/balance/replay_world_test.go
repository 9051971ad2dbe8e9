package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/ingress"
	"github.com/gladegauge/gladegauge/internal/core/occupancy"
)

// replayResult is what became of a request.
type replayResult int

const (
	inTime replayResult = iota
	lateResult
	pausedResult
	lostResult
	refusedResult
	goneResult
)

// replayRequest is a caller's request.
type replayRequest struct {
	class   *replayClass
	gateway *replayGateway
	prompt  Prompt
	output  int
	came    time.Time
	began   time.Time
	tried   []string
	// cameBack is true once it was turned away.
	cameBack bool
}

// replayGateway is one gateway: the real table, and what it told last.
type replayGateway struct {
	table *Table
	loads occupancy.Loads
	// heardNews is the number of news that it has.
	heardNews int
}

// replay plays a load in virtual time: real tables, engines by their figures, and
// words between gateways of a set age.
type replay struct {
	now      time.Time
	rng      *rand.Rand
	agenda   agenda
	engines  map[string]*replayEngine
	order    []*replayEngine
	gateways []*replayGateway
	classes  []replayClass
	// every is the time between two words of a gateway.
	every time.Duration
	// lag is how much older they are on arrival.
	lag       time.Duration
	total     occupancy.Loads
	news      []occupancy.Part
	newsBy    []int
	results   map[string]map[replayResult]int
	readAgain int
	// refusals is the number of connections to engines that were gone.
	refusals int
	// admits makes engines admit prompts while their memory lasts, and read the
	// admitted ones in turn, whatever their rank; and callers leave at their deadline.
	admits bool
	// eventTokens is the size of an event of a stream.
	eventTokens int
	// outvoted and hanging are how often gateways put an engine last by votes, and took a
	// prompt to hang.
	outvoted, hanging int
	// cutTokens are those that were read for answers that were cut.
	cutTokens int
	// lends is true if gateways lend each other turns, lent is how many.
	lends  bool
	lent   int
	end    time.Time
	listed []Instance
}

// hintSpread is how far callers' guesses of their answers are off, as the deviation of
// the logarithm.
const hintSpread = 0.5

// newReplay returns a replay of as many gateways and engines.
func newReplay(gateways, engines int, every, lag time.Duration, classes []replayClass) *replay {
	r := &replay{
		now: t0, rng: rand.New(rand.NewPCG(1, 2)),
		engines: make(map[string]*replayEngine), classes: classes, every: every, lag: lag,
		eventTokens: eventTokens,
		total:       make(occupancy.Loads), results: make(map[string]map[replayResult]int),
	}
	cfg := replayConfig(classes)
	for i := range engines {
		id := fmt.Sprintf("i-%d", i)
		e := &replayEngine{r: r, id: id, speed: []float64{1, 1, 1.3}[i%3], kept: make(map[uint64]time.Time), sizes: make(map[uint64]int)}
		r.engines[id] = e
		r.order = append(r.order, e)
		r.listed = append(r.listed, Instance{ID: id, Address: id, Zone: fmt.Sprint(i % 5), Pool: "p", Slots: replaySlots, Created: int64(i + 1)})
	}
	for i := range gateways {
		g := &replayGateway{table: New(fmt.Sprint(i % 5)), loads: make(occupancy.Loads)}
		g.table.SetInstances(r.now, r.listed)
		g.table.SetPools(cfg)
		r.gateways = append(r.gateways, g)
		r.after(milliseconds(every)*float64(i)/float64(gateways), func() { r.tell(i) })
	}
	return r
}

func replayConfig(classes []replayClass) *ingress.Table {
	var routes []*ingress.Route
	for i := range classes {
		c := &classes[i]
		routes = append(routes, &ingress.Route{Name: c.name, Prefix: "/" + c.name + "/", Kind: ingress.Stream, Tier: c.tier, Target: c.target, PauseTarget: c.pauseLimit(), Timeout: c.patient, MaxAttempts: 1, Shares: []ingress.Share{{Pool: "p", Weight: 1}}})
	}
	engine := &ingress.Engine{Slots: replaySlots, MemoryTokens: replayMemory, EventTokens: eventTokens, Moves: true, LinkMbps: 550_000, TokenBytes: 18_432}
	cfg, faults := ingress.New(1, routes, []ingress.Pool{{Name: "p", Engine: engine}}, nil, ingress.Limits{})
	if len(faults) > 0 {
		panic(faults)
	}
	return cfg
}

// run plays the load for as many seconds and lets what runs end.
func (r *replay) run(seconds float64) {
	r.end = t0.Add(time.Duration(seconds * float64(time.Second)))
	for i := range r.classes {
		r.next(&r.classes[i])
	}
	r.play()
}

// play lets everything happen that is planned, up to a while after the end.
func (r *replay) play() {
	for r.agenda.Len() > 0 && r.now.Before(r.end.Add(6*time.Second)) {
		item := heap.Pop(&r.agenda).(agendaItem)
		r.now = item.at
		item.do()
	}
}

// next plans the next request of a kind.
func (r *replay) next(c *replayClass) {
	since := r.now.Sub(t0).Seconds()
	rate := c.perS * float64(len(r.order))
	if since >= c.burstAt && since < c.burstAt+c.burstFor {
		rate *= c.burst
	}
	for _, b := range c.more {
		if since >= b.at && since < b.at+b.length {
			rate *= b.times
		}
	}
	r.after(r.rng.ExpFloat64()/rate*1000, func() {
		if r.now.Before(r.end) {
			r.request(c)
			r.next(c)
		}
	})
}

// request is a caller's request at some gateway.
func (r *replay) request(c *replayClass) {
	q := &replayRequest{class: c, gateway: r.gateways[r.rng.IntN(len(r.gateways))], came: r.now}
	q.output = max(1, int(r.spread(c.output, c.spread)))
	q.prompt = Prompt{Model: 1, MaxOutput: 4 * c.output, OutputHint: q.output}
	if r.admits {
		q.prompt.OutputHint = max(1, int(float64(q.output)*math.Exp(hintSpread*r.rng.NormFloat64())))
	}
	for i, part := range c.shared {
		q.prompt.Parts = append(q.prompt.Parts, Part{ID: uint64(c.tier*1_000_000 + i*100_000 + r.rng.IntN(part.things)), Tokens: part.tokens})
	}
	q.prompt.Parts = append(q.prompt.Parts, Part{ID: r.rng.Uint64(), Tokens: max(20, int(r.spread(c.own, 0)))})
	for _, part := range q.prompt.Parts {
		q.prompt.Tokens += part.Tokens
	}
	r.send(q)
}

// spread draws around a mean, with a long tail.
func (r *replay) spread(mean int, sigma float64) float64 {
	if sigma == 0 {
		sigma = 0.8
	}
	return float64(mean) * math.Exp(sigma*r.rng.NormFloat64()-sigma*sigma/2)
}

// send picks an engine for the request and calls it.
func (r *replay) send(q *replayRequest) {
	c, ok := q.gateway.table.Pick(r.now, Request{Pool: "p", Route: q.class.name, TargetGap: q.class.pauseLimit(), Tier: q.class.tier,
		Target: q.class.target, Deadline: q.came.Add(q.class.patient), Prompt: q.prompt, Exclude: q.tried, Hash: r.rng.Uint64(), Least: q.class.tier == 2})
	if c.RetryAfter > 0 {
		r.turnedAway(q, c.RetryAfter)
		return
	}
	if !ok && c.RetryAfter == 0 && r.lends {
		r.borrow(q)
		return
	}
	if !ok || len(q.tried) == 4 {
		r.turnedAwayByRest(q)
		return
	}
	r.sendTo(q, c)
}

// sendTo sends the request to the engine of the choice.
func (r *replay) sendTo(q *replayRequest, c Choice) {
	q.tried = append(q.tried, c.ID)
	e := r.engines[c.ID]
	if e.fault.meets(r.now) {
		e.fail(q, c)
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
	r.after(ms, func() {
		if e.dead {
			q.gateway.table.Ended(r.now, c, Broken, Answer{})
			r.count(q.class, lostResult)
			return
		}
		e.arrive(run, from)
	})
}

// turnedAwayByRest lets the caller of a request without an upstream come back if all rest.
func (r *replay) turnedAwayByRest(q *replayRequest) {
	left, _ := q.gateway.table.RetryAfter(r.now, "p", uint64(r.now.UnixNano()))
	if left == 0 {
		r.count(q.class, refusedResult)
		return
	}
	r.turnedAway(q, left)
}

// turnedAway lets a caller come back once, if it may wait so long.
func (r *replay) turnedAway(q *replayRequest, comeBack time.Duration) {
	if q.cameBack || comeBack > (q.class.patient-r.now.Sub(q.came))/3 {
		r.count(q.class, refusedResult)
		return
	}
	q.cameBack = true
	q.tried = nil
	r.after(milliseconds(comeBack), func() { r.send(q) })
}

func (r *replay) began(run *replayRun) {
	run.began = r.now
	run.gateway.table.Began(r.now, run.choice)
}

func (r *replay) completed(run *replayRun) {
	run.gateway.table.Ended(r.now, run.choice, Completed, Answer{Tokens: run.made, LongestGap: run.longest})
	first := run.began.Sub(run.came)
	switch {
	case first > run.class.patient:
		r.count(run.class, goneResult)
	case first > run.class.target:
		r.count(run.class, lateResult)
	case run.longest > run.class.pauseLimit():
		r.count(run.class, pausedResult)
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

// share is the part of the kind's requests that ended so.
func (r *replay) share(name string, result replayResult) float64 {
	n := 0
	for _, count := range r.results[name] {
		n += count
	}
	return float64(r.results[name][result]) / float64(max(n, 1))
}

func (r *replay) someoneHas(key uint64) bool {
	for _, e := range r.order {
		if !e.dead && e.has(key) {
			return true
		}
	}
	return false
}

// tell passes the word of a gateway on, and to it those of all others.
func (r *replay) tell(i int) {
	g := r.gateways[i]
	loads := g.table.Loads(r.now)
	news := g.table.TakeNewParts()
	r.after(milliseconds(r.lag), func() {
		for id, l := range g.loads {
			r.total[id] = minus(r.total[id], l)
		}
		for id, l := range loads {
			r.total[id] = plus(r.total[id], l)
		}
		g.loads = loads
		for _, part := range news {
			r.news = append(r.news, part)
			r.newsBy = append(r.newsBy, i)
		}
		others := make(occupancy.Loads, len(r.total))
		for id, l := range r.total {
			if o := minus(l, loads[id]); o != (occupancy.Load{}) {
				others[id] = o
			}
		}
		d := g.table.SetPeerLoads(r.now, PeerLoads{Loads: others, Age: r.lag + r.every/2, Keep: 7 * r.every, Gateways: len(r.gateways)})
		r.outvoted += len(d.Outvoted)
		r.hanging += len(d.Hanging)
		var parts []occupancy.Part
		for ; g.heardNews < len(r.news); g.heardNews++ {
			if r.newsBy[g.heardNews] != i {
				parts = append(parts, r.news[g.heardNews])
			}
		}
		g.table.AddPeerParts(r.now, parts)
	})
	r.after(milliseconds(r.every), func() { r.tell(i) })
}

// crash takes a share of the engines away; the list tells of it after three
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

func (r *replay) after(ms float64, do func()) {
	r.agenda.seq++
	heap.Push(&r.agenda, agendaItem{at: r.now.Add(time.Duration(ms * float64(time.Millisecond))), seq: r.agenda.seq, do: do})
}

func (r *replay) report(t *testing.T) {
	t.Helper()
	for _, c := range r.classes {
		t.Logf("%-6s in time %.3f late %.3f paused %.3f lost %.3f refused %.3f gone %.3f", c.name,
			r.share(c.name, inTime), r.share(c.name, lateResult), r.share(c.name, pausedResult), r.share(c.name, lostResult), r.share(c.name, refusedResult), r.share(c.name, goneResult))
	}
	t.Logf("read again %d k, connections refused %d, outvoted %d, hanging %d", r.readAgain/1000, r.refusals, r.outvoted, r.hanging)
}
