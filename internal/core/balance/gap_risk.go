package balance

import "time"

const (
	// pauseWeight is the weight of the latest stream in an engine's pauses.
	longestGapWeight = 0.15
	// pauseFrom and pauseTo are the multiples of a pause target between which the
	// pauses of an engine go from harmless to a miss.
	gapRiskFrom = 0.7
	gapRiskTo   = 1.1
	// pauseCost is the cost of an engine whose streams miss their pause target, in
	// milliseconds of waiting.
	gapMissCost = 100.0
)

// pauseRisk is how likely a stream that bears the pause misses it at the engine, by
// the streams before it: 0 to 1.
func (u *upstream) gapMissRisk(now time.Time, target time.Duration) float64 {
	own, ok := u.longestGap.value(now)
	longest, ok := u.combineGap(now, own, ok, u.peerLoad.Longest, u.peerLoad.Longests)
	if !ok || target <= 0 {
		return 0
	}
	return min(max(0, (longest/milliseconds(target)-gapRiskFrom)/(gapRiskTo-gapRiskFrom)), 1)
}
