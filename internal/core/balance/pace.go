package balance

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/pace"
)

// paceOfOthers is what other gateways measured of the upstream's pace.
func (u *upstream) paceOfOthers(now time.Time) pace.Others {
	if !u.hasPeerLoad(now) {
		return pace.Others{}
	}
	return pace.Others{
		BaseGap:    pace.Sum{N: u.peerLoad.BaseGaps, Ms: u.peerLoad.BaseGap},
		MeanGap:    pace.Sum{N: u.peerLoad.MeanGaps, Ms: u.peerLoad.MeanGap},
		LongestGap: pace.Sum{N: u.peerLoad.LongestGaps, Ms: u.peerLoad.LongestGap},
	}
}

// baseline returns the current means of the pool.
func (p *pool) baseline(now time.Time) pace.Baseline {
	p.paces.Reset()
	for _, u := range p.members {
		p.paces.Add(now, &u.pace, u.paceOfOthers(now))
	}
	return p.paces.Baseline()
}

// meanLatencyMs is the mean duration of an answer over the pool's upstreams.
func (p *pool) meanLatencyMs() float64 {
	var mean pace.LatencyMean
	for _, u := range p.members {
		mean.Add(&u.pace.Latency)
	}
	return mean.Ms()
}
