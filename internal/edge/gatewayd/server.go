// Package gatewayd runs a gateway: an entry that calls upstreams itself.
//
// It is for deployments where upstreams order their own queues and no process
// of the project stands before them. The decisions are those of the core
// packages gateway, ingress, balance, fleet and retry; this package carries
// requests and answers, follows the platform's store or a gateway that reads it,
// and stops without cutting a request off.
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
	"github.com/gladegauge/gladegauge/internal/core/suspect"
	"github.com/gladegauge/gladegauge/internal/edge/clock"
	"github.com/gladegauge/gladegauge/internal/edge/exchange"
	"github.com/gladegauge/gladegauge/internal/edge/loop"
	"github.com/gladegauge/gladegauge/internal/edge/suspects"
	"github.com/gladegauge/gladegauge/platform"
)

// sweepEvery is how often idle connections are looked through.
const sweepEvery = time.Second

// Options are the settings of a gateway.
type Options struct {
	Settings platform.Settings
	// SettingsPath is the file that the settings came from.
	SettingsPath string
	// MetricsPort serves the metrics on this host's address; 0 for none.
	MetricsPort int
	Stop        StopTimes
	// Clock returns the present time, by a clock that goes on while the host is
	// suspended (package clock); that of the host if it is nil.
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
	// addresses are those of the upstreams on the list.
	addresses atomic.Pointer[map[string]bool]
	// closed is what upstreams said of themselves, for a last look before a request goes out.
	closed  atomic.Pointer[notice.Closed]
	bounds  atomic.Pointer[gateway.Bounds]
	client  *exchange.Client
	metrics *meters
	// traffic is the transport of peerClient, which calls other gateways.
	traffic    *traffic
	peerClient *http.Client
	listeners  *listeners
	// inFlight is the number of requests in progress.
	inFlight atomic.Int64
	// lastSeen is when the latest request came, in nanoseconds since 1970; 0
	// before the first.
	lastSeen atomic.Int64
	// stoppingAt is when the planned stop began; nil before.
	stoppingAt atomic.Pointer[time.Time]

	// Only the control goroutine touches these.
	table  *balance.Table
	roster *roster.Roster
	// lapseTimer ends the time of the first lapsed entry; nil if there is none.
	lapseTimer *time.Timer
	// budgets bound the retries of each pool.
	budgets map[string]*retry.Window
	fleet   *fleet.Fleet
	// occupancy is what other gateways told that they have at the upstreams.
	occupancy *occupancy.Book
	// ownAt is when the sums saw last what this gateway itself has.
	ownAt time.Time
	// kept is what gateways told of the prompts that engines keep.
	kept *occupancy.PartLog
	// promised are the operators' bounds of the latest settings.
	promised platform.Bounds
	// gateways is the number of gateways that the retry budget is split over.
	gateways int
	// sizeLogged is the number that was logged last.
	sizeLogged int
	// suspects are the requests under which upstreams ended, and lost those that broke
	// off a moment ago.
	suspects *suspects.Book
	lost     []suspects.Failure
	feed     *feed.Feed
	// written is the configuration as the store held it when it was read here last,
	// settling the time in which a store that came back from a copy proves nothing.
	written  written
	settling settling
	// feedChanged is closed when there is news for followers.
	feedChanged chan struct{}
	// readAt is when the store was asked, by whomever, for all that is known here; zero if
	// that is not known.
	readAt time.Time
	// storeLostAt is when a call to the store failed last, storeFailedAt the same for any
	// gateway that this one heard of.
	storeLostAt   time.Time
	storeFailedAt time.Time
	// configUnread is true while the newest configuration cannot be read.
	configUnread bool
}

// New returns a gateway that does not run yet.
func New(o *Options) *Server {
	now := o.Clock
	if now == nil {
		now = clock.New().Now
	}
	s := &Server{
		o:           o,
		log:         o.Log,
		now:         now,
		control:     loop.New(now),
		table:       balance.New(o.Settings.Zone),
		roster:      roster.New(),
		budgets:     make(map[string]*retry.Window),
		fleet:       fleet.New(fleet.Member{Zone: o.Settings.Zone}),
		occupancy:   occupancy.New(),
		kept:        occupancy.NewPartLog(),
		gateways:    assumedGateways,
		sizeLogged:  assumedGateways,
		promised:    o.Settings.Bounds,
		feed:        feed.New(),
		feedChanged: make(chan struct{}),
	}
	bounds := boundsOf(o.Settings.Bounds)
	s.bounds.Store(&bounds)
	s.table.SetColdLimits(coldLimits(o.Settings.Bounds), s.holds)
	s.table.SetLimitBounds(limitBounds(), func() int { return s.fleet.Remembered() })
	s.view.Store(&ingress.View{})
	s.metrics = newMeters(o.LogsDropped, func() uint64 { return ageOf(s.view.Load(), s.now()) })
	s.traffic = newTraffic(s.metrics.peerBytes)
	s.peerClient = &http.Client{Transport: s.traffic}
	s.addresses.Store(&map[string]bool{})
	s.closed.Store(&notice.Closed{})
	s.client = exchange.New(exchange.Options{
		KeepFor:   func(h http.Header) time.Duration { return platform.DecodeAnswer(0, h).KeepFor },
		OnConnect: func() { s.metrics.connections.Inc() },
		Clock:     s.now,
	})
	return s
}

// Run serves until the context ends and what was in progress has its answer.
func (s *Server) Run(ctx context.Context) error {
	// The work outlives the context: a planned stop cuts nothing.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	listeners := s.listeners
	if listeners == nil {
		return errors.AssertionFailedf("Run needs Listen first")
	}
	//nolint:gosec // The number only tells starts apart.
	s.suspects = suspects.New(suspect.NewRegistry(s.hash(), rand.Uint64()), s.log)
	//nolint:gosec // Jitter needs no secret randomness.
	s.fleet.Started(s.now(), s.o.Settings.Seeds, s.o.Settings.FirstStart, rand.Uint64())
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return s.control.Run(work) })
	group.Go(func() error { return s.follow(work) })
	if s.o.Settings.Peers != "" {
		group.Go(func() error { return s.exchangeLoop(work) })
		group.Go(func() error { return s.tellLoop(work) })
	}
	group.Go(func() error { return s.control.Every(work, sweepEvery, s.sweep) })
	group.Go(func() error { return s.control.Every(work, resourcesEvery, s.logResources) })
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

// holds reports whether this gateway is one of the first n for the key. It runs in the
// control goroutine.
func (s *Server) holds(now time.Time, key uint64, n int) bool { return s.fleet.Holds(now, key, n) }

// sweep forgets what is no longer used. It runs in the control goroutine.
func (s *Server) sweep(now time.Time) {
	s.suspects.Sweep(now, s.metrics.suspects)
	s.table.ForgetParts(now)
	if end, ok := s.roster.NextExpiry(); ok && !now.Before(end) {
		// The timer goes off late after a suspension.
		s.applyRoster(now)
	}
	wanted := *s.addresses.Load()
	s.client.Sweep(func(address string) bool { return wanted[address] })
}
