package balance

import (
	"slices"
	"time"
)

// slowMost bounds how slow an engine is taken to be, as a multiple of its pool:
// more is better told by the prompts that wait there.
const slowMost = 16.0

// usualGaps are the median tempo and strain of a pool's engines; 0 if none is
// known.
type usualGaps struct {
	tempo  float64
	strain float64
}

// tempoSeen is the tempo of the engine by the word of all gateways; false if none
// knows it.
func (u *upstream) tempoSeen(now time.Time) (float64, bool) {
	own, ok := u.tempo.value(now)
	return u.meanGap(now, own, ok, u.shared.Tempo, u.shared.Tempos)
}

// strainSeen is the strain of the engine by the word of all gateways.
func (u *upstream) strainSeen(now time.Time) (float64, bool) {
	own, ok := u.strain.value(now)
	return u.meanGap(now, own, ok, u.shared.Strain, u.shared.Strains)
}

// meanGap is the mean of this gateway's gap, if it has one, and of those of n
// others.
func (u *upstream) meanGap(now time.Time, own float64, known bool, others float64, n int) (float64, bool) {
	sum, count := 0.0, 0
	if known {
		sum, count = own, 1
	}
	if u.told(now) {
		sum += others
		count += n
	}
	if count == 0 {
		return 0, false
	}
	return sum / float64(count), true
}

// usualGaps returns the medians of the pool.
func (p *pool) usualGaps(now time.Time) usualGaps {
	var tempos, strains []float64
	for _, u := range p.members {
		if gap, ok := u.tempoSeen(now); ok {
			tempos = append(tempos, gap)
		}
		if gap, ok := u.strainSeen(now); ok {
			strains = append(strains, gap)
		}
	}
	return usualGaps{tempo: median(tempos), strain: median(strains)}
}

// median returns the lower median; 0 of nothing.
func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}

// slowness is how much slower the engine is than its pool usually is; 1 for one
// that is not. Tight streams count how long its streams pause now, with all that
// it reads.
func (u *upstream) slowness(now time.Time, usual usualGaps, tight bool) float64 {
	gap, ok := u.tempoSeen(now)
	slow := multiple(gap, usual.tempo, ok)
	if !tight {
		return slow
	}
	gap, ok = u.strainSeen(now)
	return max(slow, multiple(gap, usual.strain, ok))
}

// multiple is how many times the usual gap a known gap is.
func multiple(gap, usual float64, known bool) float64 {
	if !known || usual == 0 {
		return 1
	}
	return min(max(1, gap/usual), slowMost)
}
