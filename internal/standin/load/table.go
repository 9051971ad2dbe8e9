package load

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Print writes a table with a line for each class.
func (r *Report) Print(w io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "class\tsent\tcompleted\tnot run\tunknown\tattainment\tfirst p50\tfirst p95\t")
	for _, name := range r.order {
		c := r.classes[name]
		attainment := 0.0
		if c.sent > 0 {
			attainment = float64(c.metTarget) / float64(c.sent)
		}
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.3f\t%s\t%s\t\n", name, c.sent, c.completed, c.notRun, c.unknown,
			attainment, quantile(c.firstTokens, 0.5), quantile(c.firstTokens, 0.95))
	}
	return t.Flush()
}

// Completed returns the number of requests with a complete response.
func (r *Report) Completed() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, c := range r.classes {
		n += c.completed
	}
	return n
}

func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[int(q*float64(len(sorted)-1))].Round(time.Millisecond)
}
