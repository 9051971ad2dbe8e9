package agent

import (
	"cmp"
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/ledger"
	"github.com/gladegauge/gladegauge/internal/core/queue"
	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// Limits and rates of an agent.
const (
	// GrantTTL is how long a granted slot stays reserved.
	GrantTTL = 500 * time.Millisecond
	// Lease is the longest gap between two ticks of an agent that was not
	// paused.
	Lease = 3 * time.Second
	// MaxWaiting bounds the requests that one agent holds.
	MaxWaiting = 20000
	// keepRecords outlives every message about an attempt.
	keepRecords = 2 * time.Minute
	// keepKeys is the life of an idempotency key.
	keepKeys       = 15 * time.Minute
	maxPreemptions = 2
	speedRate      = 0.05
	// minAvailable is the share of the upstream that a tier can count on.
	minAvailable   = 0.05
	minObservation = 200 * time.Millisecond
	// giveUpAfter is how long the upstream is down before its runs are lost.
	giveUpAfter = 2 * time.Second
	// floorSlots is the number of slots for each run on a floor share.
	floorSlots = 10
	// urgentWaits is how many natural waits for a slot of slack a request
	// must have left not to preempt.
	urgentWaits = 2
)

// Options are the settings of an agent. Zero values take the defaults.
type Options struct {
	Incarnation string
	Slots       int
	// Speed is the first guess of tokens a second of one run.
	Speed float64
	// Tokens is the first guess of tokens of one answer.
	Tokens float64
	Queue  queue.Policy
	// NoRefusal queues everything, without a bound by time; the baseline.
	NoRefusal bool
	// NoPreemption lets every started request finish.
	NoPreemption bool
	// NewKey makes an idempotency key's secret part.
	NewKey func() string
}

func (o Options) withDefaults() Options {
	if o.Slots == 0 {
		o.Slots = 1
	}
	if o.Speed == 0 {
		o.Speed = 30
	}
	if o.Tokens == 0 {
		o.Tokens = 200
	}
	return o
}

// Agent is the state of one agent. It is not safe for concurrent use.
type Agent struct {
	options  Options
	cfg      *config.Config
	queue    *queue.Queue
	ledger   *ledger.Ledger
	keys     keyring
	runs     map[string]*run
	offers   map[string]Offer
	slots    int
	busy     int
	stopping int
	speed    float64
	measured bool
	// made is the tokens of each tier since the last tick, and rates their
	// learnt tokens a second.
	made  [config.Tiers]int
	rates [windows][config.Tiers]float64
	// trust is, by class, how much of the slack may be used for waiting, as
	// learnt from requests that were served on time or late.
	trust map[string]float64
	// prompt is the learnt time to the first token, in nanoseconds.
	prompt  float64
	leaving bool
	down    bool
	// downAt is when the upstream was last seen to go down.
	downAt   time.Time
	lastTick time.Time
}

// New returns an agent without work.
func New(o Options, cfg *config.Config) *Agent {
	o = o.withDefaults()
	o.Queue.Phase = phaseOf(o.Incarnation)
	return &Agent{
		options: o,
		cfg:     cfg,
		queue:   queue.New(o.Queue),
		ledger:  ledger.New(keepRecords),
		keys:    keyring{},
		runs:    make(map[string]*run),
		offers:  make(map[string]Offer),
		trust:   make(map[string]float64),
		slots:   o.Slots,
		speed:   o.Speed,
	}
}

// phaseOf spreads incarnations evenly from 0 to 1.
func phaseOf(incarnation string) float64 {
	const steps = 1 << 16
	return float64(rendezvous.Score("floor", incarnation)%steps) / steps
}

// Configure takes a new configuration and number of slots into force.
func (a *Agent) Configure(now time.Time, cfg *config.Config, slots int) []Effect {
	a.cfg = cfg
	a.slots = slots
	return a.schedule(now)
}

// Incarnation returns the agent's own incarnation.
func (a *Agent) Incarnation() string { return a.options.Incarnation }

// InProgress returns the number of requests that hold a slot or were started.
func (a *Agent) InProgress() int {
	n := len(a.runs)
	for _, it := range a.queue.All() {
		if a.ledger.State(it.ID).Started() {
			n++
		}
	}
	return n
}

// Counts returns the number of requests of each class that wait and run.
func (a *Agent) Counts() (queued, running map[string]int) {
	queued = make(map[string]int)
	running = make(map[string]int)
	for _, c := range a.cfg.Classes() {
		queued[c.Name] = a.queue.LenClass(c.Name)
	}
	for _, r := range a.runs {
		running[r.item.Class.Name]++
	}
	return queued, running
}

// Offer takes an offer: it waits, is granted a slot, or is refused.
func (a *Agent) Offer(now time.Time, o Offer) []Effect {
	if a.ledger.State(o.ID).Live() {
		// A copy of the message; the attempt has its answers already.
		return nil
	}
	if refusal := a.inadmissible(o); refusal != nil {
		return []Effect{refusal}
	}
	class, _ := a.cfg.Class(o.Class)
	it := &queue.Item{
		ID:           o.ID,
		Class:        class,
		Organisation: o.Organisation,
		Weight:       o.Weight,
		Arrived:      o.Arrived,
		Lead:         a.lead(class),
		Copies:       o.Copies,
	}
	effects, admitted := a.admit(now, it)
	if !admitted {
		return append(effects, a.refuse(now, o.ID, Overload, class))
	}
	a.ledger.Set(now, o.ID, ledger.Waiting)
	a.offers[o.ID] = o
	a.queue.Push(it)
	return append(effects, a.schedule(now)...)
}

// inadmissible returns the effect for an offer that can never be queued here.
func (a *Agent) inadmissible(o Offer) Effect {
	switch a.ledger.State(o.ID) {
	case ledger.Ran:
		return Fail{ID: o.ID, AlreadyRun: true}
	case ledger.NotRun:
		return Refuse{ID: o.ID, Reason: Stale}
	case ledger.None, ledger.Waiting, ledger.Granted, ledger.Running:
	}
	if o.Incarnation != "" && o.Incarnation != a.options.Incarnation {
		return Refuse{ID: o.ID, Reason: WrongIncarnation}
	}
	if o.Key != "" {
		if effect := a.keys.check(o); effect != nil {
			return effect
		}
	}
	if a.leaving {
		return Refuse{ID: o.ID, Reason: Leaving}
	}
	if a.down {
		return Refuse{ID: o.ID, Reason: UpstreamDown, RetryAfter: time.Second}
	}
	if _, ok := a.cfg.Class(o.Class); !ok {
		return Refuse{ID: o.ID, Reason: UnknownClass}
	}
	return nil
}

// Recount tells how many agents hold a waiting offer now.
func (a *Agent) Recount(id string, copies int) {
	a.queue.SetCopies(id, copies)
}

// Claim starts a granted attempt. A claim that comes too late, twice, without
// a grant or for another incarnation's grant starts nothing.
func (a *Agent) Claim(now time.Time, id, incarnation string) []Effect {
	if incarnation != a.options.Incarnation {
		return []Effect{Refuse{ID: id, Reason: WrongIncarnation}}
	}
	r, ok := a.runs[id]
	if !ok || r.claimed {
		return a.strayClaim(id)
	}
	if a.paused(now) || now.Sub(r.granted) > GrantTTL {
		a.release(id)
		return append([]Effect{a.refuse(now, id, Stale, r.item.Class)}, a.schedule(now)...)
	}
	if o := a.offers[id]; o.Key != "" && !a.keys.use(o) {
		a.release(id)
		a.finish(now, id, ledger.NotRun)
		return append([]Effect{Fail{ID: id, AlreadyRun: true}}, a.schedule(now)...)
	}
	a.ledger.Set(now, id, ledger.Running)
	return []Effect{a.start(now, id, r)}
}

func (a *Agent) strayClaim(id string) []Effect {
	switch a.ledger.State(id) {
	case ledger.Ran:
		return []Effect{Fail{ID: id, AlreadyRun: true}}
	case ledger.Running:
		return nil
	case ledger.None, ledger.Waiting, ledger.Granted, ledger.NotRun:
	}
	return []Effect{Refuse{ID: id, Reason: Stale}}
}

func (a *Agent) start(now time.Time, id string, r *run) Effect {
	r.claimed = true
	r.started = now
	r.produced = r.item.Produced
	r.observed = r.produced
	r.observedAt = now
	return Start{ID: id, Produced: r.item.Produced}
}

// Withdraw takes back an offer or ends a run whose caller left.
func (a *Agent) Withdraw(now time.Time, id string) []Effect {
	if it, ok := a.queue.Remove(id); ok {
		a.finish(now, id, a.endState(it.ID))
		return nil
	}
	r, ok := a.runs[id]
	if !ok {
		a.ledger.Set(now, id, ledger.NotRun)
		return nil
	}
	if !r.claimed {
		a.release(id)
		a.finish(now, id, ledger.NotRun)
		return a.schedule(now)
	}
	r.withdrawn = true
	if r.stopping {
		return nil
	}
	a.markStopping(r)
	return []Effect{Stop{ID: id}}
}

func (a *Agent) endState(id string) ledger.State {
	if a.ledger.State(id).Started() {
		return ledger.Ran
	}
	return ledger.NotRun
}

// Progress tells how many tokens of the answer there are so far.
func (a *Agent) Progress(now time.Time, id string, produced int) {
	r, ok := a.runs[id]
	if !ok || !r.claimed || produced <= r.produced {
		return
	}
	a.queue.Produced(produced - r.produced)
	a.made[r.item.Class.Tier-1] += produced - r.produced
	if r.produced == 0 && r.item.Class.FirstToken > 0 {
		a.learnTrust(r.item.Class, now.Sub(r.item.Arrived) <= r.item.Class.FirstToken)
	}
	if r.produced == 0 {
		a.prompt += speedRate * float64(now.Sub(r.started)-time.Duration(a.prompt))
	}
	r.produced = produced
	if d := now.Sub(r.observedAt); d >= minObservation {
		a.learnSpeed(produced-r.observed, d)
		r.observed = produced
		r.observedAt = now
	}
}

// Ended tells that an attempt ended at the upstream by itself.
func (a *Agent) Ended(now time.Time, id string, end End, produced int) []Effect {
	r, ok := a.runs[id]
	if !ok || !r.claimed {
		return nil
	}
	a.Progress(now, id, produced)
	a.queue.Settle(r.item, r.produced-r.item.Produced)
	a.release(id)
	switch end {
	case Completed:
		a.queue.Learn(r.item.Class, max(1, r.produced))
		if r.item.Class.FirstToken == 0 {
			a.learnTrust(r.item.Class, now.Sub(r.item.Arrived) <= r.item.Class.Completion)
		}
		if r.produced <= 1 {
			a.learnSpeed(1, now.Sub(r.started))
		}
	case NeverRan:
		if o := a.offers[id]; o.Key != "" {
			a.keys.release(o)
		}
	case Cut:
	}
	a.finish(now, id, ledger.Ran)
	return a.schedule(now)
}

// Stopped tells that a Stop was carried out. A preempted attempt goes back to
// the queue, and continues where it was.
func (a *Agent) Stopped(now time.Time, id string, produced int) []Effect {
	r, ok := a.runs[id]
	if !ok || !r.stopping {
		return nil
	}
	a.Progress(now, id, produced)
	a.queue.Settle(r.item, r.produced-r.item.Produced)
	a.release(id)
	if r.withdrawn || r.lost {
		a.finish(now, id, ledger.Ran)
		effects := a.schedule(now)
		if r.lost {
			effects = append([]Effect{Fail{ID: id}}, effects...)
		}
		return effects
	}
	r.item.Produced = r.produced
	r.item.Copies = 1
	a.offers[id] = withPreemption(a.offers[id])
	a.queue.Return(r.item)
	return a.schedule(now)
}

// Drain stops new work. What waits is refused at once as not run, and what
// runs completes.
func (a *Agent) Drain(now time.Time) []Effect {
	a.leaving = true
	return a.refuseWaiting(now, Leaving)
}

// Leaving reports whether the agent takes no new work.
func (a *Agent) Leaving() bool { return a.leaving }

// SetDown tells whether the upstream can be reached. While it cannot, what
// waits and what comes is refused as not run.
func (a *Agent) SetDown(now time.Time, down bool) []Effect {
	if a.down == down {
		return nil
	}
	a.down = down
	if down {
		a.downAt = now
		return a.refuseWaiting(now, UpstreamDown)
	}
	return a.schedule(now)
}

// refuseWaiting refuses all that waits and was never started.
func (a *Agent) refuseWaiting(now time.Time, reason Reason) []Effect {
	var effects []Effect
	for _, it := range a.queue.All() {
		if a.ledger.State(it.ID).Started() {
			continue
		}
		a.queue.Remove(it.ID)
		effects = append(effects, a.refuse(now, it.ID, reason, it.Class))
	}
	for _, id := range a.unclaimed() {
		class := a.runs[id].item.Class
		a.release(id)
		effects = append(effects, a.refuse(now, id, reason, class))
	}
	return effects
}

// unclaimed returns the attempts with a grant that was not claimed.
func (a *Agent) unclaimed() []string {
	var ids []string
	for id, r := range a.runs {
		if !r.claimed {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Tick lets time pass: grants and requests expire. After a gap longer than the
// lease the agent was paused, and refuses all that waits, since its entries
// have moved on.
func (a *Agent) Tick(now time.Time) []Effect {
	paused := a.paused(now)
	if !a.lastTick.IsZero() {
		a.learnRates(now.Sub(a.lastTick))
	}
	a.lastTick = now
	a.ledger.Sweep(now)
	a.keys.sweep(now)
	if paused {
		effects := a.refuseWaiting(now, Stale)
		return append(effects, a.schedule(now)...)
	}
	var effects []Effect
	for _, id := range a.unclaimed() {
		if now.Sub(a.runs[id].granted) > GrantTTL {
			class := a.runs[id].item.Class
			a.release(id)
			effects = append(effects, a.refuse(now, id, Stale, class))
		}
	}
	for _, it := range a.queue.Expired(now) {
		effects = append(effects, a.giveUp(now, it))
	}
	effects = append(effects, a.giveUpRuns(now)...)
	return append(effects, a.schedule(now)...)
}

// giveUp ends a request that can no longer matter.
func (a *Agent) giveUp(now time.Time, it *queue.Item) Effect {
	if a.ledger.State(it.ID).Started() {
		a.finish(now, it.ID, ledger.Ran)
		return Fail{ID: it.ID}
	}
	return a.refuse(now, it.ID, Expired, it.Class)
}

// giveUpRuns stops the runs of an upstream that has been down for a while. It
// may hang without breaking its connections.
func (a *Agent) giveUpRuns(now time.Time) []Effect {
	if !a.down || now.Sub(a.downAt) < giveUpAfter {
		return nil
	}
	var effects []Effect
	for _, r := range a.running() {
		if r.claimed && !r.stopping {
			r.lost = true
			a.markStopping(r)
			effects = append(effects, Stop{ID: r.item.ID})
		}
	}
	return effects
}

func (a *Agent) paused(now time.Time) bool {
	return !a.lastTick.IsZero() && now.Sub(a.lastTick) > Lease
}

func (a *Agent) refuse(now time.Time, id string, reason Reason, class *config.Class) Effect {
	a.finish(now, id, ledger.NotRun)
	return Refuse{ID: id, Reason: reason, RetryAfter: a.retryAfter(reason, class)}
}

// retryAfter is when a new request of the class can be expected to be served.
func (a *Agent) retryAfter(reason Reason, class *config.Class) time.Duration {
	if reason != Overload && reason != Expired {
		return 0
	}
	return max(time.Second, a.wait(class, a.meanCost()))
}

func (a *Agent) finish(now time.Time, id string, s ledger.State) {
	a.ledger.Set(now, id, s)
	delete(a.offers, id)
}

// release frees the slot of a run.
func (a *Agent) release(id string) {
	r := a.runs[id]
	if r.stopping {
		a.stopping--
	}
	delete(a.runs, id)
	a.busy--
}

func (a *Agent) markStopping(r *run) {
	r.stopping = true
	a.stopping++
}

// running returns the runs in order of identity, for decisions that must not
// depend on the order of a map.
func (a *Agent) running() []*run {
	out := make([]*run, 0, len(a.runs))
	for _, r := range a.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(x, y *run) int { return cmp.Compare(x.item.ID, y.item.ID) })
	return out
}
