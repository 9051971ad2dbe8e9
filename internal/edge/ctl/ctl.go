// Package ctl implements the subcommands of the tool for operators.
//
// Exit codes: 0 for success or a positive result, 1 for failure or a negative result,
// 2 for wrong arguments.
//
// # Usage
//
//	program.Main(ctl.Commands()...)
package ctl

import (
	"fmt"
	"io"
	"os"

	"github.com/gladegauge/gladegauge/internal/edge/program"
	"github.com/gladegauge/gladegauge/internal/edge/rpc"
	"github.com/gladegauge/gladegauge/internal/edge/settings"
)

// Commands returns all subcommands.
func Commands() []*program.Command {
	return []*program.Command{
		checkCommand(), buildCommand(), statusCommand(), explainCommand(),
		drainCommand(), burnCommand(), reportCommand(),
	}
}

// connection holds the settings of commands that call processes.
type connection struct {
	processes string
	keys      rpc.Keys
}

func (c *connection) declare(s *settings.Set) {
	s.String(&c.processes, "processes", "", "IP numbers and ports of the processes to ask, with commas")
	s.String(&c.keys.Cert, "tls-cert", "", "certificate file of the operator", settings.File)
	s.String(&c.keys.Key, "tls-key", "", "private key file of the operator", settings.File)
	s.String(&c.keys.CA, "tls-ca", "", "file of the authorities of the processes' certificates", settings.File)
	s.Bool(&c.keys.Plaintext, "insecure-plaintext", false, "call without TLS")
}

// printf writes to the output of a command.
func printf(format string, args ...any) {
	_, _ = fmt.Fprintf(os.Stdout, format, args...)
}

// printError writes an error and returns the exit code for it.
func printError(w io.Writer, err error) int {
	_, _ = fmt.Fprintln(w, err)
	return program.ExitFailure
}

// singleArgument returns the only argument, or prints an error.
func singleArgument(args []string, name string) (string, bool) {
	if len(args) != 1 {
		_, _ = fmt.Fprintf(os.Stderr, "%s: exactly one must be given\n", name)
		return "", false
	}
	return args[0], true
}
