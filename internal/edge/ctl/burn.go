package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"

	"github.com/gladegauge/gladegauge/internal/core/burn"
	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/edge/configdir"
	"github.com/gladegauge/gladegauge/internal/edge/program"
	"github.com/gladegauge/gladegauge/internal/edge/settings"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// burnFormats are the output formats of the burn report.
var burnFormats = []string{"table", "json"}

func burnCommand() *program.Command {
	var c connection
	var dir, format, page string
	var organisations bool
	return &program.Command{
		Title: "burn",
		Short: "report how fast service levels use up their budgets, over all entries; fails if a budget is used up",
		Declare: func(s *settings.Set) {
			c.declare(s)
			s.String(&dir, "config", "", "folder of the configuration with the objectives", settings.Required, settings.File)
			s.String(&format, "format", "table", "table or json", settings.OneOf(burnFormats...))
			s.String(&page, "page", "", "HTML page to write as well")
			s.Bool(&organisations, "organisations", false, "report each organisation too")
		},
		Check: c.check,
		Do: func(ctx context.Context, _ []string) int {
			objectives, err := loadObjectives(dir)
			if err != nil {
				return printError(os.Stderr, err)
			}
			cells, ok := c.cells(ctx)
			lines := burn.Report(time.Now(), burn.Merge(cells...), objectives, organisations)
			if err := printBurn(os.Stdout, format, lines); err != nil {
				return printError(os.Stderr, err)
			}
			if page != "" {
				if err := writeBurnPage(page, lines); err != nil {
					return printError(os.Stderr, err)
				}
			}
			return exitCode(ok && !budgetExhausted(lines))
		},
	}
}

func loadObjectives(dir string) (map[string]float64, error) {
	source, err := configdir.Read(dir)
	if err != nil {
		return nil, err
	}
	cfg, faults := config.New(source.Configuration)
	if cfg == nil {
		return nil, fmt.Errorf("%s: %s", dir, faults)
	}
	objectives := make(map[string]float64)
	for _, class := range cfg.Classes() {
		objectives[class.Name] = class.Objective
	}
	return objectives, nil
}

// cells fetches the cells of all entries.
func (c *connection) cells(ctx context.Context) ([][]burn.Cell, bool) {
	var all [][]burn.Cell
	ok := c.forEachProcess(func(_ string, op operatorClient) error {
		resp, err := op.Burn(ctx, connect.NewRequest(&gladegaugev1.BurnRequest{}))
		if err != nil {
			return err
		}
		cells := make([]burn.Cell, 0, len(resp.Msg.GetCells()))
		for _, m := range resp.Msg.GetCells() {
			key := burn.Key{Class: m.GetClass(), Organisation: m.GetOrganisation(), Minute: m.GetMinute()}
			cells = append(cells, burn.Cell{Key: key, Total: m.GetTotal(), Missed: m.GetMissed(), Refused: m.GetRefused()})
		}
		all = append(all, cells)
		return nil
	})
	return all, ok
}

func budgetExhausted(lines []burn.Line) bool {
	for _, l := range lines {
		if l.Left <= 0 {
			return true
		}
	}
	return false
}

func printBurn(w io.Writer, format string, lines []burn.Line) error {
	if format == "json" {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(lines)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(t, "CLASS\tORGANISATION\tOBJECTIVE")
	for _, window := range burn.Windows {
		_, _ = fmt.Fprintf(t, "\tBURN %s", window)
	}
	_, _ = fmt.Fprintln(t, "\tBUDGET LEFT\tUSED UP IN")
	for _, l := range lines {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.3f", l.Class, l.Organisation, l.Objective)
		for _, r := range l.Rates {
			_, _ = fmt.Fprintf(t, "\t%.2f", r.Burn)
		}
		_, _ = fmt.Fprintf(t, "\t%.0f %%\t%s\n", 100*l.Left, timeLeft(l))
	}
	return t.Flush()
}

func timeLeft(l burn.Line) string {
	switch {
	case l.Left <= 0:
		return "now"
	case l.UsedUpIn == 0:
		return "never"
	default:
		return l.UsedUpIn.Round(time.Minute).String()
	}
}
