package ctl

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"text/tabwriter"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/edge/program"
	"github.com/gladegauge/gladegauge/internal/edge/settings"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
	"github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1/gladegaugev1connect"
)

// operatorClient calls the OperatorService of a process.
type operatorClient = gladegaugev1connect.OperatorServiceClient

// check returns the faults of the settings needed to call processes.
func (c *connection) check() config.Faults {
	var f config.Faults
	if c.processes == "" {
		f.Add("-processes", "must be set")
	}
	if !c.keys.Plaintext && (c.keys.Cert == "" || c.keys.Key == "" || c.keys.CA == "") {
		f.Add("-tls-cert", "-tls-cert, -tls-key and -tls-ca must be set, unless -insecure-plaintext is")
	}
	return f
}

// forEachProcess calls all processes in turn. It returns true if all calls succeeded.
func (c *connection) forEachProcess(call func(address string, op operatorClient) error) bool {
	client, err := c.keys.Client()
	if err != nil {
		printError(os.Stderr, err)
		return false
	}
	ok := true
	for _, address := range program.SplitList(c.processes) {
		if err := call(address, c.newClient(client, address)); err != nil {
			printError(os.Stderr, errors.Wrap(err, address))
			ok = false
		}
	}
	return ok
}

func (c *connection) newClient(client *http.Client, address string) operatorClient {
	return gladegaugev1connect.NewOperatorServiceClient(client, c.keys.URL(address))
}

func exitCode(ok bool) int {
	if ok {
		return program.ExitOK
	}
	return program.ExitFailure
}

func statusCommand() *program.Command {
	var c connection
	return &program.Command{
		Title:   "status",
		Short:   "show processes, revisions, queues by class and the health of agents; fails if one is not ready",
		Declare: c.declare,
		Check:   c.check,
		Do: func(ctx context.Context, _ []string) int {
			t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
			_, _ = fmt.Fprintln(t, "PROCESS\tROLE\tZONE\tREVISION\tSTATE\tIN PROGRESS\tDETAIL")
			ready := true
			ok := c.forEachProcess(func(_ string, op operatorClient) error {
				resp, err := op.Status(ctx, connect.NewRequest(&gladegaugev1.StatusRequest{}))
				if err != nil {
					return err
				}
				ready = ready && resp.Msg.GetReady()
				printStatus(t, resp.Msg)
				return nil
			})
			_ = t.Flush()
			return exitCode(ok && ready)
		},
	}
}

func printStatus(t *tabwriter.Writer, s *gladegaugev1.StatusResponse) {
	role, state := "entry", "ready"
	if s.GetRole() == gladegaugev1.Role_ROLE_AGENT {
		role = "agent"
	}
	switch {
	case s.GetLeaving():
		state = "leaving"
	case !s.GetReady():
		state = "not ready"
	}
	_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%d\t\n", s.GetId(), role, s.GetZone(), s.GetVersion().GetRevision(), state, s.GetInProgress())
	for _, class := range s.GetClasses() {
		_, _ = fmt.Fprintf(t, "\t\t\t\t\t\tclass %s: %d wait, %d run\n", class.GetClass(), class.GetQueued(), class.GetRunning())
	}
	for _, u := range s.GetUpstreams() {
		_, _ = fmt.Fprintf(t, "\t\t\t\t\t\tagent %s of %s: %s, wait %d ms\n", u.GetId(), u.GetPool(), u.GetState(), u.GetWaitMs())
	}
}

func explainCommand() *program.Command {
	var c connection
	var class, organisation string
	return &program.Command{
		Title: "explain",
		Short: "tell what would become of a request of a class now, and why",
		Declare: func(s *settings.Set) {
			c.declare(s)
			s.String(&class, "class", "", "class of the request", settings.Required)
			s.String(&organisation, "organisation", "", "organisation of the request")
		},
		Check: c.check,
		Do: func(ctx context.Context, _ []string) int {
			return exitCode(c.forEachProcess(func(address string, op operatorClient) error {
				req := &gladegaugev1.ExplainRequest{Class: class, Organisation: organisation}
				resp, err := op.Explain(ctx, connect.NewRequest(req))
				if err != nil {
					return err
				}
				printf("%s: %s\n", address, resp.Msg.GetDecision())
				for _, reason := range resp.Msg.GetReasons() {
					printf("  %s\n", reason)
				}
				for _, u := range resp.Msg.GetCandidates() {
					printf("  agent %s: %s, wait %d ms, %d offers without an answer\n", u.GetId(), u.GetState(), u.GetWaitMs(), u.GetPending())
				}
				return nil
			}))
		},
	}
}

func drainCommand() *program.Command {
	var c connection
	return &program.Command{
		Title:   "drain",
		Short:   "make processes take no new work; what is in progress completes, and the processes stay until they are told to stop",
		Declare: c.declare,
		Check:   c.check,
		Do: func(ctx context.Context, _ []string) int {
			return exitCode(c.forEachProcess(func(address string, op operatorClient) error {
				resp, err := op.Drain(ctx, connect.NewRequest(&gladegaugev1.DrainRequest{}))
				if err != nil {
					return err
				}
				printf("%s: drains, %d in progress\n", address, resp.Msg.GetInProgress())
				return nil
			}))
		},
	}
}
