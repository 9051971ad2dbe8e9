package occupancy

import "math"

// Load is what gateways have at one upstream.
type Load struct {
	// Requests is the number of requests that have not ended.
	Requests int
	// Tight is the number of streams among them that bear only short pauses.
	Tight int
	// Unread is the prompt tokens that wait to be read.
	Unread int
	// Tokens is the memory that the requests fill, in tokens.
	Tokens int
	// Overdue is the number of prompts that have waited for longer than can be
	// explained, and OverdueMs for how much longer, in milliseconds, summed up.
	Overdue   int
	OverdueMs float64
	// Tempos is the number of gateways that know the usual time between two
	// events of the upstream's streams, and Tempo the sum of it, in milliseconds.
	Tempos int
	Tempo  float64
	// Strains and Strain are the same of that time whatever is read meanwhile.
	Strains int
	Strain  float64
	// Longests and Longest are the same of the longest times of its tight streams.
	Longests int
	Longest  float64
	// Gone is the number of gateways that found nothing, or another start, at the
	// upstream's address.
	Gone int
	// Closed is the number of gateways to which the upstream said that it leaves, or wants
	// rest.
	Closed int
	// Limited is the number of gateways to which the upstream lately named a limit, LimitLog
	// the sum of the logarithms to base 2 of the requests a second that it named, and Free
	// the number of those to which it named none.
	Limited  int
	LimitLog float64
	Free     int
	// Failing is the number of gateways whose latest request failed there or was refused,
	// Served of those whose latest one was answered.
	Failing int
	Served  int
}

// plus returns the sum.
func (l Load) plus(o Load) Load {
	return Load{
		Requests:  l.Requests + o.Requests,
		Tight:     l.Tight + o.Tight,
		Unread:    l.Unread + o.Unread,
		Tokens:    l.Tokens + o.Tokens,
		Overdue:   l.Overdue + o.Overdue,
		OverdueMs: l.OverdueMs + o.OverdueMs,
		Tempos:    l.Tempos + o.Tempos,
		Tempo:     l.Tempo + o.Tempo,
		Strains:   l.Strains + o.Strains,
		Strain:    l.Strain + o.Strain,
		Longests:  l.Longests + o.Longests,
		Longest:   l.Longest + o.Longest,
		Gone:      l.Gone + o.Gone,
		Closed:    l.Closed + o.Closed,
		Limited:   l.Limited + o.Limited,
		LimitLog:  l.LimitLog + o.LimitLog,
		Free:      l.Free + o.Free,
		Failing:   l.Failing + o.Failing,
		Served:    l.Served + o.Served,
	}
}

// withWitnesses returns the load with what it tells of the upstream's health as the word of
// so many gateways at most.
func (l Load) withWitnesses(most int) Load {
	l.Gone = min(l.Gone, most)
	l.Closed = min(l.Closed, most)
	l.LimitLog = meanLimitLog(l) * float64(min(l.Limited, most))
	l.Limited = min(l.Limited, most)
	l.Free = min(l.Free, most)
	l.Failing = min(l.Failing, most)
	l.Served = min(l.Served, most)
	return l
}

// limitLogMost bounds the logarithm of a limit: one gateway that lies must not move the
// mean of all without bound. Limits of 1,024 requests a second and more bind nobody.
const limitLogMost = 10

// WithLimit returns the load with the word of one gateway that the upstream named a limit.
func (l Load) WithLimit(perSecond float64) Load {
	l.Limited = 1
	l.LimitLog = min(max(math.Log2(perSecond), -limitLogMost), limitLogMost)
	return l
}

// Limit is the geometric mean of the limits that the upstream named, in requests a second;
// 0 if it named none.
func (l Load) Limit() float64 {
	if l.Limited == 0 {
		return 0
	}
	return math.Exp2(meanLimitLog(l))
}

// meanLimitLog is the mean of the logarithms, within their bounds.
func meanLimitLog(l Load) float64 {
	if l.Limited == 0 || math.IsNaN(l.LimitLog) {
		return 0
	}
	return min(max(l.LimitLog/float64(l.Limited), -limitLogMost), limitLogMost)
}

// Loads are by the hash of the upstream's identity. Upstreams with nothing are
// left out.
type Loads map[uint64]Load

// add adds the loads of other gateways.
func (l Loads) add(o Loads) {
	for id, load := range o {
		l[id] = l[id].plus(load)
	}
}

// WithoutVerdicts returns the loads without what they tell of the upstreams' health.
func (l Loads) WithoutVerdicts() Loads { return l.withWitnesses(0) }

func (l Loads) withWitnesses(most int) Loads {
	out := make(Loads, len(l))
	for id, load := range l {
		out[id] = load.withWitnesses(most)
	}
	return out
}
