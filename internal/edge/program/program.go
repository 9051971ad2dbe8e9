// Package program contains what all long-running programs share: common settings, listeners
// and graceful shutdown.
//
// # Usage
//
//	var common program.Common
//	common.Declare(settings)
//	code := program.Run(ctx, log, service)
package program

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/edge/logging"
	"github.com/gladegauge/gladegauge/internal/edge/rpc"
	"github.com/gladegauge/gladegauge/internal/edge/settings"
)

// Exit codes of the programs.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2
)

// gcPercent is the garbage collector's target, in percent of the live heap.
const gcPercent = 100

// Common are the settings of every long-running program.
type Common struct {
	ID       string
	Zone     string
	RPC      string
	Ops      string
	Platform string
	Seeds    string
	LogLevel string
	Keys     rpc.Keys
}

// Declare declares the common settings.
func (c *Common) Declare(s *settings.Set) {
	s.String(&c.ID, "id", "", "identity of this process, as the platform lists it", settings.Required, settings.Name)
	s.String(&c.Zone, "zone", "", "availability zone of this process", settings.Required, settings.Name)
	s.String(&c.RPC, "rpc-listen", "127.0.0.1:0", "IP number and port for the other processes", settings.AddrPort)
	s.String(&c.Ops, "ops-listen", "127.0.0.1:0", "IP number and port of /metrics, /healthz and /readyz", settings.AddrPort)
	s.String(&c.Platform, "platform-url", "", "address of the platform's configuration service", settings.Required, settings.URL)
	s.String(&c.Seeds, "seeds", "", "addresses of processes to ask while no host list is known, with commas", addresses)
	s.String(&c.LogLevel, "log-level", "info", "lowest level of log lines", settings.OneOf(logging.Levels...))
	s.String(&c.Keys.Cert, "tls-cert", "", "certificate file of this process", settings.File)
	s.String(&c.Keys.Key, "tls-key", "", "private key file of this process", settings.File)
	s.String(&c.Keys.CA, "tls-ca", "", "file of the authorities that other processes' certificates must come from", settings.File)
	s.Bool(&c.Keys.Plaintext, "insecure-plaintext", false, "talk to the other processes without TLS")
}

func addresses(value string) string {
	for _, a := range SplitList(value) {
		if problem := settings.AddrPort(a); problem != "" {
			return problem
		}
	}
	return ""
}

// SplitList splits a comma-separated list. An empty string is an empty list.
func SplitList(value string) []string {
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
}

// Faults returns the faults of settings that depend on one another.
func (c *Common) Faults() config.Faults {
	var f config.Faults
	if c.Keys.Plaintext {
		return f
	}
	const problem = "must be set, unless -insecure-plaintext is"
	if c.Keys.Cert == "" {
		f.Add("-tls-cert", problem)
	}
	if c.Keys.Key == "" {
		f.Add("-tls-key", problem)
	}
	if c.Keys.CA == "" {
		f.Add("-tls-ca", problem)
	}
	return f
}

// Service is the work of a program between start and shutdown.
type Service struct {
	// Run serves until the context ends.
	Run func(ctx context.Context) error
	// Drain rejects new work and returns when nothing is in progress.
	Drain func(ctx context.Context) error
	// InProgress returns the number of units of work that an immediate stop would interrupt.
	InProgress func() int
}

// Run runs the service until it stops and returns the exit code. The first SIGTERM or
// interrupt begins a graceful shutdown, which has no deadline; the second one ends the
// process at once.
func Run(ctx context.Context, log zerolog.Logger, s Service) int {
	debug.SetGCPercent(gcPercent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.Run(ctx) })
	group.Go(func() error {
		defer cancel()
		return stop(ctx, log, s, signals)
	})
	if err := group.Wait(); err != nil {
		log.Error().Err(err).Msg("stopped")
		return ExitFailure
	}
	log.Info().Msg("stopped")
	return ExitOK
}

// errInterrupted means that a second signal interrupted work in progress.
var errInterrupted = errors.New("second signal: work in progress was interrupted")

func stop(ctx context.Context, log zerolog.Logger, s Service, signals <-chan os.Signal) error {
	select {
	case <-signals:
	case <-ctx.Done():
		return nil
	}
	log.Info().Int("in_progress", s.InProgress()).Msg("planned stop: rejecting new work")
	drainCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, drainCtx := errgroup.WithContext(drainCtx)
	drained := make(chan struct{})
	group.Go(func() error {
		defer close(drained)
		return s.Drain(drainCtx)
	})
	select {
	case <-drained:
		return group.Wait()
	case <-signals:
		interrupted := s.InProgress()
		cancel()
		_ = group.Wait()
		log.Error().Int("cut", interrupted).Msg("second signal: stopping at once")
		return errInterrupted
	case <-ctx.Done():
		return group.Wait()
	}
}

// Listen opens a TCP listener and logs its address.
func Listen(log zerolog.Logger, name, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "-%s", name)
	}
	log.Info().Str("listener", name).Str("address", l.Addr().String()).Msg("listening")
	return l, nil
}

// Serve starts the servers for other processes and for operators' tools. They run in the
// group until the context ends.
func (c *Common) Serve(ctx context.Context, group *errgroup.Group, log zerolog.Logger, processes, operators http.Handler) error {
	rpcListener, err := Listen(log, "rpc-listen", c.RPC)
	if err != nil {
		return err
	}
	opsListener, err := Listen(log, "ops-listen", c.Ops)
	if err != nil {
		return err
	}
	rpcServer, err := c.Keys.Server(processes)
	if err != nil {
		return err
	}
	plain := &rpc.Keys{Plaintext: true}
	opsServer, err := plain.Server(operators)
	if err != nil {
		return err
	}
	group.Go(func() error { return c.Keys.Serve(rpcServer, rpcListener) })
	group.Go(func() error { return plain.Serve(opsServer, opsListener) })
	group.Go(func() error {
		<-ctx.Done()
		_ = rpcServer.Close()
		_ = opsServer.Close()
		return nil
	})
	return nil
}

// WaitUntil polls the condition until it holds or the context ends.
func WaitUntil(ctx context.Context, done func() bool) error {
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
