// Command gladegauge-entry accepts callers' requests and forwards them to agents.
//
// # Usage
//
//	gladegauge-entry run -id entry-1 -zone a -platform-url http://10.0.0.1:7000 …
//	gladegauge-entry settings
package main

import (
	"context"
	"os"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/edge/entryd"
	"github.com/gladegauge/gladegauge/internal/edge/logging"
	"github.com/gladegauge/gladegauge/internal/edge/program"
	"github.com/gladegauge/gladegauge/internal/edge/settings"
)

const (
	defaultMaxBody    = 4 << 20
	defaultDrainGrace = 2 * time.Second
	// defaultReadTimeout tolerates a short stall of a caller's network.
	defaultReadTimeout = 30 * time.Second
)

func main() {
	run := runCommand()
	program.Main(run, runCommand().Settings(), program.VersionCommand())
}

func runCommand() *program.Command {
	o := &entryd.Options{}
	return &program.Command{
		Title: "run",
		Short: "run the entry until it is told to stop",
		Declare: func(s *settings.Set) {
			o.Declare(s)
			s.String(&o.Listen, "listen", "127.0.0.1:8080", "IP number and port for callers", settings.AddrPort)
			s.String(&o.CallerCert, "caller-tls-cert", "", "certificate file towards callers; empty for plain HTTP behind a balancer", settings.File)
			s.String(&o.CallerKey, "caller-tls-key", "", "private key file towards callers", settings.File)
			s.Int(&o.MaxBody, "max-body-bytes", defaultMaxBody, "largest body of a caller's request")
			s.Duration(&o.ReadTimeout, "read-patience", defaultReadTimeout, "longest time that a caller may take to read a piece of its answer")
			s.Duration(&o.DrainGrace, "drain-grace", defaultDrainGrace, "time between unready and the end of listening at a planned stop")
		},
		Check: func() config.Faults { return check(o) },
		Do: func(ctx context.Context, _ []string) int {
			o.Log = logging.New(os.Stderr, o.LogLevel, "gladegauge-entry", o.ID)
			s, err := entryd.New(o)
			if err != nil {
				o.Log.Error().Err(err).Msg("cannot start")
				return program.ExitSettings
			}
			return program.Run(ctx, o.Log, s.Service())
		},
	}
}

func check(o *entryd.Options) config.Faults {
	f := o.Faults()
	if (o.CallerCert == "") != (o.CallerKey == "") {
		f.Add("-caller-tls-cert", "must be set together with -caller-tls-key")
	}
	if o.ReadTimeout <= 0 {
		f.Add("-read-patience", "must be above 0")
	}
	if o.MaxBody < 1 {
		f.Add("-max-body-bytes", "must be above 0")
	}
	return f
}
