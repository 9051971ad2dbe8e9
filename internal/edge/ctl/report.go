package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/gladegauge/gladegauge/internal/edge/program"
	"github.com/gladegauge/gladegauge/internal/edge/settings"
)

// measureRow holds the fields of a measurement that the report uses.
type measureRow struct {
	Deployment string  `json:"deployment"`
	Scenario   string  `json:"scenario"`
	Policy     string  `json:"policy"`
	Class      string  `json:"class"`
	Protected  bool    `json:"protected"`
	Sent       int     `json:"sent"`
	Completed  int     `json:"completed"`
	Refused    int     `json:"refused"`
	Unknown    int     `json:"unknown"`
	Attainment float64 `json:"attainment"`
	Goodput    float64 `json:"goodput"`
	Wasted     float64 `json:"wasted"`
	MaxWaitMS  int     `json:"max_wait_ms"`
	Fairness   float64 `json:"fairness"`
	Violations int     `json:"violations"`
}

// allClasses is the class of rows that cover a whole scenario.
const allClasses = "*"

func reportCommand() *program.Command {
	var html string
	return &program.Command{
		Title: "report",
		Short: "print measured sessions as a table and write them as a page with plots; fails on a broken promise of the current policy",
		Long:  "[flags] MEASURE.json",
		Declare: func(s *settings.Set) {
			s.String(&html, "page", "", "HTML page to write as well")
		},
		Do: func(_ context.Context, args []string) int {
			name, ok := singleArgument(args, "MEASURE.json")
			if !ok {
				return program.ExitSettings
			}
			rows, err := readRows(name)
			if err != nil {
				return printError(os.Stderr, err)
			}
			violated := printRows(rows)
			if html != "" {
				if err := writeRowsPage(html, rows); err != nil {
					return printError(os.Stderr, err)
				}
			}
			return exitCode(!violated)
		},
	}
}

func readRows(name string) ([]measureRow, error) {
	text, err := os.ReadFile(name) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	var rows []measureRow
	if err := json.Unmarshal(text, &rows); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return rows, nil
}

var columnNames = []string{
	"deployment", "scenario", "policy", "class", "sent", "completed", "refused", "unknown",
	"attainment", "goodput", "wasted", "max wait ms", "fairness", "violations",
}

func (r *measureRow) cells() []string {
	return []string{
		r.Deployment, r.Scenario, r.Policy, r.Class,
		fmt.Sprint(r.Sent), fmt.Sprint(r.Completed), fmt.Sprint(r.Refused), fmt.Sprint(r.Unknown),
		fmt.Sprintf("%.3f", r.Attainment), fmt.Sprintf("%.3f", r.Goodput), fmt.Sprintf("%.3f", r.Wasted),
		fmt.Sprint(r.MaxWaitMS), fmt.Sprintf("%.3f", r.Fairness), fmt.Sprint(r.Violations),
	}
}

// printRows prints the rows. It returns true if a row of the current policy has
// violations.
func printRows(rows []measureRow) bool {
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer func() { _ = t.Flush() }()
	printCells(t, columnNames)
	violated := false
	for i := range rows {
		printCells(t, rows[i].cells())
		violated = violated || (rows[i].Policy == "current" && rows[i].Violations > 0)
	}
	return violated
}

func printCells(t *tabwriter.Writer, cells []string) {
	for _, cell := range cells {
		_, _ = fmt.Fprintf(t, "%s\t", cell)
	}
	_, _ = fmt.Fprintln(t)
}

// writeRowsPage writes the rows as a page with charts of goodput, waste and attainment.
func writeRowsPage(name string, rows []measureRow) error {
	p := page{Title: "Measured sessions", Head: columnNames}
	for i := range rows {
		p.Rows = append(p.Rows, rows[i].cells())
	}
	for _, m := range []struct {
		title string
		value func(r *measureRow) float64
	}{
		{"Goodput, of the bound", func(r *measureRow) float64 { return r.Goodput }},
		{"Wasted work, of all", func(r *measureRow) float64 { return r.Wasted }},
		{"Attainment over all classes", func(r *measureRow) float64 { return r.Attainment }},
	} {
		labels, all := seriesByPolicy(rows, m.value)
		svg, err := barChart(m.title, "share", labels, all)
		if err != nil {
			return err
		}
		p.Plots = append(p.Plots, svg)
	}
	return p.write(name)
}

// seriesByPolicy returns the values of the rows that cover a whole scenario, as one
// series per policy, and their labels.
func seriesByPolicy(rows []measureRow, value func(r *measureRow) float64) ([]string, []series) {
	var labels []string
	var all []series
	index := make(map[string]int)
	for i := range rows {
		r := &rows[i]
		if r.Class != allClasses {
			continue
		}
		n, ok := index[r.Policy]
		if !ok {
			n = len(all)
			index[r.Policy] = n
			all = append(all, series{name: r.Policy})
		}
		if n == 0 {
			labels = append(labels, r.Deployment+" "+r.Scenario)
		}
		all[n].values = append(all[n].values, value(r))
	}
	return labels, all
}
