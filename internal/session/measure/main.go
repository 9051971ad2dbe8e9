// Command measure runs the scenarios of both example deployments under all policies and
// writes the resulting metrics as JSON.
//
// # Usage
//
//	measure -out out/measure.json
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/edge/configdir"
	"github.com/gladegauge/gladegauge/internal/session"
)

func main() {
	out := flag.String("out", "out/measure.json", "file to write")
	examples := flag.String("examples", "examples", "folder of the deployments' configurations")
	only := flag.String("only", "", "run only the scenario of this name")
	showViolations := flag.Bool("violations", false, "print the violations")
	flag.Parse()
	if err := run(*out, *examples, *only, *showViolations); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(out, examples, only string, showViolations bool) error {
	var scripts []*session.Script
	configs := make(map[string]*config.Config)
	for _, deployment := range []string{"tallowbark", "salish"} {
		source, err := configdir.Read(filepath.Join(examples, deployment))
		if err != nil {
			return err
		}
		cfg, faults := config.New(source.Configuration)
		if cfg == nil {
			return fmt.Errorf("%s: %s", deployment, faults)
		}
		configs[deployment] = cfg
		for _, s := range session.Scenarios(deployment) {
			if only == "" || s.Name == only {
				scripts = append(scripts, s)
			}
		}
	}
	rows, err := measure(scripts, configs, showViolations)
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(rows, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(out), 0o750); err != nil {
		return err
	}
	return os.WriteFile(out, append(text, '\n'), 0o600)
}

// measure runs all scripts under all policies. The order of the rows does not depend on the
// order in which the runs end.
func measure(scripts []*session.Script, configs map[string]*config.Config, showViolations bool) ([]session.Row, error) {
	policies := session.Policies()
	results := make([][]session.Row, len(scripts)*len(policies))
	var group errgroup.Group
	group.SetLimit(4)
	for i, s := range scripts {
		for j, p := range policies {
			group.Go(func() error {
				result, err := session.Run(s, configs[s.Deployment], p)
				if err != nil {
					return err
				}
				results[i*len(policies)+j] = result.Rows()
				if showViolations {
					for _, v := range result.Violations() {
						_, _ = fmt.Fprintln(os.Stderr, s.Deployment, s.Name, p.Name, v)
					}
				}
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	var rows []session.Row
	for _, r := range results {
		rows = append(rows, r...)
	}
	return rows, nil
}
