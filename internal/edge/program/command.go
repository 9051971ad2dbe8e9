package program

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/google/subcommands"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/edge/settings"
)

// revision names the commit that the program was built from. The linker sets it; it is empty in
// builds outside a checkout.
var revision string

// Version returns the commit that the program was built from, or else the version of the main
// module in the build information.
func Version() string {
	if revision != "" {
		return revision
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}

// Command is a subcommand that is implemented by functions.
type Command struct {
	Title string
	Short string
	Long  string
	// Declare declares the command's settings.
	Declare func(s *settings.Set)
	// Check returns faults beyond those of single settings. It may be nil.
	Check func() config.Faults
	// Do runs the command with the remaining arguments and returns the exit code.
	Do func(ctx context.Context, args []string) int

	set       *settings.Set
	printOnly bool
}

// Name returns the name of the subcommand.
func (c *Command) Name() string { return c.Title }

// Synopsis returns a one-line description of the subcommand.
func (c *Command) Synopsis() string { return c.Short }

// Usage returns the help text.
func (c *Command) Usage() string {
	return fmt.Sprintf("%s %s\n%s\n", c.Title, c.Long, c.Short)
}

// SetFlags declares the flags of the command's settings.
func (c *Command) SetFlags(f *flag.FlagSet) {
	c.set = settings.New(f)
	if c.Declare != nil {
		c.Declare(c.set)
	}
}

// Execute loads and checks the settings and runs the command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	// Load parses the flag set again, which discards the arguments.
	args := f.Args()
	faults := c.set.Load()
	if c.printOnly {
		if err := c.set.Print(os.Stdout); err != nil {
			return ExitFailure
		}
	}
	if c.Check != nil {
		faults = append(faults, c.Check()...)
	}
	if len(faults) > 0 {
		_, _ = fmt.Fprintf(os.Stderr, "settings:\n%s\n", faults)
		return ExitSettings
	}
	if c.printOnly {
		return ExitOK
	}
	return subcommands.ExitStatus(c.Do(ctx, args))
}

// Settings returns a command that prints the settings of c with their sources.
func (c *Command) Settings() *Command {
	return &Command{
		Title:     "settings",
		Short:     "print every setting of " + c.Title + " with its value and source",
		Declare:   c.Declare,
		Check:     c.Check,
		printOnly: true,
	}
}

// VersionCommand returns a command that prints the version.
func VersionCommand() *Command {
	return &Command{
		Title: "version",
		Short: "print the version",
		Do: func(context.Context, []string) int {
			fmt.Println(Version()) //nolint:forbidigo // This is the command's output.
			return ExitOK
		},
	}
}

// Main runs the subcommand named by the arguments and exits the process.
func Main(commands ...*Command) {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range commands {
		subcommands.Register(c, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
