package balance

import "time"

const (
	// pauseWeight is the weight of the latest stream in an engine's pauses.
	pauseWeight = 0.15
	// pauseFrom and pauseTo are the multiples of a pause target between which the
	// pauses of an engine go from harmless to a miss.
	pauseFrom = 0.7
	pauseTo   = 1.1
	// pauseCost is the cost of an engine whose streams miss their pause target, in
	// milliseconds of waiting.
	pauseCost = 100.0
)

// pauseRisk is how likely a stream that bears the pause misses it at the engine, by
// the streams before it: 0 to 1.
func (u *upstream) pauseRisk(now time.Time, pause time.Duration) float64 {
	own, ok := u.pausing.value(now)
	longest, ok := u.meanGap(now, own, ok, u.shared.Longest, u.shared.Longests)
	if !ok || pause <= 0 {
		return 0
	}
	return min(max(0, (longest/milliseconds(pause)-pauseFrom)/(pauseTo-pauseFrom)), 1)
}
