// Package pace holds what a gateway knows of an upstream's pace, relative to its pool.
//
// # Problem
//
// The upstreams of a pool differ in speed, and the speed of each changes while requests
// run there. A gateway measures it itself, by the duration of answers and by the gaps
// between the events of streams, and other gateways report the gaps that they measured.
// Measurements expire after a few seconds, so that an upstream that was slow is tried
// again.
//
// An upstream that shares its host also reports its pace with each answer, in percent of
// its usual duration of work. The pace changes within a second, so the latest report
// counts for a few hundred milliseconds, relative to the mean of the reports of the same
// time as the measurements: what they contain already is not counted twice.
//
// # Usage
//
//	var u pace.Upstream
//	u.Latency.Observe(now, duration)
//	u.ObserveGaps(now, gaps)
//	collector.Reset()
//	collector.Add(now, &u, others) // for each upstream of the pool
//	pool := collector.Baseline()
//	u.Report.Observe(now, percent)
//	factor := u.Slowness(now, others, pool, tight)
//	ms := u.AnswerMs(now, pool.LatencyMs)
package pace
