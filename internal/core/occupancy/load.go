package occupancy

import "math"

// Load is the load that one or more gateways have at one upstream.
type Load struct {
	// Requests is the number of requests in flight.
	Requests int
	// Tight is the number of streams among them that tolerate only short gaps between
	// events.
	Tight int
	// Unread is the number of prompt tokens that wait for prefill.
	Unread int
	// Tokens is the KV cache memory that the requests occupy, in tokens.
	Tokens int
	// Overdue is the number of prompts that have waited for longer than the known load
	// explains, and OverdueMs the sum of the excess times in milliseconds.
	Overdue   int
	OverdueMs float64
	// BaseGaps is the number of gateways that know the usual time between two events of the
	// upstream's streams while nothing is prefilled, and BaseGap the sum of these times in
	// milliseconds.
	BaseGaps int
	BaseGap  float64
	// MeanGaps and MeanGap are the same for the mean time between events, including the
	// effect of concurrent prefills.
	MeanGaps int
	MeanGap  float64
	// LongestGaps and LongestGap are the same for the longest time between events of its tight
	// streams.
	LongestGaps int
	LongestGap  float64
	// Gone is the number of gateways that found nothing, or another incarnation, at the
	// upstream's address.
	Gone int
	// Closed is the number of gateways to which the upstream announced that it is
	// leaving, or asked them to back off.
	Closed int
	// Limited is the number of gateways to which the upstream recently announced a rate
	// limit, LimitLog the sum of the base-2 logarithms of the announced limits in
	// requests per second, and Free the number of gateways to which it answered without a
	// limit.
	Limited  int
	LimitLog float64
	Free     int
	// Failing is the number of gateways whose latest observation there, if recent, is a
	// request that failed, hung or was refused, and Served the number of those for which
	// it is an answer that began.
	Failing int
	Served  int
}

// plus returns the sum of both loads.
func (l Load) plus(o Load) Load { return l.combined(o, 1) }

// minus returns the load without the other one, which is a part of it.
func (l Load) minus(o Load) Load { return l.combined(o, -1) }

// combined returns the load plus the other one multiplied by the factor.
func (l Load) combined(o Load, factor int) Load {
	part := float64(factor)
	return Load{
		Requests:    l.Requests + factor*o.Requests,
		Tight:       l.Tight + factor*o.Tight,
		Unread:      l.Unread + factor*o.Unread,
		Tokens:      l.Tokens + factor*o.Tokens,
		Overdue:     l.Overdue + factor*o.Overdue,
		OverdueMs:   l.OverdueMs + part*o.OverdueMs,
		BaseGaps:    l.BaseGaps + factor*o.BaseGaps,
		BaseGap:     l.BaseGap + part*o.BaseGap,
		MeanGaps:    l.MeanGaps + factor*o.MeanGaps,
		MeanGap:     l.MeanGap + part*o.MeanGap,
		LongestGaps: l.LongestGaps + factor*o.LongestGaps,
		LongestGap:  l.LongestGap + part*o.LongestGap,
		Gone:        l.Gone + factor*o.Gone,
		Closed:      l.Closed + factor*o.Closed,
		Limited:     l.Limited + factor*o.Limited,
		LimitLog:    l.LimitLog + part*o.LimitLog,
		Free:        l.Free + factor*o.Free,
		Failing:     l.Failing + factor*o.Failing,
		Served:      l.Served + factor*o.Served,
	}
}

// empty reports whether all counts are zero. The sums of floating-point values are
// ignored, as only rounding errors remain of them then.
func (l Load) empty() bool {
	l.OverdueMs, l.BaseGap, l.MeanGap, l.LongestGap, l.LimitLog = 0, 0, 0, 0, 0
	return l == Load{}
}

// capVotes returns the load with its information on the upstream's health limited to the
// votes of at most so many gateways.
func (l Load) capVotes(maxVotes int) Load {
	l.Gone = min(l.Gone, maxVotes)
	l.Closed = min(l.Closed, maxVotes)
	l.LimitLog = meanLimitLog(l) * float64(min(l.Limited, maxVotes))
	l.Limited = min(l.Limited, maxVotes)
	l.Free = min(l.Free, maxVotes)
	l.Failing = min(l.Failing, maxVotes)
	l.Served = min(l.Served, maxVotes)
	return l
}

// maxLimitLog bounds the logarithm of a limit, so that one faulty gateway cannot shift
// the mean arbitrarily. Limits of 1,024 requests per second and more have no effect in
// practice.
const maxLimitLog = 10

// WithLimit returns the load with one gateway's vote that the upstream announced a limit.
func (l Load) WithLimit(perSecond float64) Load {
	l.Limited = 1
	l.LimitLog = min(max(math.Log2(perSecond), -maxLimitLog), maxLimitLog)
	return l
}

// Limit is the geometric mean of the limits that the upstream announced, in requests per
// second; 0 if it announced none.
func (l Load) Limit() float64 {
	if l.Limited == 0 {
		return 0
	}
	return math.Exp2(meanLimitLog(l))
}

// meanLimitLog is the mean of the logarithms, clamped to their bounds.
func meanLimitLog(l Load) float64 {
	if l.Limited == 0 || math.IsNaN(l.LimitLog) {
		return 0
	}
	return min(max(l.LimitLog/float64(l.Limited), -maxLimitLog), maxLimitLog)
}

// Loads maps the key of an upstream's incarnation to its load. Upstreams without load are
// left out.
type Loads map[uint64]Load

// add adds the loads of other gateways.
func (l Loads) add(o Loads) {
	for id, load := range o {
		l[id] = l[id].plus(load)
	}
}

// subtract removes loads that were added before.
func (l Loads) subtract(o Loads) {
	for id, load := range o {
		left := l[id].minus(load)
		if left.empty() {
			delete(l, id)
			continue
		}
		l[id] = left
	}
}

// WithoutVotes returns the loads without the votes on the upstreams' health.
func (l Loads) WithoutVotes() Loads { return l.capVotes(0) }

func (l Loads) capVotes(maxVotes int) Loads {
	out := make(Loads, len(l))
	for id, load := range l {
		out[id] = load.capVotes(maxVotes)
	}
	return out
}
