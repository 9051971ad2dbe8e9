// Package settings reads a program's settings from flags and environment.
//
// A flag named upstream-url is also read from GLADEGAUGE_UPSTREAM_URL; the
// flag goes first. All settings are checked together, and every fault is named
// in one message.
//
// # Usage
//
//	s := settings.New(flagSet)
//	s.String(&cfg.ID, "id", "", "identity of this process", settings.Required)
//	faults := s.Load()
package settings

import (
	"flag"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/gladegauge/gladegauge/internal/core/config"
)

// EnvPrefix starts the name of each environment variable.
const EnvPrefix = "GLADEGAUGE"

// Check returns what is wrong with a value, or an empty string.
type Check func(value string) string

// Set is the settings of one program.
type Set struct {
	flags   *flag.FlagSet
	checks  map[string][]Check
	sources map[string]string
	secrets map[string]bool
	order   []string
}

// New returns a set over the flags of a command.
func New(f *flag.FlagSet) *Set {
	return &Set{
		flags:   f,
		checks:  make(map[string][]Check),
		sources: make(map[string]string),
		secrets: make(map[string]bool),
	}
}

func (s *Set) note(name string, checks []Check) {
	s.order = append(s.order, name)
	s.checks[name] = checks
}

// String declares a text.
func (s *Set) String(p *string, name, value, usage string, checks ...Check) {
	s.flags.StringVar(p, name, value, usage)
	s.note(name, checks)
}

// Secret declares a text that is never printed.
func (s *Set) Secret(p *string, name, usage string, checks ...Check) {
	s.String(p, name, "", usage, checks...)
	s.secrets[name] = true
}

// Int declares a whole number.
func (s *Set) Int(p *int, name string, value int, usage string, checks ...Check) {
	s.flags.IntVar(p, name, value, usage)
	s.note(name, checks)
}

// Bool declares a switch.
func (s *Set) Bool(p *bool, name string, value bool, usage string) {
	s.flags.BoolVar(p, name, value, usage)
	s.note(name, nil)
}

// Duration declares a time such as 1.5s.
func (s *Set) Duration(p *time.Duration, name string, value time.Duration, usage string, checks ...Check) {
	s.flags.DurationVar(p, name, value, usage)
	s.note(name, checks)
}

// Load reads the environment for settings that no flag gave, and checks all.
func (s *Set) Load() config.Faults {
	var faults config.Faults
	s.mark("flag")
	if err := ff.Parse(s.flags, nil, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		faults.Add("environment", "%v", err)
		return faults
	}
	s.mark("environment")
	for _, name := range s.order {
		for _, check := range s.checks[name] {
			if problem := check(s.flags.Lookup(name).Value.String()); problem != "" {
				faults.Add("-"+name, "%s", problem)
			}
		}
	}
	return faults
}

// mark notes the source of the flags that were set since the last call.
func (s *Set) mark(source string) {
	s.flags.Visit(func(f *flag.Flag) {
		if _, known := s.sources[f.Name]; !known {
			s.sources[f.Name] = source
		}
	})
}

// EnvName returns the environment variable of a flag.
func EnvName(flagName string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// Print writes each setting with its value and source; secrets are masked.
func (s *Set) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "SETTING\tENVIRONMENT\tVALUE\tSOURCE\tMEANING")
	for _, name := range s.order {
		value := s.flags.Lookup(name).Value.String()
		if s.secrets[name] && value != "" {
			value = "(secret)"
		}
		source, ok := s.sources[name]
		if !ok {
			source = "default"
		}
		_, _ = fmt.Fprintf(table, "-%s\t%s\t%q\t%s\t%s\n", name, EnvName(name), value, source, s.flags.Lookup(name).Usage)
	}
	return table.Flush()
}

// Names returns the names of the settings in order of declaration.
func (s *Set) Names() []string { return slices.Clone(s.order) }

// Required refuses an empty value.
func Required(value string) string {
	if value == "" {
		return "must be set"
	}
	return ""
}

// Name refuses what cannot be an identity or a zone.
func Name(value string) string {
	if strings.ContainsAny(value, "./ \t\n") {
		return fmt.Sprintf("%q must not hold '.', '/' or spaces", value)
	}
	return ""
}

// AddrPort refuses what is not an IP number and port.
func AddrPort(value string) string {
	if value == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Sprintf("%q is not an IP number and port", value)
	}
	return ""
}

// URL refuses what is not an http or https address.
func URL(value string) string {
	if value == "" {
		return ""
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return fmt.Sprintf("%q is not an http or https address", value)
	}
	return ""
}

// File refuses a file that cannot be read.
func File(value string) string {
	if value == "" {
		return ""
	}
	if _, err := os.Stat(value); err != nil {
		return fmt.Sprintf("cannot be read: %v", err)
	}
	return ""
}

// OneOf refuses all but the given values.
func OneOf(values ...string) Check {
	return func(value string) string {
		if slices.Contains(values, value) {
			return ""
		}
		return fmt.Sprintf("%q is none of %s", value, strings.Join(values, ", "))
	}
}
