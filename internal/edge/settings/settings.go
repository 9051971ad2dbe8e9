// Package settings reads a program's settings from flags and environment variables.
//
// A flag named upstream-url is also read from GLADEGAUGE_UPSTREAM_URL; the flag takes
// precedence. All settings are checked together, and one message lists all faults.
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

// EnvPrefix is the prefix of the names of environment variables.
const EnvPrefix = "GLADEGAUGE"

// Check returns a description of what is wrong with a value, or an empty string.
type Check func(value string) string

// Set is the set of settings of one program.
type Set struct {
	flags   *flag.FlagSet
	checks  map[string][]Check
	sources map[string]string
	secrets map[string]bool
	order   []string
}

// New returns a set that declares its settings as flags of f.
func New(f *flag.FlagSet) *Set {
	return &Set{
		flags:   f,
		checks:  make(map[string][]Check),
		sources: make(map[string]string),
		secrets: make(map[string]bool),
	}
}

func (s *Set) addChecks(name string, checks []Check) {
	s.order = append(s.order, name)
	s.checks[name] = checks
}

// String declares a string setting.
func (s *Set) String(p *string, name, value, usage string, checks ...Check) {
	s.flags.StringVar(p, name, value, usage)
	s.addChecks(name, checks)
}

// Secret declares a string setting whose value is never printed.
func (s *Set) Secret(p *string, name, usage string, checks ...Check) {
	s.String(p, name, "", usage, checks...)
	s.secrets[name] = true
}

// Int declares an integer setting.
func (s *Set) Int(p *int, name string, value int, usage string, checks ...Check) {
	s.flags.IntVar(p, name, value, usage)
	s.addChecks(name, checks)
}

// Bool declares a boolean setting.
func (s *Set) Bool(p *bool, name string, value bool, usage string) {
	s.flags.BoolVar(p, name, value, usage)
	s.addChecks(name, nil)
}

// Duration declares a duration setting, such as 1.5s.
func (s *Set) Duration(p *time.Duration, name string, value time.Duration, usage string, checks ...Check) {
	s.flags.DurationVar(p, name, value, usage)
	s.addChecks(name, checks)
}

// Load reads the settings that no flag has set from the environment, and checks all settings.
func (s *Set) Load() config.Faults {
	var faults config.Faults
	s.recordSource("flag")
	if err := ff.Parse(s.flags, nil, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		faults.Add("environment", "%v", err)
		return faults
	}
	s.recordSource("environment")
	for _, name := range s.order {
		for _, check := range s.checks[name] {
			if problem := check(s.flags.Lookup(name).Value.String()); problem != "" {
				faults.Add("-"+name, "%s", problem)
			}
		}
	}
	return faults
}

// recordSource records the source of the flags that were set since the previous call.
func (s *Set) recordSource(source string) {
	s.flags.Visit(func(f *flag.Flag) {
		if _, known := s.sources[f.Name]; !known {
			s.sources[f.Name] = source
		}
	})
}

// EnvName returns the name of a flag's environment variable.
func EnvName(flagName string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// Print writes a table of the settings with their values and sources; secrets are masked.
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

// Required is a Check that rejects an empty value.
func Required(value string) string {
	if value == "" {
		return "must be set"
	}
	return ""
}

// Name is a Check that rejects values that cannot be an ID or a zone.
func Name(value string) string {
	if strings.ContainsAny(value, "./ \t\n") {
		return fmt.Sprintf("%q must not contain '.', '/' or spaces", value)
	}
	return ""
}

// AddrPort is a Check that rejects values that are not an IP address and port.
func AddrPort(value string) string {
	if value == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Sprintf("%q is not an IP number and port", value)
	}
	return ""
}

// URL is a Check that rejects values that are not an http or https URL.
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

// File is a Check that rejects a file that does not exist or cannot be accessed.
func File(value string) string {
	if value == "" {
		return ""
	}
	if _, err := os.Stat(value); err != nil {
		return fmt.Sprintf("cannot be read: %v", err)
	}
	return ""
}

// OneOf returns a Check that rejects all but the given values.
func OneOf(values ...string) Check {
	return func(value string) string {
		if slices.Contains(values, value) {
			return ""
		}
		return fmt.Sprintf("%q is not one of %s", value, strings.Join(values, ", "))
	}
}
