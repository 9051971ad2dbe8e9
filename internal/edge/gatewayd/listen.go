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

	"github.com/gladegauge/gladegauge/internal/core/fleet"
	"github.com/gladegauge/gladegauge/internal/edge/rpc"
	"github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1/gladegaugev1connect"
	"github.com/gladegauge/gladegauge/platform"
)

// Limits of callers' connections until a configuration names others.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// millicoresPerCore converts the capacity of a host to the unit in which gateways report
// it.
const millicoresPerCore = 1000

// listeners are the open ports of a gateway.
type listeners struct {
	callers   net.Listener
	readiness net.Listener
	// metrics is nil if no metrics are served, and peers if the settings name no address
	// for other gateways.
	metrics net.Listener
	peers   net.Listener
	servers []*http.Server
}

// Listen opens the ports. It must be called before Run.
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
	if s.o.Settings.Peers != "" {
		if l.peers, err = s.open("peers", s.o.Settings.Peers); err != nil {
			return err
		}
		s.fleet = fleet.New(s.member(l.peers.Addr().String()))
		s.fleet.Region(s.o.Settings.Region)
	}
	s.listeners = l
	return nil
}

// member returns this gateway as a member of the fleet.
func (s *Server) member(address string) fleet.Member {
	return fleet.Member{
		Address:  address,
		Zone:     s.o.Settings.Zone,
		Start:    uint64(s.now().UnixNano()),
		Capacity: clampUint32(int(millicoresPerCore * s.o.Settings.Cores)),
	}
}

// CallersAddress returns the address for callers.
func (s *Server) CallersAddress() string { return s.listeners.callers.Addr().String() }

// ReadinessAddress returns the address of the readiness check.
func (s *Server) ReadinessAddress() string { return s.listeners.readiness.Addr().String() }

// PeersAddress returns the address for other gateways, which the settings must name.
func (s *Server) PeersAddress() string { return s.listeners.peers.Addr().String() }

// open opens one port and logs its address.
func (s *Server) open(name, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", name)
	}
	s.log.Info().Str("listener", name).Str("address", l.Addr().String()).Msg("listening")
	return l, nil
}

// serve starts the servers. Readiness is served from the start, while callers wait until
// the limits of their connections are known.
func (l *listeners) serve(ctx context.Context, group *errgroup.Group, s *Server) {
	ready := http.NewServeMux()
	ready.HandleFunc(platform.ReadyPath, s.serveReadiness)
	readiness := l.server(ready)
	group.Go(func() error { return l.run(readiness, l.readiness) })
	if l.metrics != nil {
		m := http.NewServeMux()
		m.Handle("/metrics", promhttp.HandlerFor(s.metrics.registry, promhttp.HandlerOpts{}))
		metrics := l.server(m)
		group.Go(func() error { return l.run(metrics, l.metrics) })
	}
	if l.peers != nil {
		m := http.NewServeMux()
		m.Handle(gladegaugev1connect.NewGatewayServiceHandler(s, rpc.LimitRequests, rpc.CompressLargeOnly, rpc.FastCompression))
		peers := l.server(rpc.WithBodyTimeout(m, rpc.BodyTimeout))
		group.Go(func() error { return l.run(peers, l.peers) })
	}
	callers := l.server(s.handler())
	callers.ConnState = s.active.setState
	group.Go(func() error {
		s.awaitLimits(ctx, callers)
		return l.run(callers, callerListener{Listener: l.callers, server: s})
	})
}

// server returns a server with the default limits, to be closed by close.
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

// run serves until close is called.
func (l *listeners) run(server *http.Server, nl net.Listener) error {
	if err := server.Serve(nl); !errors.Is(err, http.ErrServerClosed) {
		return errors.WithStack(err)
	}
	return nil
}

// close closes every server and its remaining connections.
func (l *listeners) close() {
	for _, server := range l.servers {
		_ = server.Close()
	}
}

// handler accepts every path, because the configuration defines the routes.
func (s *Server) handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.Any("/*", s.serve)
	// This covers methods that echo does not list.
	e.RouteNotFound("/*", s.serve)
	return e
}
