// Command gladegauge-gateway accepts callers' requests and sends them to upstreams directly,
// without agents.
//
// # Usage
//
//	GLADEGAUGE_NODE_FILE=/etc/gladegauge/settings.conf gladegauge-gateway run
//	gladegauge-gateway settings
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/edge/gatewayd"
	"github.com/gladegauge/gladegauge/internal/edge/logging"
	"github.com/gladegauge/gladegauge/internal/edge/program"
	"github.com/gladegauge/gladegauge/internal/edge/settings"
	"github.com/gladegauge/gladegauge/platform"
)

const (
	// memoryShare is the garbage collector's soft memory limit as a fraction of the host's
	// limit. It keeps the process from being killed for exceeding the latter.
	memoryShare = 0.7
	// gcPercent is the growth of the heap, in percent of the live heap, after which the
	// garbage collector runs. Memory is scarce on the hosts of entries, and their live heap
	// is small.
	gcPercent = 50
	// maxPort is the highest port number.
	maxPort = 65535
)

// options are the settings of the command.
type options struct {
	// path is the path of the platform's settings file; settings is its content.
	path        string
	settings    platform.Settings
	logLevel    string
	metricsPort int
}

func main() {
	// SIGHUP would end the process until its handler is installed, so that comes first.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	program.Main(runCommand(reload), runCommand(reload).Settings(), program.VersionCommand())
}

// runCommand returns the command that runs the gateway. Each signal of reload makes it read its
// settings again.
func runCommand(reload <-chan os.Signal) *program.Command {
	o := &options{}
	return &program.Command{
		Title: "run",
		Short: "run the gateway until it is told to stop",
		Declare: func(s *settings.Set) {
			s.String(&o.path, "node-file", "", "path of the platform's settings file", settings.Required)
			s.String(&o.logLevel, "log-level", "info", "lowest level of log lines", settings.OneOf(logging.Levels...))
			s.Int(&o.metricsPort, "metrics-port", 0, "port of /metrics on this host's address; 0 for none")
		},
		Check: func() config.Faults { return check(o) },
		Do:    func(ctx context.Context, _ []string) int { return run(ctx, o, reload) },
	}
}

// check reads the settings file and returns the faults of all settings.
func check(o *options) config.Faults {
	var f config.Faults
	if o.metricsPort < 0 || o.metricsPort > maxPort {
		f.Add("-metrics-port", "must be from 0 to %d", maxPort)
	}
	var more config.Faults
	o.settings, more = platform.ReadSettings(o.path)
	return append(f, more...)
}

// run runs the gateway until it stops and returns the exit code.
func run(ctx context.Context, o *options, reload <-chan os.Signal) int {
	debug.SetGCPercent(gcPercent)
	if limit := o.settings.MemoryBytes; limit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(limit)))
	}
	out := logging.NewBounded(os.Stdout)
	log := newLogger(out, o)
	out.ReportDrops(log)
	log.Info().Str("version", program.Version()).Str("zone", o.settings.Zone).
		Bool("first_start", o.settings.FirstStart).Msg("starting")
	s := gatewayd.New(&gatewayd.Options{
		Settings:     o.settings,
		SettingsPath: o.path,
		MetricsPort:  o.metricsPort,
		Stop:         gatewayd.DefaultStopTimes(),
		Log:          log,
		LogsDropped:  out.Dropped,
	})
	code := serve(ctx, s, reload, log)
	if err := out.Close(); err != nil {
		return program.ExitFailure
	}
	return code
}

// newLogger returns a logger that adds the name of this host to each line.
func newLogger(out *logging.Bounded, o *options) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	level, err := zerolog.ParseLevel(o.logLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(out).Level(level).With().Timestamp().Str("host", o.settings.Host).Logger()
}

// serve runs the gateway until it receives a signal to stop.
func serve(ctx context.Context, s *gatewayd.Server, reload <-chan os.Signal, log zerolog.Logger) int {
	stop, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer cancel()
	// After the first signal, the default handler is restored, so that the next one ends the
	// process at once.
	context.AfterFunc(stop, cancel)
	if err := s.Listen(); err != nil {
		log.Error().Err(err).Msg("cannot start")
		return program.ExitFailure
	}
	group, stop := errgroup.WithContext(stop)
	group.Go(func() error { return s.Run(stop) })
	group.Go(func() error { return s.Reload(stop, reload) })
	if err := group.Wait(); err != nil {
		log.Error().Err(err).Msg("stopped")
		return program.ExitFailure
	}
	log.Info().Msg("stopped")
	return program.ExitOK
}
