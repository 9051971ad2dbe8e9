package main

import (
	"context"
	"fmt"
	"os"
	"strconv"

	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/internal/edge/logging"
	"github.com/gladegauge/gladegauge/internal/edge/program"
	"github.com/gladegauge/gladegauge/internal/edge/settings"
	"github.com/gladegauge/gladegauge/platform/standin"
)

// owner runs the cleanup of the test doubles when the program ends.
type owner struct{ cleanups []func() }

// Helper does nothing outside tests.
func (*owner) Helper() {}

// Fatal prints the arguments and exits with a failure.
func (*owner) Fatal(args ...any) {
	_, _ = fmt.Fprintln(os.Stderr, args...)
	os.Exit(program.ExitFailure)
}

// Cleanup registers a function for runCleanups.
func (o *owner) Cleanup(f func()) { o.cleanups = append(o.cleanups, f) }

// runCleanups calls the registered functions in reverse order.
func (o *owner) runCleanups() {
	for i := len(o.cleanups) - 1; i >= 0; i-- {
		o.cleanups[i]()
	}
}

// usersPlatformCommand simulates the users' platform for a gateway.
func usersPlatformCommand() *program.Command {
	var path, callers, readiness string
	return &program.Command{
		Title: "users-platform",
		Short: "play the users' platform, with engines and services, for gladegauge-gateway",
		Declare: func(s *settings.Set) {
			s.String(&path, "node-file", "", "settings file of the gateway, which is written", settings.Required)
			s.String(&callers, "callers", "127.0.0.1:8080", "where the gateway is to listen for callers", settings.AddrPort)
			s.String(&readiness, "readiness", "127.0.0.1:8081", "where the gateway is to tell its readiness", settings.AddrPort)
		},
		Do: func(ctx context.Context, _ []string) int { return runUsersPlatform(ctx, path, callers, readiness) },
	}
}

// runUsersPlatform writes the gateway's settings and simulates the platform until the process
// receives a signal to stop. It fails if a non-idempotent request ran more than once.
func runUsersPlatform(ctx context.Context, path, callers, readiness string) int {
	o := &owner{}
	defer o.runCleanups()
	d := standin.NewDeployment(o)
	if err := os.WriteFile(path, []byte(d.Settings(callers, readiness)), 0o600); err != nil {
		return exitCode(err)
	}
	log := logging.New(os.Stderr, "info", "gladegauge-standin", "users-platform")
	code := program.Run(ctx, log, withoutDrain(func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	}))
	if twice := d.RanTwice(); len(twice) > 0 {
		return exitCode(fmt.Errorf("requests that ran twice: %v", twice))
	}
	return code
}

// concurrentCallers is the number of callers that send concurrently.
const concurrentCallers = 8

// usersLoadCommand sends a bounded number of requests to a gateway.
func usersLoadCommand() *program.Command {
	var entry string
	var requests int
	return &program.Command{
		Title: "users-load",
		Short: "send a bounded number of requests to gladegauge-gateway and check every answer",
		Declare: func(s *settings.Set) {
			s.String(&entry, "entry", "127.0.0.1:8080", "where the gateway listens", settings.AddrPort)
			s.Int(&requests, "requests", 400, "number of requests of each of eight callers")
		},
		Do: func(ctx context.Context, _ []string) int {
			var group errgroup.Group
			for i := range concurrentCallers {
				group.Go(func() error { return sendRequests(ctx, entry, i, requests) })
			}
			if err := group.Wait(); err != nil {
				return exitCode(err)
			}
			fmt.Printf("%d requests, every answer whole and sealed\n", concurrentCallers*requests) //nolint:forbidigo // The command's output.
			return program.ExitOK
		},
	}
}

// sendRequests sends the requests of one caller. It returns an error for the first response
// that is incomplete, not 200, or lacks the seal of a replica.
func sendRequests(ctx context.Context, entry string, caller, requests int) error {
	o := &owner{}
	defer o.runCleanups()
	c := standin.NewCaller(o, entry)
	paths := []string{"/chat/1", "/read/1", "/write/1"}
	for i := range requests {
		a := c.Call(ctx, standin.Request{
			ID:         strconv.Itoa(caller) + "-" + strconv.Itoa(i),
			Host:       standin.DemoHost,
			URI:        paths[i%len(paths)],
			Key:        standin.DemoKey,
			DeadlineMs: 5000,
			Body:       "hello",
		})
		if a.Err != nil {
			return a.Err
		}
		if a.Status != 200 || !a.Whole || !a.Sealed() {
			return fmt.Errorf("request %d of caller %d: status %d, complete %t, sealed %t", i, caller, a.Status, a.Whole, a.Sealed())
		}
	}
	return nil
}
