// Package entryd implements the entry process: it accepts requests from callers, forwards
// them to agents and relays the responses.
//
// Callers speak the OpenAI-compatible HTTP API to model engines, and plain HTTP
// to plain services. The class of a request comes from a header, or from the
// organisation's default for the model.
//
// # Usage
//
//	s, err := entryd.New(&options)
//	code := program.Run(ctx, log, s.Service())
package entryd

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/internal/core/burn"
	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/entry"
	"github.com/gladegauge/gladegauge/internal/core/member"
	"github.com/gladegauge/gladegauge/internal/core/route"
	"github.com/gladegauge/gladegauge/internal/edge/clock"
	"github.com/gladegauge/gladegauge/internal/edge/loop"
	"github.com/gladegauge/gladegauge/internal/edge/metrics"
	"github.com/gladegauge/gladegauge/internal/edge/ops"
	"github.com/gladegauge/gladegauge/internal/edge/platform"
	"github.com/gladegauge/gladegauge/internal/edge/program"
	"github.com/gladegauge/gladegauge/internal/edge/rpc"
	"github.com/gladegauge/gladegauge/internal/edge/spread"
	"github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1/gladegaugev1connect"
)

// Intervals and limits of the process.
const (
	tickInterval = 250 * time.Millisecond
	// maxCallerHeader limits the size of the headers of a request.
	maxCallerHeader = 64 << 10
	// callerHeaderTimeout and callerBodyTimeout limit the time for sending a request.
	callerHeaderTimeout = 5 * time.Second
	callerBodyTimeout   = 30 * time.Second
	callerIdleTimeout   = 2 * time.Minute
)

// Options are the settings of an entry process.
type Options struct {
	program.Common
	Listen     string
	CallerCert string
	CallerKey  string
	MaxBody    int
	DrainGrace time.Duration
	// ReadTimeout is the time within which a caller must read a chunk of the response.
	ReadTimeout time.Duration
	Log         zerolog.Logger
}

// Server is an entry process.
type Server struct {
	o *Options
	// now returns the current time.
	now          func() time.Time
	loop         *loop.Loop
	metrics      *metrics.Metrics
	sync         *spread.Sync
	rpcHTTP      *http.Client
	leaving      atomic.Bool
	ready        atomic.Bool
	inFlight     atomic.Int64
	callerServer *http.Server
	// snapshot is the current configuration, as read by request goroutines.
	snapshot atomic.Pointer[config.Config]
	// The fields below belong to the control loop.
	entry   *entry.Entry
	members *member.Set
	burn    *burn.Ledger
}

// New returns a server that is not listening yet.
func New(o *Options) (*Server, error) {
	now := clock.New().Now
	s := &Server{
		o:       o,
		now:     now,
		loop:    loop.New(now),
		metrics: metrics.New(prometheus.NewRegistry()),
		members: member.NewSet(),
		burn:    burn.NewLedger(),
	}
	o.Keys.OnLoad = func(t time.Time) { s.metrics.CertExpiry.Set(float64(t.Unix())) }
	client, err := o.Keys.Client()
	if err != nil {
		return nil, err
	}
	s.rpcHTTP = client
	count := func(kind, result string) { s.metrics.PlatformCalls.WithLabelValues(kind, result).Inc() }
	s.sync = spread.New(spread.Options{
		Self:      member.Host{ID: o.ID, Role: member.Entry, Zone: o.Zone},
		Loop:      s.loop,
		Platform:  platform.New(o.Platform, platform.NewHTTPClient(), count),
		HTTP:      client,
		URL:       o.Keys.URL,
		Seeds:     program.SplitList(o.Seeds),
		Metrics:   s.metrics,
		Log:       o.Log,
		OnConfig:  s.onConfig,
		OnMembers: s.onMembers,
	})
	return s, nil
}

// onConfig applies a configuration. It runs in the control loop.
func (s *Server) onConfig(_ time.Time, cfg *config.Config) {
	if s.entry == nil {
		options := entry.Options{Route: route.Options{Entry: s.o.ID, Zone: s.o.Zone}}
		s.entry = entry.New(options, cfg, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))) //nolint:gosec // Picking agents needs no secrecy.
		s.entry.SetMembers(s.members)
	}
	s.entry.SetConfig(cfg)
	s.snapshot.Store(cfg)
}

// onMembers applies a list of hosts. It runs in the control loop.
func (s *Server) onMembers(_ time.Time, members *member.Set) {
	s.members = members
	if s.entry != nil {
		s.entry.SetMembers(members)
	}
}

// Service returns the functions that run and drain the process.
func (s *Server) Service() program.Service {
	return program.Service{
		Run:        s.run,
		Drain:      s.drain,
		InProgress: func() int { return int(s.inFlight.Load()) },
	}
}

func (s *Server) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	if err := s.serveCallers(ctx, group); err != nil {
		return err
	}
	if err := s.o.Serve(ctx, group, s.o.Log, s.rpcHandler(), ops.Handler(s.metrics.Registry, s.notReadyReason)); err != nil {
		return err
	}
	group.Go(func() error { return s.loop.Run(ctx) })
	group.Go(func() error { return s.sync.Run(ctx) })
	group.Go(func() error { return s.loop.Every(ctx, tickInterval, s.tick) })
	return group.Wait()
}

// serveCallers starts the server for callers.
func (s *Server) serveCallers(ctx context.Context, group *errgroup.Group) error {
	l, err := program.Listen(s.o.Log, "listen", s.o.Listen)
	if err != nil {
		return err
	}
	s.callerServer = &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: callerHeaderTimeout,
		MaxHeaderBytes:    maxCallerHeader,
		IdleTimeout:       callerIdleTimeout,
	}
	group.Go(func() error {
		var err error
		if s.o.CallerCert != "" {
			err = s.callerServer.ServeTLS(l, s.o.CallerCert, s.o.CallerKey)
		} else {
			err = s.callerServer.Serve(l)
		}
		return rpc.IgnoreClosed(err)
	})
	group.Go(func() error {
		<-ctx.Done()
		_ = s.callerServer.Close()
		return nil
	})
	return nil
}

func (s *Server) rpcHandler() http.Handler {
	mux := http.NewServeMux()
	path, h := gladegaugev1connect.NewPeerServiceHandler(s.sync, rpc.CompressLargeOnly)
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

func (s *Server) tick(now time.Time) {
	s.sync.Tick(now)
	s.ready.Store(s.sync.Ready())
}

// drain waits for load balancers to notice that the entry is not ready, then stops
// listening and waits for requests in progress.
func (s *Server) drain(ctx context.Context) error {
	s.leaving.Store(true)
	s.metrics.Leaving.Set(1)
	t := time.NewTimer(s.o.DrainGrace)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return s.callerServer.Shutdown(ctx)
}
