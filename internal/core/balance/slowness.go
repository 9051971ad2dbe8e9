package balance

import (
	"slices"
	"time"
)

// maxSlowness bounds the estimated slowness of an engine relative to its pool: beyond it,
// the prompts that wait there are a better signal.
const maxSlowness = 16.0

// medianGaps holds the medians of the base gaps and mean gaps of a pool's engines; 0 if
// unknown.
type medianGaps struct {
	base    float64
	meanGap float64
}

// fleetBaseGap is the base gap of the engine over all gateways; false if none knows it.
func (u *upstream) fleetBaseGap(now time.Time) (float64, bool) {
	own, ok := u.baseGap.value(now)
	return u.combineGap(now, own, ok, u.peerLoad.Tempo, u.peerLoad.Tempos)
}

// fleetMeanGap is the mean gap of the engine over all gateways.
func (u *upstream) fleetMeanGap(now time.Time) (float64, bool) {
	own, ok := u.meanGap.value(now)
	return u.combineGap(now, own, ok, u.peerLoad.Strain, u.peerLoad.Strains)
}

// combineGap is the mean of this gateway's value, if known, and those of n others.
func (u *upstream) combineGap(now time.Time, own float64, known bool, others float64, n int) (float64, bool) {
	sum, count := 0.0, 0
	if known {
		sum, count = own, 1
	}
	if u.hasPeerLoad(now) {
		sum += others
		count += n
	}
	if count == 0 {
		return 0, false
	}
	return sum / float64(count), true
}

// medianGaps returns the medians of the pool.
func (p *pool) medianGaps(now time.Time) medianGaps {
	var baseGaps, meanGaps []float64
	for _, u := range p.members {
		if gap, ok := u.fleetBaseGap(now); ok {
			baseGaps = append(baseGaps, gap)
		}
		if gap, ok := u.fleetMeanGap(now); ok {
			meanGaps = append(meanGaps, gap)
		}
	}
	return medianGaps{base: median(baseGaps), meanGap: median(meanGaps)}
}

// median returns the lower median; 0 for an empty list.
func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}

// slowness is how much slower the engine is than the pool's median, at least 1. For tight
// streams the current mean gap counts as well, which includes prefill.
func (u *upstream) slowness(now time.Time, pool medianGaps, tight bool) float64 {
	gap, ok := u.fleetBaseGap(now)
	slow := multiple(gap, pool.base, ok)
	if !tight {
		return slow
	}
	gap, ok = u.fleetMeanGap(now)
	return max(slow, multiple(gap, pool.meanGap, ok))
}

// multiple is the ratio of a known gap to the median, between 1 and maxSlowness.
func multiple(gap, median float64, known bool) float64 {
	if !known || median == 0 {
		return 1
	}
	return min(max(1, gap/median), maxSlowness)
}
