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

// Times of a planned stop.
const (
	// leaveAfter is how long callers may still come after readiness is off:
	// the balancer asks every second and needs two misses.
	leaveAfter = 2500 * time.Millisecond
	// lastCallAfter is when requests are refused that still come, so that those
	// in progress end in time. Upstreams may work on a request for seconds.
	lastCallAfter = 3 * time.Second
	// quietFor is how long no request must have come before the listener closes.
	quietFor = 300 * time.Millisecond
	// stopReserve is kept of the time until the kill to end in order.
	stopReserve = 400 * time.Millisecond
)

// listeners are the open ports of a gateway.
type listeners struct {
	callers   net.Listener
	readiness net.Listener
	metrics   net.Listener
	servers   []*http.Server
}

func (s *Server) listen() (*listeners, error) {
	l := &listeners{}
	var err error
	if l.callers, err = s.open("callers", s.o.Settings.Callers); err != nil {
		return nil, err
	}
	if l.readiness, err = s.open("readiness", s.o.Settings.Readiness); err != nil {
		return nil, err
	}
	if s.o.MetricsPort == 0 {
		return l, nil
	}
	address := net.JoinHostPort(s.o.Settings.IP, strconv.Itoa(s.o.MetricsPort))
	if l.metrics, err = s.open("metrics", address); err != nil {
		return nil, err
	}
	return l, nil
}

func (s *Server) open(name, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", name)
	}
	s.log.Info().Str("listener", name).Str("address", l.Addr().String()).Msg("listening")
	return l, nil
}

// serve starts the servers. Readiness is told from the start.
func (l *listeners) serve(group *errgroup.Group, s *Server) {
	ready := http.NewServeMux()
	ready.HandleFunc(platform.ReadyPath, s.answerReady)
	group.Go(func() error { return l.run(l.server(ready), l.readiness) })
	if l.metrics != nil {
		m := http.NewServeMux()
		m.Handle("/metrics", promhttp.HandlerFor(s.metrics.registry, promhttp.HandlerOpts{}))
		group.Go(func() error { return l.run(l.server(m), l.metrics) })
	}
	callers := l.server(s.handler())
	group.Go(func() error {
		s.awaitLimits(callers)
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
func (s *Server) awaitLimits(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), limitsPatience)
	defer cancel()
	if err := waitUntil(ctx, func() bool { return s.view.Load().Table != nil }); err != nil {
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
	return s.stoppingAt.Load() == nil && s.view.Load().Table != nil
}

// drain ends new work and returns when nothing is in progress, or shortly
// before the process would be killed.
func (s *Server) drain(ctx context.Context) {
	began := time.Now()
	s.stoppingAt.Store(&began)
	s.log.Info().Int64("in_progress", s.inFlight.Load()).Msg("planned stop: not ready for new callers")
	limit := max(leaveAfter, s.o.Settings.Bounds.StopWithin-stopReserve)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := waitUntil(ctx, func() bool {
		took := time.Since(began)
		quiet := took >= lastCallAfter || time.Since(time.Unix(0, s.lastSeen.Load())) >= quietFor
		return took >= leaveAfter && quiet && s.inFlight.Load() == 0
	})
	if err != nil {
		s.log.Warn().Int64("cut", s.inFlight.Load()).Dur("after", limit).Msg("planned stop: out of time")
	}
}

// waitUntil asks again and again until the condition holds.
func waitUntil(ctx context.Context, done func() bool) error {
	const every = 20 * time.Millisecond
	t := time.NewTicker(every)
	defer t.Stop()
	for !done() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		}
	}
	return nil
}
