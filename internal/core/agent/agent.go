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

// Timeouts, limits and smoothing factors of an agent.
const (
	// GrantTTL is the time for which a granted slot stays reserved.
	GrantTTL = 500 * time.Millisecond
	// Lease is the maximum time between two ticks. After a longer gap, the process
	// is considered to have been paused.
	Lease = 3 * time.Second
	// MaxWaiting is the maximum number of waiting requests.
	MaxWaiting = 20000
	// recordTTL is the retention of attempt records. It is longer than any message
	// about an attempt can be delayed.
	recordTTL = 2 * time.Minute
	// keyTTL is the lifetime of an idempotency key.
	keyTTL         = 15 * time.Minute
	maxPreemptions = 2
	smoothing      = 0.05
	// minAvailableShare is the minimum share of the upstream's capacity that wait
	// estimates assume for a tier.
	minAvailableShare = 0.05
	minSpeedInterval  = 200 * time.Millisecond
	// downGracePeriod is the time after which the runs of an upstream that is down
	// are stopped.
	downGracePeriod = 2 * time.Second
	// stallTimeout is the time without a token after which a run is stopped.
	stallTimeout = 15 * time.Second
	// slotsPerFloorRun is the number of slots per concurrent run on a floor share.
	slotsPerFloorRun = 10
	// urgencyFactor is the minimum slack of a request, in mean times between
	// released slots. A request with less slack preempts.
	urgencyFactor = 2
)

// Options are the settings of an agent. Zero values select the defaults.
type Options struct {
	Incarnation string
	Slots       int
	// InitialSpeed is the initial estimate of the tokens per second of one run.
	InitialSpeed float64
	// InitialTokens is the initial estimate of the tokens per response.
	InitialTokens float64
	Queue         queue.Policy
	// NoRefusal disables admission control: every request is queued. It is the
	// baseline in comparisons.
	NoRefusal bool
	// NoPreemption disables preemption.
	NoPreemption bool
	// NewKey generates the secret part of an idempotency key.
	NewKey func() string
}

func (o Options) withDefaults() Options {
	if o.Slots == 0 {
		o.Slots = 1
	}
	if o.InitialSpeed == 0 {
		o.InitialSpeed = 30
	}
	if o.InitialTokens == 0 {
		o.InitialTokens = 200
	}
	return o
}

// Agent is the state of one agent. It is not safe for concurrent use.
type Agent struct {
	options       Options
	cfg           *config.Config
	queue         *queue.Queue
	ledger        *ledger.Ledger
	keys          keyring
	runs          map[string]*run
	offers        map[string]Offer
	slots         int
	busySlots     int
	stopping      int
	speed         float64
	speedMeasured bool
	// tierTokens is the number of tokens that each tier produced since the last
	// tick, and tierRates the moving averages of their tokens per second.
	tierTokens [config.Tiers]int
	tierRates  [windows][config.Tiers]float64
	// slackFactors holds, by class, the part of a request's slack that the expected
	// wait may use. It adapts to the requests served on time and late.
	slackFactors map[string]float64
	// timeToFirstToken is the moving average of the time from the start of a run to
	// its first token, in nanoseconds.
	timeToFirstToken float64
	leaving          bool
	down             bool
	// notices is the state that the upstream reported about itself.
	notices notice.State
	// downAt is the time of the last change of the upstream to down.
	downAt   time.Time
	lastTick time.Time
}

// New returns an agent without requests.
func New(o Options, cfg *config.Config) *Agent {
	o = o.withDefaults()
	o.Queue.Phase = phaseOf(o.Incarnation)
	return &Agent{
		options:      o,
		cfg:          cfg,
		queue:        queue.New(o.Queue),
		ledger:       ledger.New(recordTTL),
		keys:         keyring{},
		runs:         make(map[string]*run),
		offers:       make(map[string]Offer),
		slackFactors: make(map[string]float64),
		slots:        o.Slots,
		speed:        o.InitialSpeed,
	}
}

// phaseOf hashes the incarnation to a queue phase, uniformly from 0 to 1.
func phaseOf(incarnation string) float64 {
	const steps = 1 << 16
	return float64(rendezvous.Score("floor", incarnation)%steps) / steps
}

// Configure applies a new configuration and number of slots.
func (a *Agent) Configure(now time.Time, cfg *config.Config, slots int) []Effect {
	a.cfg = cfg
	a.slots = slots
	return a.schedule(now)
}

// Incarnation returns the agent's own incarnation.
func (a *Agent) Incarnation() string { return a.options.Incarnation }

// Counts returns the numbers of waiting and running requests by class.
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

// running returns the runs ordered by ID, for decisions that must not depend on
// map iteration order.
func (a *Agent) running() []*run {
	out := make([]*run, 0, len(a.runs))
	for _, r := range a.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(x, y *run) int { return cmp.Compare(x.item.ID, y.item.ID) })
	return out
}
