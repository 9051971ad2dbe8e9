package balance

import "time"

const (
	// gapRiskFrom and gapRiskTo are the multiples of a gap target between which the mean
	// longest gap of an engine goes from harmless to a certain miss.
	gapRiskFrom = 0.7
	gapRiskTo   = 1.1
	// gapMissCost is the cost of an engine whose streams miss their gap target, in
	// milliseconds of waiting.
	gapMissCost = 100.0
)

// gapMissRisk is the probability that a stream misses the gap target at the engine,
// estimated from previous streams: 0 to 1.
func (u *upstream) gapMissRisk(now time.Time, target time.Duration) float64 {
	longest, ok := u.pace.FleetLongestGap(now, u.paceOfOthers(now))
	if !ok || target <= 0 {
		return 0
	}
	return min(max(0, (longest/milliseconds(target)-gapRiskFrom)/(gapRiskTo-gapRiskFrom)), 1)
}
