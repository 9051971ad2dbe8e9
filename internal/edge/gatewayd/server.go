// Package gatewayd runs a gateway: an entry that calls upstreams itself.
//
// It is for deployments in which upstreams order their own queues and no process of this
// project runs beside them. Decisions are made by the core packages gateway, ingress,
// balance, fleet and retry. This package forwards requests and answers, follows the
// platform's store or another gateway that reads it, and shuts down without interrupting
// requests.
//
// # Usage
//
//	s := gatewayd.New(options)
//	err := s.Listen()
//	err = s.Run(ctx)
package gatewayd

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/feed"
	"github.com/gladegauge/gladegauge/internal/core/fleet"
	"github.com/gladegauge/gladegauge/internal/core/gateway"
	"github.com/gladegauge/gladegauge/internal/core/ingress"
	"github.com/gladegauge/gladegauge/internal/core/notice"
	"github.com/gladegauge/gladegauge/internal/core/occupancy"
	"github.com/gladegauge/gladegauge/internal/core/retry"
	"github.com/gladegauge/gladegauge/internal/core/roster"
	"github.com/gladegauge/gladegauge/internal/core/surge"
	"github.com/gladegauge/gladegauge/internal/core/suspect"
	"github.com/gladegauge/gladegauge/internal/edge/clock"
	"github.com/gladegauge/gladegauge/internal/edge/exchange"
	"github.com/gladegauge/gladegauge/internal/edge/loop"
	"github.com/gladegauge/gladegauge/internal/edge/suspects"
	"github.com/gladegauge/gladegauge/platform"
)

// sweepInterval is the interval at which idle connections and expired state are removed.
const sweepInterval = time.Second

// Options are the settings of a gateway.
type Options struct {
	Settings platform.Settings
	// SettingsPath is the file that the settings were read from.
	SettingsPath string
	// MetricsPort is the port of the metrics on this host's address; 0 disables them.
	MetricsPort int
	Stop        StopTimes
	// Clock returns the current time. It must keep running while the host is suspended
	// (package clock), and defaults to the clock of the host.
	Clock func() time.Time
	Log   zerolog.Logger
	// LogsDropped returns the number of log lines that were dropped.
	LogsDropped func() uint64
}

// Server is one gateway.
type Server struct {
	o       *Options
	log     zerolog.Logger
	now     func() time.Time
	control *loop.Loop
	view    atomic.Pointer[ingress.View]
	// addresses are those of the listed upstreams. The value is false if no idle
	// connections to the address are kept.
	addresses atomic.Pointer[map[string]bool]
	// maxOpen is the number of connections to an address up to which idle ones are kept; an
	// address without one has no bound.
	maxOpen atomic.Pointer[map[string]int]
	// closed is the state that upstreams reported about themselves. It is checked once
	// more just before a request is sent.
	closed  atomic.Pointer[notice.Closed]
	bounds  atomic.Pointer[gateway.Bounds]
	client  *exchange.Client
	metrics *serverMetrics
	// peerTransport is the transport of peerClient, which calls other gateways.
	peerTransport *peerTransport
	peerClient    *http.Client
	listeners     *listeners
	// reportQueues hold the reports of this gateway's streams to others.
	reportQueues reportQueues
	// active are the connections of callers with a request in progress.
	active activeConns
	// eventMemory bounds the events of all streams.
	eventMemory *eventMemory
	// lastRequestAt is when the latest request arrived, in nanoseconds since 1970; 0
	// before the first.
	lastRequestAt atomic.Int64
	// stoppingAt is when the planned shutdown began; nil before it.
	stoppingAt atomic.Pointer[time.Time]

	// The fields below are used only in the control loop.
	table  *balance.Table
	roster *roster.Roster
	// poolOf names the pool of each listed address.
	poolOf map[string]string
	// expiryTimer fires when the first retained entry expires; nil if there is none.
	expiryTimer *time.Timer
	// budgets are the retry budgets by pool.
	budgets map[string]*retry.Window
	// queues hold the requests to plain services that wait, by pool.
	queues map[string]*poolQueue
	fleet  *fleet.Fleet
	// occupancy holds the loads that other gateways reported.
	occupancy *occupancy.Tracker
	// ownLoadAt is when the load of this gateway was last added to occupancy.
	ownLoadAt time.Time
	// partLog holds the reports of gateways on the prompt parts that engines cache.
	partLog *occupancy.PartLog
	// demand holds the demand for the pools here and at other gateways.
	demand demandExchange
	// streams holds the versions of streams that callers may resume.
	streams streams
	// operatorBounds are the operators' bounds in the latest settings.
	operatorBounds platform.Bounds
	// gateways is the number of gateways that share the retry budget.
	gateways int
	// loggedSize is the number of gateways in the latest log line about it.
	loggedSize int
	// suspects are the requests that upstreams crashed under, and lost those whose
	// upstream connection ended recently.
	suspects *suspects.Tracker
	lost     []suspects.Failure
	// listedAt is when this gateway first had a list of upstreams.
	listedAt time.Time
	// unused holds the listed upstreams that get no requests.
	unused roster.Unused
	// guard decides on callers' new connections.
	guard callerGuard
	feed  *feed.Feed
	// storedConfig is the configuration that was last read from the store itself, and
	// restoreWindow the time in which the absence of changes in a restored store proves
	// nothing.
	storedConfig  storedConfig
	restoreWindow restoreWindow
	// feedChanged is closed when there are updates for followers.
	feedChanged chan struct{}
	// storeReadAt is when the store was queried, by any gateway, for the state that is
	// known here; zero if that is unknown.
	storeReadAt time.Time
	// ownStoreFailedAt is when a call of this gateway to the store last failed,
	// storeFailedAt the same for all gateways that it has heard of.
	ownStoreFailedAt time.Time
	storeFailedAt    time.Time
	// configUnreadable is true while the newest configuration cannot be decoded.
	configUnreadable bool
}

// New returns a gateway that is not running yet.
func New(o *Options) *Server {
	now := o.Clock
	if now == nil {
		now = clock.New().Now
	}
	s := &Server{
		o:              o,
		log:            o.Log,
		now:            now,
		control:        loop.New(now),
		table:          balance.New(o.Settings.Zone),
		roster:         roster.New(),
		budgets:        make(map[string]*retry.Window),
		queues:         make(map[string]*poolQueue),
		fleet:          fleet.New(fleet.Member{Zone: o.Settings.Zone}),
		occupancy:      occupancy.New(),
		partLog:        occupancy.NewPartLog(),
		demand:         newDemandExchange(),
		streams:        newStreams(o.Settings.FirstStart),
		reportQueues:   newReportQueues(),
		gateways:       assumedGateways,
		loggedSize:     assumedGateways,
		operatorBounds: o.Settings.Bounds,
		feed:           feed.New(),
		feedChanged:    make(chan struct{}),
		active:         activeConns{conns: make(map[net.Conn]struct{})},
		eventMemory:    newEventMemory(o.Settings.MemoryBytes),
	}
	s.guard.guard = surge.New(now())
	bounds := admissionBounds(o.Settings.Bounds)
	s.bounds.Store(&bounds)
	s.table.SetColdLimits(coldLimits(o.Settings.Bounds), s.holds)
	s.table.SetLimitBounds(limitBounds(), func() int { return s.fleet.Retained() })
	s.view.Store(&ingress.View{})
	s.metrics = newServerMetrics(o.LogsDropped, func() uint64 { return viewAgeMs(s.view.Load(), s.now()) })
	s.peerTransport = newPeerTransport(s.metrics.peerBytes)
	s.peerClient = &http.Client{Transport: s.peerTransport}
	s.addresses.Store(&map[string]bool{})
	s.closed.Store(&notice.Closed{})
	s.maxOpen.Store(&map[string]int{})
	s.client = exchange.New(exchange.Options{
		KeepAlive: func(h http.Header) time.Duration { return platform.DecodeAnswer(0, h).KeepAlive },
		OnConnect: func() { s.metrics.connections.Inc() },
		OnReuse:   func() { s.metrics.reused.Inc() },
		OnSkip:    func(n int64) { s.metrics.skippedBytes.Add(float64(n)) },
		MaxOpen:   func(address string) int { return (*s.maxOpen.Load())[address] },
		Clock:     s.now,
	})
	s.table.SetConnected(s.client.HasIdle)
	return s
}

// Run serves until the context ends and all requests in progress are answered.
func (s *Server) Run(ctx context.Context) error {
	// The work outlives the context, so that a planned shutdown interrupts no request.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	listeners := s.listeners
	if listeners == nil {
		return errors.AssertionFailedf("Run called before Listen")
	}
	//nolint:gosec // The number only distinguishes restarts.
	s.suspects = suspects.New(suspect.NewRegistry(s.addressHash(), rand.Uint64()), s.log)
	//nolint:gosec // Jitter needs no secret randomness.
	s.fleet.Started(s.now(), s.o.Settings.Seeds, s.o.Settings.FirstStart, rand.Uint64())
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return s.control.Run(work) })
	group.Go(func() error { return s.follow(work) })
	if s.o.Settings.Peers != "" {
		group.Go(func() error { return s.exchangeLoop(work) })
		group.Go(func() error { return s.reportLoop(work) })
		group.Go(func() error { return s.confirmLoop(work) })
		for queue := range s.reportQueues {
			group.Go(func() error { return s.streamReportLoop(work, queue) })
		}
	}
	group.Go(func() error { return s.measureLag(work) })
	group.Go(func() error { return s.control.Every(work, sweepInterval, s.sweep) })
	group.Go(func() error { return s.control.Every(work, resourcesInterval, s.logResources) })
	listeners.serve(work, group, s)
	group.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
			s.drain(work)
		case <-work.Done():
		}
		listeners.close()
		return nil
	})
	return group.Wait()
}

// holds reports whether this gateway is one of the first n in rendezvous order for the
// key. It runs in the control loop.
func (s *Server) holds(now time.Time, key uint64, n int) bool { return s.fleet.Holds(now, key, n) }

// sweep removes state that is no longer used. It runs in the control loop.
func (s *Server) sweep(now time.Time) {
	s.expireLost(now)
	s.verifySuspects(now)
	s.suspects.Sweep(now, s.metrics.suspects)
	s.releaseAll(now)
	s.table.ExpireParts(now)
	s.demand.sweep(now)
	s.streams.Sweep(now)
	s.updateVersionKinds(now)
	if end, ok := s.roster.NextExpiry(); ok && !now.Before(end) {
		// The expiry timer fires late after the host was suspended.
		s.applyRoster(now)
	}
	s.updateMaxOpen(now)
	wanted := *s.addresses.Load()
	s.client.Sweep(func(address string) bool { return wanted[address] })
}
