// Package agentd is the agent's process: it joins the core agent to the
// entries' streams, the upstream and the operators.
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

// Times of the process.
const (
	tickEvery  = 100 * time.Millisecond
	probeEvery = 500 * time.Millisecond
	probeLimit = 2 * time.Second
	// probeFailures is the number of failed probes in a row that put the
	// upstream down.
	probeFailures = 2
)

// Options are the settings of an agent process.
type Options struct {
	program.Common
	Pool        string
	UpstreamURL string
	Log         zerolog.Logger
}

// Server is one agent process.
type Server struct {
	o        *Options
	loop     *loop.Loop
	metrics  *metrics.Metrics
	sync     *spread.Sync
	upstream *upstream.Client
	rpcHTTP  *http.Client
	leaving  atomic.Bool
	ready    atomic.Bool
	// receivers are the goroutines that read the entries' streams.
	receivers errgroup.Group
	booted    time.Time
	// The fields below belong to the control loop.
	incarnation string
	// configuredAt is when the configuration in force was taken.
	configuredAt time.Time
	agent        *agent.Agent
	ends         upstreamEnds
	sessions     map[string]*session
}

// New returns a server that does not listen yet.
func New(o *Options) (*Server, error) {
	now := clock.New().Now
	s := &Server{
		o:           o,
		loop:        loop.New(now),
		metrics:     metrics.New(prometheus.NewRegistry()),
		incarnation: randomName()[:incarnationLength],
		booted:      now(),
		sessions:    make(map[string]*session),
	}
	s.o.Keys.Expiry = func(t time.Time) { s.metrics.CertExpiry.Set(float64(t.Unix())) }
	client, err := s.o.Keys.Client()
	if err != nil {
		return nil, err
	}
	s.rpcHTTP = client
	s.upstream = upstream.New(o.UpstreamURL, &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: config.MaxSlots,
		DisableCompression:  true,
	}})
	count := func(kind, result string) { s.metrics.PlatformCalls.WithLabelValues(kind, result).Inc() }
	s.sync = spread.New(spread.Options{
		Self:      member.Host{ID: o.ID, Role: member.Agent, Zone: o.Zone, Pool: o.Pool},
		Loop:      s.loop,
		Platform:  platform.New(o.Platform, http.DefaultClient, count),
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

// incarnationLength is enough to tell the lives of one agent apart.
const incarnationLength = 16

// randomName returns 16 random bytes as text.
func randomName() string {
	b := make([]byte, 16)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// onConfig takes a configuration into force. It runs in the control loop.
func (s *Server) onConfig(now time.Time, cfg *config.Config) {
	s.configuredAt = now
	slots := 1
	if p, ok := cfg.Pool(s.o.Pool); ok {
		slots = p.Slots
	} else {
		s.o.Log.Error().Str("pool", s.o.Pool).Msg("the configuration has no such pool; one slot is used")
	}
	if s.agent == nil {
		s.agent = agent.New(agent.Options{
			Incarnation: s.incarnation,
			Slots:       slots,
			NewKey:      randomName,
		}, cfg)
		return
	}
	s.apply(s.agent.Configure(now, cfg, slots))
}

// Service returns the work of the process.
func (s *Server) Service() program.Service {
	return program.Service{Run: s.run, Drain: s.drain, InProgress: s.inProgress}
}

func (s *Server) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	if err := s.o.Serve(ctx, group, s.o.Log, s.handler(), ops.Handler(s.metrics.Registry, s.notReady)); err != nil {
		return err
	}
	group.Go(func() error { return s.loop.Run(ctx) })
	group.Go(func() error { return s.sync.Run(ctx) })
	group.Go(func() error { return s.loop.Every(ctx, tickEvery, s.tick) })
	group.Go(func() error { return s.probe(ctx) })
	group.Go(func() error { return s.orderLoop(ctx) })
	return group.Wait()
}

// handler routes the calls of other processes and of operators.
func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	path, h := gladegaugev1connect.NewAgentServiceHandler(s, rpc.SmallMessages)
	mux.Handle(path, s.o.Keys.Only(h, rpc.RoleEntry))
	path, h = gladegaugev1connect.NewPeerServiceHandler(s.sync, rpc.SmallMessages)
	mux.Handle(path, s.o.Keys.Only(h, rpc.RoleEntry, rpc.RoleAgent))
	path, h = gladegaugev1connect.NewOperatorServiceHandler(&operator{s: s})
	mux.Handle(path, s.o.Keys.Only(h, rpc.RoleOperator))
	return mux
}

func (s *Server) notReady() string {
	switch {
	case s.leaving.Load():
		return "leaving"
	case !s.ready.Load():
		return "no confirmed configuration"
	default:
		return ""
	}
}

// tick lets time pass in the control state.
func (s *Server) tick(now time.Time) {
	s.sync.Tick(now)
	s.ready.Store(s.sync.Ready())
	if s.agent == nil {
		return
	}
	for id, sess := range s.sessions {
		s.agent.Progress(now, id, int(sess.tokens.Load()))
	}
	s.apply(s.agent.Tick(now))
	queued, running := s.agent.Counts(s.classes())
	for class, n := range queued {
		s.metrics.Queued.WithLabelValues(class).Set(float64(n))
		s.metrics.Running.WithLabelValues(class).Set(float64(running[class]))
	}
}

// classes returns the classes that the pool serves. It runs in the control
// loop.
func (s *Server) classes() []string {
	p, ok := s.sync.Config().Pool(s.o.Pool)
	if !ok {
		return nil
	}
	return p.Classes
}

// apply hands each effect to its session. It runs in the control loop.
func (s *Server) apply(effects []agent.Effect) {
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
			sess.signals <- effect
		}
	}
}

// drain stops new work and waits for what is in progress.
func (s *Server) drain(ctx context.Context) error {
	s.leaving.Store(true)
	s.metrics.Leaving.Set(1)
	s.loop.Must(func(now time.Time) {
		if s.agent != nil {
			s.apply(s.agent.Drain(now))
		}
	})
	return program.WaitUntil(ctx, func() bool { return s.inProgress() == 0 })
}

func (s *Server) inProgress() int {
	n := 0
	s.loop.Must(func(time.Time) { n = len(s.sessions) })
	return n
}

// probe puts the upstream down while it does not answer.
func (s *Server) probe(ctx context.Context) error {
	failures := 0
	down := false
	for loop.Pause(ctx, probeEvery) {
		probeCtx, cancel := context.WithTimeout(ctx, probeLimit)
		healthy := s.upstream.Healthy(probeCtx)
		cancel()
		failures++
		if healthy {
			failures = 0
			s.loop.Must(func(time.Time) { s.ends.alive() })
		}
		if next := failures >= probeFailures; next != down && (next || healthy) {
			down = next
			s.setDown(down)
		}
	}
	return nil
}

// rest leaves the upstream alone for the time that it asks for.
func (s *Server) rest(d time.Duration) {
	s.o.Log.Warn().Dur("rest", d).Msg("upstream asks for rest")
	s.loop.Must(func(now time.Time) { s.apply(s.agent.Rest(now, d)) })
}

func (s *Server) setDown(down bool) {
	s.o.Log.Warn().Bool("down", down).Msg("upstream changed")
	value := 0.0
	if down {
		value = 1
	}
	s.metrics.UpstreamDown.Set(value)
	s.loop.Must(func(now time.Time) {
		if s.agent != nil {
			s.apply(s.agent.SetDown(now, down))
		}
	})
}
