package ctl

import (
	"bytes"
	"fmt"
	"html/template"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/gladegauge/gladegauge/internal/core/burn"
)

// Sizes of a plot.
const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 7 * vg.Millimeter
	// legendScale extends the y axis to leave room for the legend above the bars.
	legendScale = 1.3
)

// page is a self-contained HTML page.
type page struct {
	Title string
	Plots []template.HTML
	Head  []string
	Rows  [][]string
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body { font-family: sans-serif; margin: 2em; color: #222 }
table { border-collapse: collapse; margin-top: 1em }
td, th { padding: .25em .8em; border-bottom: 1px solid #ccc; text-align: right }
td:first-child, th:first-child { text-align: left }
svg { display: block; margin: 1em 0; max-width: 100% }
</style></head><body><h1>{{.Title}}</h1>
{{range .Plots}}{{.}}{{end}}
<table><tr>{{range .Head}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table></body></html>
`))

// series is one series of bars, drawn in one colour.
type series struct {
	name   string
	values []float64
}

// barChart renders a grouped bar chart as SVG.
func barChart(title, unit string, labels []string, all []series) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	width := min(barWidth, plotWidth*7/10/vg.Length(max(1, len(labels)*len(all))))
	for i, s := range all {
		chart, err := plotter.NewBarChart(plotter.Values(s.values), width)
		if err != nil {
			return "", fmt.Errorf("plot %s: %w", title, err)
		}
		chart.Color = plotutil.Color(i)
		chart.LineStyle.Width = 0
		chart.Offset = width * vg.Length(float64(i)-float64(len(all)-1)/2)
		p.Add(chart)
		p.Legend.Add(s.name, chart)
	}
	p.Y.Max *= legendScale
	p.NominalX(labels...)
	p.X.Tick.Label.Rotation = 0.5
	p.X.Tick.Label.XAlign = draw.XRight
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var text bytes.Buffer
	if _, err := canvas.WriteTo(&text); err != nil {
		return "", fmt.Errorf("plot %s: %w", title, err)
	}
	svg := text.Bytes()
	return template.HTML(svg[bytes.Index(svg, []byte("<svg")):]), nil //nolint:gosec // The SVG is generated here and its texts are escaped.
}

func (p *page) write(name string) error {
	var text bytes.Buffer
	if err := pageTemplate.Execute(&text, p); err != nil {
		return fmt.Errorf("page %s: %w", name, err)
	}
	return os.WriteFile(name, text.Bytes(), 0o600)
}

// writeBurnPage writes the burn report as a page with a chart of all classes.
func writeBurnPage(name string, lines []burn.Line) error {
	p := page{Title: "Service-level burn", Head: []string{"class", "organisation", "objective"}}
	var labels []string
	all := make([]series, len(burn.Windows))
	for i, w := range burn.Windows {
		p.Head = append(p.Head, "burn "+w.String())
		all[i].name = w.String()
	}
	p.Head = append(p.Head, "budget left", "used up in")
	for _, l := range lines {
		row := []string{l.Class, l.Organisation, fmt.Sprintf("%.3f", l.Objective)}
		for i, r := range l.Rates {
			row = append(row, fmt.Sprintf("%.2f", r.Burn))
			if l.Organisation == "" {
				all[i].values = append(all[i].values, r.Burn)
			}
		}
		if l.Organisation == "" {
			labels = append(labels, l.Class)
		}
		p.Rows = append(p.Rows, append(row, fmt.Sprintf("%.0f %%", 100*l.Left), timeLeft(l)))
	}
	if len(labels) > 0 {
		svg, err := barChart("Burn by class and window", "1 = as fast as the budget allows", labels, all)
		if err != nil {
			return err
		}
		p.Plots = append(p.Plots, svg)
	}
	return p.write(name)
}
