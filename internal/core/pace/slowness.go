package pace

import "time"

// maxSlowness bounds the estimated slowness of an engine relative to its pool: beyond it,
// the prompts that wait there are a better signal.
const maxSlowness = 16.0

// Slowness is how much slower the engine is than the pool's median, at least 1. Tight
// streams run for seconds, so only measured gaps count for them, including the current
// mean gap with prefill. For all others the reported pace counts as well.
func (u *Upstream) Slowness(now time.Time, o Others, pool Baseline, tight bool) float64 {
	gap, ok := u.FleetBaseGap(now, o)
	slow := multiple(gap, pool.Gaps.Base, ok)
	if !tight {
		return u.withReport(now, slow, pool.Percent)
	}
	gap, ok = u.FleetMeanGap(now, o)
	return max(slow, multiple(gap, pool.Gaps.Mean, ok))
}

// withReport adds the reported pace to the slowness by gaps. The mean of the reports
// applies where it is higher, since gaps are known only of engines that run streams. The
// latest report applies relative to that mean; mean and latest report together make an engine
// slower by at most the bound of reports.
func (u *Upstream) withReport(now time.Time, slow, poolPercent float64) float64 {
	percent, ok := u.Report.Mean(now)
	lasting := min(multiple(percent, poolPercent, ok), maxReportFactor)
	latest := u.Report.Factor(now, false)
	reported := min(lasting*latest, maxReportFactor)
	return min(max(slow*latest, reported), maxSlowness)
}

// multiple is the ratio of a known value to the median, between 1 and maxSlowness.
func multiple(value, median float64, known bool) float64 {
	if !known || median == 0 {
		return 1
	}
	return min(max(1, value/median), maxSlowness)
}
