package agent

import (
	"cmp"
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/ledger"
	"github.com/gladegauge/gladegauge/internal/core/notice"
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
	// stuckAfter is how long a run may make no token.
	stuckAfter = 15 * time.Second
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
	// said is what the upstream has said of itself.
	said notice.State
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

// Counts returns the number of requests of each of the classes that wait and
// run.
func (a *Agent) Counts(classes []string) (queued, running map[string]int) {
	queued = make(map[string]int)
	running = make(map[string]int)
	for _, name := range classes {
		queued[name] = a.queue.LenClass(name)
	}
	for _, r := range a.runs {
		running[r.item.Class.Name]++
	}
	return queued, running
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
