package gatewayd

import (
	"github.com/gladegauge/gladegauge/internal/core/occupancy"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// encodeLoads converts loads to their message.
func encodeLoads(loads occupancy.Loads) []*gladegaugev1.UpstreamLoad {
	list := make([]*gladegaugev1.UpstreamLoad, 0, len(loads))
	for id, l := range loads {
		list = append(list, &gladegaugev1.UpstreamLoad{
			Upstream:  id,
			Requests:  clampUint32(l.Requests),
			Tight:     clampUint32(l.Tight),
			Unread:    clampUint32(l.Unread),
			Tokens:    clampUint32(l.Tokens),
			Overdue:   clampUint32(l.Overdue),
			OverdueMs: float32(l.OverdueMs),
			Tempos:    clampUint32(l.BaseGaps),
			Tempo:     float32(l.BaseGap),
			Strain:    float32(l.MeanGap),
			Longests:  clampUint32(l.LongestGaps),
			Longest:   float32(l.LongestGap),
			Strains:   clampUint32(l.MeanGaps),
			Gone:      clampUint32(l.Gone),
			Closed:    clampUint32(l.Closed),
			Limited:   clampUint32(l.Limited),
			LimitLog:  float32(l.LimitLog),
			Free:      clampUint32(l.Free),
			Failing:   clampUint32(l.Failing),
			Served:    clampUint32(l.Served),
		})
	}
	return list
}

// decodeLoads returns the loads in a message.
func decodeLoads(list []*gladegaugev1.UpstreamLoad) occupancy.Loads {
	loads := make(occupancy.Loads, len(list))
	for _, l := range list {
		loads[l.GetUpstream()] = occupancy.Load{
			Requests:    int(l.GetRequests()),
			Tight:       int(l.GetTight()),
			Unread:      int(l.GetUnread()),
			Tokens:      int(l.GetTokens()),
			Overdue:     int(l.GetOverdue()),
			OverdueMs:   float64(l.GetOverdueMs()),
			BaseGaps:    int(l.GetTempos()),
			BaseGap:     float64(l.GetTempo()),
			MeanGap:     float64(l.GetStrain()),
			LongestGaps: int(l.GetLongests()),
			LongestGap:  float64(l.GetLongest()),
			MeanGaps:    int(l.GetStrains()),
			Gone:        int(l.GetGone()),
			Closed:      int(l.GetClosed()),
			Limited:     int(l.GetLimited()),
			LimitLog:    float64(l.GetLimitLog()),
			Free:        int(l.GetFree()),
			Failing:     int(l.GetFailing()),
			Served:      int(l.GetServed()),
		}
	}
	return loads
}

// encodeParts converts reports on cached prompt parts to their message.
func encodeParts(parts []occupancy.Part) []*gladegaugev1.KeptPart {
	list := make([]*gladegaugev1.KeptPart, len(parts))
	for i, p := range parts {
		list[i] = &gladegaugev1.KeptPart{Upstream: p.Upstream, Key: p.Key, Tokens: clampUint32(p.Tokens), Read: p.Read}
	}
	return list
}

// decodeParts returns the reports on cached prompt parts in a message.
func decodeParts(list []*gladegaugev1.KeptPart) []occupancy.Part {
	parts := make([]occupancy.Part, len(list))
	for i, p := range list {
		parts[i] = occupancy.Part{Upstream: p.GetUpstream(), Key: p.GetKey(), Tokens: int(p.GetTokens()), Read: p.GetRead()}
	}
	return parts
}
