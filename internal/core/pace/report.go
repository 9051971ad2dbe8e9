package pace

import "time"

const (
	// reportFullFor is the age up to which a report counts fully, and reportTTL the age
	// from which on it does not count: upstreams' pace changes about every 600 ms.
	reportFullFor = 200 * time.Millisecond
	reportTTL     = 600 * time.Millisecond
	// maxReportFactor and minReportFactor bound the effect of a single report, so that none
	// drains or floods an upstream.
	maxReportFactor = 4.0
	minReportFactor = 0.25
)

// Report is the pace that an upstream reported of itself.
type Report struct {
	// latest is the latest report, mean the mean of the reports since the last pause, and
	// n their number; all in percent.
	latest float64
	mean   float64
	n      int
	at     time.Time
	// lowest is the fastest pace reported recently, and lowestBefore that before the
	// latest report.
	lowest       RecentMin
	lowestBefore float64
}

// Observe records a report in percent. Invalid values are ignored.
func (r *Report) Observe(now time.Time, percent int) {
	if !ValidPercent(percent) {
		return
	}
	if _, ok := r.Mean(now); !ok {
		r.mean, r.n = 0, 0
	}
	r.latest, r.at = r.clamped(percent), now
	r.n++
	// The mean moves at the rate of the mean latency, so that both cover the same time.
	r.mean += max(latencyWeight, 1/float64(r.n)) * (r.latest - r.mean)
	lowest, ok := r.lowest.Value(now)
	if !ok {
		lowest = r.latest
	}
	r.lowestBefore = lowest
	r.lowest.Observe(now, r.latest)
}

// clamped returns the report within the bounds of a single report, relative to the mean of
// those before. One outlier would otherwise distort the mean for many reports.
func (r *Report) clamped(percent int) float64 {
	if r.n == 0 {
		return float64(percent)
	}
	return min(max(float64(percent), minReportFactor*r.mean), maxReportFactor*r.mean)
}

// Mean is the mean of the reports in percent; false if there are no recent ones.
func (r *Report) Mean(now time.Time) (float64, bool) {
	return r.mean, !r.at.IsZero() && now.Sub(r.at) <= SampleTTL
}

// Factor is the expected duration of work relative to the mean over the recent reports, by
// the latest report and its age; 1 if there is none. A faster pace counts only if measured
// is true, which means that answers were measured, and only down to what was reported with
// earlier answers.
func (r *Report) Factor(now time.Time, measured bool) float64 {
	weight := r.weight(now)
	if weight == 0 {
		return 1
	}
	fastest := 1.0
	if measured {
		fastest = max(minReportFactor, min(1, r.lowestBefore/r.mean))
	}
	ratio := min(max(fastest, r.latest/r.mean), maxReportFactor)
	return 1 + weight*(ratio-1)
}

// weight is the weight of the latest report by its age.
func (r *Report) weight(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	age := now.Sub(r.at)
	return min(1, max(0, float64(reportTTL-age)/float64(reportTTL-reportFullFor)))
}

// AnswerMs is the expected duration of an answer in milliseconds, by measured durations
// and the reported pace. The upstream's own mean loses weight with age in favour of
// poolMean.
func (u *Upstream) AnswerMs(now time.Time, poolMean float64) float64 {
	return u.Latency.EstimateMs(now, poolMean) * u.ReportFactor(now)
}

// ReportFactor is the factor that the latest report applies to the measured durations.
func (u *Upstream) ReportFactor(now time.Time) float64 {
	return u.Report.Factor(now, u.Latency.known(now))
}
