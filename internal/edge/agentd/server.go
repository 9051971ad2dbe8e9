// Package agentd implements the agent process: it connects the agent of the core to the
// streams of entries, the upstream and operators.
//
// # Usage
//
//	s, err := agentd.New(options)
//	code := program.Run(ctx, log, s.Service())
package agentd

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/internal/core/agent"
	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/member"
	"github.com/gladegauge/gladegauge/internal/edge/clock"
	"github.com/gladegauge/gladegauge/internal/edge/loop"
	"github.com/gladegauge/gladegauge/internal/edge/metrics"
	"github.com/gladegauge/gladegauge/internal/edge/ops"
	"github.com/gladegauge/gladegauge/internal/edge/platform"
	"github.com/gladegauge/gladegauge/internal/edge/program"
	"github.com/gladegauge/gladegauge/internal/edge/rpc"
	"github.com/gladegauge/gladegauge/internal/edge/spread"
	"github.com/gladegauge/gladegauge/internal/edge/upstream"
	"github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1/gladegaugev1connect"
)

// Intervals and limits of the process.
const (
	tickInterval  = 100 * time.Millisecond
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 2 * time.Second
	// probeFailureThreshold is the number of consecutive failed probes after which the
	// upstream is considered down.
	probeFailureThreshold = 2
)

// Options are the settings of an agent process.
type Options struct {
	program.Common
	Pool        string
	UpstreamURL string
	Log         zerolog.Logger
}

// Server is an agent process.
type Server struct {
	o        *Options
	loop     *loop.Loop
	metrics  *metrics.Metrics
	sync     *spread.Sync
	upstream *upstream.Client
	rpcHTTP  *http.Client
	leaving  atomic.Bool
	ready    atomic.Bool
	// receivers are the goroutines that receive from the streams of entries.
	receivers errgroup.Group
	startedAt time.Time
	// The fields below belong to the control loop.
	incarnation string
	// configuredAt is the time at which the current configuration was applied.
	configuredAt time.Time
	agent        *agent.Agent
	crashes      crashCounter
	sessions     map[string]*session
}

// New returns a server that is not listening yet.
func New(o *Options) (*Server, error) {
	now := clock.New().Now
	s := &Server{
		o:           o,
		loop:        loop.New(now),
		metrics:     metrics.New(prometheus.NewRegistry()),
		incarnation: randomHex()[:incarnationLength],
		startedAt:   now(),
		sessions:    make(map[string]*session),
	}
	s.o.Keys.OnLoad = func(t time.Time) { s.metrics.CertExpiry.Set(float64(t.Unix())) }
	client, err := s.o.Keys.Client()
	if err != nil {
		return nil, err
	}
	s.rpcHTTP = client
	s.upstream = upstream.New(o.UpstreamURL, upstream.NewHTTPClient())
	count := func(kind, result string) { s.metrics.PlatformCalls.WithLabelValues(kind, result).Inc() }
	s.sync = spread.New(spread.Options{
		Self:      member.Host{ID: o.ID, Role: member.Agent, Zone: o.Zone, Pool: o.Pool},
		Loop:      s.loop,
		Platform:  platform.New(o.Platform, platform.NewHTTPClient(), count),
		HTTP:      client,
		URL:       s.o.Keys.URL,
		Seeds:     program.SplitList(o.Seeds),
		Metrics:   s.metrics,
		Log:       o.Log,
		OnConfig:  s.onConfig,
		OnMembers: func(time.Time, *member.Set) {},
	})
	return s, nil
}

// incarnationLength is long enough to distinguish the incarnations of one agent.
const incarnationLength = 16

// randomHex returns 16 random bytes in hexadecimal.
func randomHex() string {
	b := make([]byte, 16)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// onConfig applies a configuration. It runs in the control loop.
func (s *Server) onConfig(now time.Time, cfg *config.Config) {
	s.configuredAt = now
	slots := 1
	if p, ok := cfg.Pool(s.o.Pool); ok {
		slots = p.Slots
	} else {
		s.o.Log.Error().Str("pool", s.o.Pool).Msg("pool is not in the configuration; using one slot")
	}
	if s.agent == nil {
		s.agent = agent.New(agent.Options{
			Incarnation: s.incarnation,
			Slots:       slots,
			NewKey:      randomHex,
		}, cfg)
		return
	}
	s.deliver(s.agent.Configure(now, cfg, slots))
}

// Service returns the functions that run and drain the process.
func (s *Server) Service() program.Service {
	return program.Service{Run: s.run, Drain: s.drain, InProgress: s.inProgress}
}

func (s *Server) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	if err := s.o.Serve(ctx, group, s.o.Log, s.handler(), ops.Handler(s.metrics.Registry, s.notReadyReason)); err != nil {
		return err
	}
	group.Go(func() error { return s.loop.Run(ctx) })
	group.Go(func() error { return s.sync.Run(ctx) })
	group.Go(func() error { return s.loop.Every(ctx, tickInterval, s.tick) })
	group.Go(func() error { return s.probe(ctx) })
	group.Go(func() error { return s.reconcileLoop(ctx) })
	return group.Wait()
}

// handler routes the calls of other processes and of operators.
func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	path, h := gladegaugev1connect.NewAgentServiceHandler(s, rpc.CompressLargeOnly)
	mux.Handle(path, s.o.Keys.RequireRole(h, rpc.RoleEntry))
	path, h = gladegaugev1connect.NewPeerServiceHandler(s.sync, rpc.CompressLargeOnly)
	mux.Handle(path, s.o.Keys.RequireRole(h, rpc.RoleEntry, rpc.RoleAgent))
	path, h = gladegaugev1connect.NewOperatorServiceHandler(&operatorService{s: s})
	mux.Handle(path, s.o.Keys.RequireRole(h, rpc.RoleOperator))
	return mux
}

func (s *Server) notReadyReason() string {
	switch {
	case s.leaving.Load():
		return "leaving"
	case !s.ready.Load():
		return "no confirmed configuration"
	default:
		return ""
	}
}

// tick updates the time-dependent control state and the gauges.
func (s *Server) tick(now time.Time) {
	s.sync.Tick(now)
	s.ready.Store(s.sync.Ready())
	if s.agent == nil {
		return
	}
	for id, sess := range s.sessions {
		s.agent.Progress(now, id, int(sess.tokens.Load()))
	}
	s.deliver(s.agent.Tick(now))
	queued, running := s.agent.Counts(s.classes())
	for class, n := range queued {
		s.metrics.Queued.WithLabelValues(class).Set(float64(n))
		s.metrics.Running.WithLabelValues(class).Set(float64(running[class]))
	}
}

// classes returns the classes that the pool serves. It runs in the control loop.
func (s *Server) classes() []string {
	p, ok := s.sync.Config().Pool(s.o.Pool)
	if !ok {
		return nil
	}
	return p.Classes
}

// deliver sends each effect to its session. It runs in the control loop.
func (s *Server) deliver(effects []agent.Effect) {
	for _, effect := range effects {
		var id string
		switch e := effect.(type) {
		case agent.Grant:
			id = e.ID
		case agent.Refuse:
			id = e.ID
		case agent.Start:
			id = e.ID
		case agent.Stop:
			id = e.ID
			if e.Preempted {
				s.metrics.Preemptions.Inc()
			}
		case agent.Fail:
			id = e.ID
		}
		if sess, ok := s.sessions[id]; ok {
			sess.effectQueue <- effect
		}
	}
}

// drain stops the admission of new work and waits for work in progress.
func (s *Server) drain(ctx context.Context) error {
	s.leaving.Store(true)
	s.metrics.Leaving.Set(1)
	s.loop.DoWithoutCancel(func(now time.Time) {
		if s.agent != nil {
			s.deliver(s.agent.Drain(now))
		}
	})
	return program.WaitUntil(ctx, func() bool { return s.inProgress() == 0 })
}

func (s *Server) inProgress() int {
	n := 0
	s.loop.DoWithoutCancel(func(time.Time) { n = len(s.sessions) })
	return n
}

// probe marks the upstream as down while it fails health probes.
func (s *Server) probe(ctx context.Context) error {
	failures := 0
	down := false
	for loop.Sleep(ctx, probeInterval) {
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		healthy := s.upstream.Healthy(probeCtx)
		cancel()
		failures++
		if healthy {
			failures = 0
			s.loop.DoWithoutCancel(func(time.Time) { s.crashes.recordResponse() })
		}
		if next := failures >= probeFailureThreshold; next != down && (next || healthy) {
			down = next
			s.setDown(down)
		}
	}
	return nil
}

// backoff starts a backoff of the duration that the upstream requested.
func (s *Server) backoff(d time.Duration) {
	s.o.Log.Warn().Dur("rest", d).Msg("upstream requested a backoff")
	s.loop.DoWithoutCancel(func(now time.Time) { s.deliver(s.agent.Backoff(now, d)) })
}

func (s *Server) setDown(down bool) {
	s.o.Log.Warn().Bool("down", down).Msg("upstream availability changed")
	value := 0.0
	if down {
		value = 1
	}
	s.metrics.UpstreamDown.Set(value)
	s.loop.DoWithoutCancel(func(now time.Time) {
		if s.agent != nil {
			s.deliver(s.agent.SetDown(now, down))
		}
	})
}
