package gatewayd

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/internal/edge/program"
	"github.com/gladegauge/gladegauge/platform"
)

// Bounds of callers' connections until a configuration names others.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// limitsPatience is how long the start waits for a configuration, which
	// names these bounds, before callers' connections are taken.
	limitsPatience = 2 * time.Second
)

// stopReserve is kept of the time until the kill to end in order.
const stopReserve = 400 * time.Millisecond

// StopTimes are the times of a planned stop, from its beginning.
type StopTimes struct {
	// LeaveAfter is how long callers may still come after readiness is off.
	LeaveAfter time.Duration
	// LastCallAfter is when requests are refused that still come, so that those
	// in progress end in time.
	LastCallAfter time.Duration
	// QuietFor is how long no request must have come before the process ends.
	QuietFor time.Duration
}

// DefaultStopTimes suit a balancer that asks every second and leaves a host out
// after two misses, and upstreams that work on a request for a few seconds.
func DefaultStopTimes() StopTimes {
	return StopTimes{
		LeaveAfter:    2500 * time.Millisecond,
		LastCallAfter: 3 * time.Second,
		QuietFor:      300 * time.Millisecond,
	}
}

// listeners are the open ports of a gateway.
type listeners struct {
	callers   net.Listener
	readiness net.Listener
	metrics   net.Listener
	servers   []*http.Server
}

// Listen opens the ports. It comes before Run.
func (s *Server) Listen() error {
	l := &listeners{}
	var err error
	if l.callers, err = s.open("callers", s.o.Settings.Callers); err != nil {
		return err
	}
	if l.readiness, err = s.open("readiness", s.o.Settings.Readiness); err != nil {
		return err
	}
	if s.o.MetricsPort > 0 {
		address := net.JoinHostPort(s.o.Settings.IP, strconv.Itoa(s.o.MetricsPort))
		if l.metrics, err = s.open("metrics", address); err != nil {
			return err
		}
	}
	s.listeners = l
	return nil
}

// CallersAddress returns where callers are served.
func (s *Server) CallersAddress() string { return s.listeners.callers.Addr().String() }

// ReadinessAddress returns where readiness is told.
func (s *Server) ReadinessAddress() string { return s.listeners.readiness.Addr().String() }

func (s *Server) open(name, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", name)
	}
	s.log.Info().Str("listener", name).Str("address", l.Addr().String()).Msg("listening")
	return l, nil
}

// serve starts the servers. Readiness is told from the start.
func (l *listeners) serve(ctx context.Context, group *errgroup.Group, s *Server) {
	ready := http.NewServeMux()
	ready.HandleFunc(platform.ReadyPath, s.answerReady)
	readiness := l.server(ready)
	group.Go(func() error { return l.run(readiness, l.readiness) })
	if l.metrics != nil {
		m := http.NewServeMux()
		m.Handle("/metrics", promhttp.HandlerFor(s.metrics.registry, promhttp.HandlerOpts{}))
		metrics := l.server(m)
		group.Go(func() error { return l.run(metrics, l.metrics) })
	}
	callers := l.server(s.handler())
	group.Go(func() error {
		s.awaitLimits(ctx, callers)
		return l.run(callers, l.callers)
	})
}

func (l *listeners) server(h http.Handler) *http.Server {
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:       defaultIdleTimeout,
		MaxHeaderBytes:    defaultHeaderBytes,
	}
	l.servers = append(l.servers, server)
	return server
}

func (l *listeners) run(server *http.Server, nl net.Listener) error {
	if err := server.Serve(nl); !errors.Is(err, http.ErrServerClosed) {
		return errors.WithStack(err)
	}
	return nil
}

func (l *listeners) close() {
	for _, server := range l.servers {
		_ = server.Close()
	}
}

// awaitLimits takes the bounds of callers' connections from the first
// configuration. Later ones hold from the next start on.
func (s *Server) awaitLimits(ctx context.Context, server *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, limitsPatience)
	defer cancel()
	if err := program.WaitUntil(ctx, func() bool { return s.view.Load().Table != nil }); err != nil {
		s.log.Warn().Dur("waited", limitsPatience).Msg("no configuration yet; callers' connections get the default bounds")
		return
	}
	limits := s.view.Load().Table.Limits
	if limits.HeaderBytes > 0 {
		server.MaxHeaderBytes = limits.HeaderBytes
	}
	if limits.HeaderTimeout > 0 {
		server.ReadHeaderTimeout = limits.HeaderTimeout
	}
	if limits.IdleTimeout > 0 {
		server.IdleTimeout = limits.IdleTimeout
	}
}

// handler takes every path: the configuration decides what there is.
func (s *Server) handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.Any("/*", s.serve)
	// Methods that echo does not list come here.
	e.RouteNotFound("/*", s.serve)
	return e
}

func (s *Server) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ready reports whether the gateway takes new callers.
func (s *Server) ready() bool {
	view := s.view.Load()
	return s.stoppingAt.Load() == nil && view.Table != nil && !view.NewestAt.IsZero()
}

// drain ends new work and returns when nothing is in progress, or shortly
// before the process would be killed.
func (s *Server) drain(ctx context.Context) {
	stop := s.o.Stop
	began := time.Now()
	s.stoppingAt.Store(&began)
	s.log.Info().Int64("in_progress", s.inFlight.Load()).Msg("planned stop: not ready for new callers")
	limit := max(stop.LeaveAfter, s.o.Settings.Bounds.StopWithin-stopReserve)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := program.WaitUntil(ctx, func() bool {
		took := time.Since(began)
		quiet := took >= stop.LastCallAfter || time.Since(time.Unix(0, s.lastSeen.Load())) >= stop.QuietFor
		return took >= stop.LeaveAfter && quiet && s.inFlight.Load() == 0
	})
	if err != nil {
		s.log.Warn().Int64("cut", s.inFlight.Load()).Dur("after", limit).Msg("planned stop: out of time")
	}
}
