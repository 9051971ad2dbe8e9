// Command gladegauge-agent is the proxy of one upstream: all requests to the upstream go
// through it.
//
// # Usage
//
//	gladegauge-agent run -id agent-1 -zone a -pool judge-model -upstream-url http://127.0.0.1:9000 …
//	gladegauge-agent settings
package main

import (
	"context"
	"os"

	"github.com/gladegauge/gladegauge/internal/edge/agentd"
	"github.com/gladegauge/gladegauge/internal/edge/logging"
	"github.com/gladegauge/gladegauge/internal/edge/program"
	"github.com/gladegauge/gladegauge/internal/edge/settings"
)

func main() {
	run := runCommand()
	program.Main(run, runCommand().Settings(), program.VersionCommand())
}

func runCommand() *program.Command {
	o := &agentd.Options{}
	return &program.Command{
		Title: "run",
		Short: "run the agent until it is told to stop",
		Declare: func(s *settings.Set) {
			o.Declare(s)
			s.String(&o.Pool, "pool", "", "pool of the upstream", settings.Required)
			s.String(&o.UpstreamURL, "upstream-url", "", "address of the upstream", settings.Required, settings.URL)
		},
		Check: o.Faults,
		Do: func(ctx context.Context, _ []string) int {
			o.Log = logging.New(os.Stderr, o.LogLevel, "gladegauge-agent", o.ID)
			s, err := agentd.New(o)
			if err != nil {
				o.Log.Error().Err(err).Msg("cannot start")
				return program.ExitSettings
			}
			return program.Run(ctx, o.Log, s.Service())
		},
	}
}
