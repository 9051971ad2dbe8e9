// Command gladegauge-standin simulates the platform, the upstreams, the operators' pipeline
// and the callers, for the demo and for tests. It is not part of the product.
//
// # Usage
//
//	gladegauge-standin platform -listen 127.0.0.1:7000
//	gladegauge-standin engine -listen 127.0.0.1:9001 -slots 8
//	gladegauge-standin service -listen 127.0.0.1:9002
//	gladegauge-standin publish -platform-url http://127.0.0.1:7000 -values out/values -hosts hosts.yaml
//	gladegauge-standin load -entries http://127.0.0.1:8080 -deployment salish
//	gladegauge-standin users-platform -node-file settings.conf
//	gladegauge-standin users-load -entry 127.0.0.1:8080
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/gladegauge/gladegauge/internal/edge/logging"
	"github.com/gladegauge/gladegauge/internal/edge/program"
	"github.com/gladegauge/gladegauge/internal/edge/rpc"
	"github.com/gladegauge/gladegauge/internal/edge/settings"
	"github.com/gladegauge/gladegauge/internal/standin/engine"
	"github.com/gladegauge/gladegauge/internal/standin/load"
	"github.com/gladegauge/gladegauge/internal/standin/publish"
	"github.com/gladegauge/gladegauge/internal/standin/published"
	"github.com/gladegauge/gladegauge/internal/standin/service"
)

func main() {
	program.Main(platformCommand(), engineCommand(), serviceCommand(), publishCommand(), loadCommand(), usersPlatformCommand(), usersLoadCommand(), program.VersionCommand())
}

// serve serves HTTP until the process receives a signal to stop.
func serve(ctx context.Context, name, listen string, h http.Handler) int {
	log := logging.New(os.Stderr, "info", "gladegauge-standin", name)
	plain := &rpc.Keys{Plaintext: true}
	s, err := plain.Server(h)
	if err != nil {
		return program.ExitFailure
	}
	return program.Run(ctx, log, withoutDrain(func(ctx context.Context) error {
		l, err := program.Listen(log, name, listen)
		if err != nil {
			return err
		}
		stop := context.AfterFunc(ctx, func() { _ = s.Close() })
		defer stop()
		return plain.Serve(s, l)
	}))
}

// withoutDrain returns a service that stops immediately, without draining.
func withoutDrain(run func(ctx context.Context) error) program.Service {
	return program.Service{
		Run:        run,
		Drain:      func(context.Context) error { return nil },
		InProgress: func() int { return 0 },
	}
}

func platformCommand() *program.Command {
	var listen string
	return &program.Command{
		Title: "platform",
		Short: "play the platform's configuration service",
		Declare: func(s *settings.Set) {
			s.String(&listen, "listen", "127.0.0.1:7000", "IP number and port", settings.AddrPort)
		},
		Do: func(ctx context.Context, _ []string) int {
			return serve(ctx, "platform", listen, published.New())
		},
	}
}

func engineCommand() *program.Command {
	var listen string
	o := engine.Options{}
	return &program.Command{
		Title: "engine",
		Short: "play a model engine",
		Declare: func(s *settings.Set) {
			s.String(&listen, "listen", "127.0.0.1:9001", "IP number and port", settings.AddrPort)
			s.Int(&o.Slots, "slots", 8, "requests that run at a time")
			s.Duration(&o.PerToken, "per-token", 20*time.Millisecond, "time of one token")
			s.Duration(&o.PerPrompt, "per-prompt", 60*time.Millisecond, "time of a prompt that is not cached")
			s.Bool(&o.CheckFences, "check-fences", true, "refuse orders with an old fence")
		},
		Do: func(ctx context.Context, _ []string) int {
			return serve(ctx, "engine", listen, engine.New(o))
		},
	}
}

func serviceCommand() *program.Command {
	var listen string
	var latency time.Duration
	return &program.Command{
		Title: "service",
		Short: "play a plain service whose calls may not be repeated",
		Declare: func(s *settings.Set) {
			s.String(&listen, "listen", "127.0.0.1:9002", "IP number and port", settings.AddrPort)
			s.Duration(&latency, "takes", 40*time.Millisecond, "time of one call")
		},
		Do: func(ctx context.Context, _ []string) int {
			return serve(ctx, "service", listen, service.New(latency))
		},
	}
}

func publishCommand() *program.Command {
	var o publish.Options
	return &program.Command{
		Title: "publish",
		Short: "play the operators' pipeline: publish built values and host lists",
		Declare: func(s *settings.Set) {
			s.String(&o.Platform, "platform-url", "", "address of the platform", settings.Required, settings.URL)
			s.String(&o.Values, "values", "", "folder that gladegauge-ctl build wrote")
			s.String(&o.Hosts, "hosts", "", "YAML file of host lists", settings.File)
		},
		Do: func(ctx context.Context, _ []string) int { return exitCode(publish.Run(ctx, o)) },
	}
}

// exitCode prints the error, if there is one, and returns the exit code of the program.
func exitCode(err error) int {
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return program.ExitFailure
	}
	return program.ExitOK
}

func loadCommand() *program.Command {
	var entries, deployment, services string
	o := load.Options{Seed: 1}
	return &program.Command{
		Title: "load",
		Short: "send a bounded mix of requests and check every answer",
		Declare: func(s *settings.Set) {
			s.String(&entries, "entries", "http://127.0.0.1:8080", "addresses of the entries, with commas", settings.Required)
			s.String(&services, "services", "", "addresses of the plain services to check for double runs, with commas")
			s.String(&deployment, "deployment", "tallowbark", "mix of requests", settings.OneOf("tallowbark", "salish"))
			s.Duration(&o.Duration, "duration", 10*time.Second, "time to send for")
		},
		Do: func(ctx context.Context, _ []string) int {
			o.Entries = program.SplitList(entries)
			o.Deployment = load.Tallowbark()
			if deployment == "salish" {
				o.Deployment = load.Salish()
			}
			o.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
			return exitCode(checkReport(ctx, load.Run(ctx, o), program.SplitList(services)))
		},
	}
}

// checkReport prints the report. It returns an error if a guarantee was violated, including
// that plain services run no request twice, or if no request was completed.
func checkReport(ctx context.Context, r *load.Report, services []string) error {
	if err := r.Print(os.Stdout); err != nil {
		return err
	}
	violations := r.Violations
	for _, s := range services {
		twice, err := load.RunTwice(ctx, s)
		if err != nil {
			return err
		}
		violations = append(violations, twice...)
	}
	if len(violations) > 0 {
		return fmt.Errorf("%d violated guarantees:\n%s", len(violations), strings.Join(violations, "\n"))
	}
	if r.Completed() == 0 {
		return fmt.Errorf("no request was completed")
	}
	return nil
}
