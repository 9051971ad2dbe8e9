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
func (l Load) plus(o Load) Load { return l.combined(o, 1) }

// minus returns what is left without the other load, which is a part of this one.
func (l Load) minus(o Load) Load { return l.combined(o, -1) }

// combined returns the load and the other one, taken so many times.
func (l Load) combined(o Load, times int) Load {
	part := float64(times)
	return Load{
		Requests:  l.Requests + times*o.Requests,
		Tight:     l.Tight + times*o.Tight,
		Unread:    l.Unread + times*o.Unread,
		Tokens:    l.Tokens + times*o.Tokens,
		Overdue:   l.Overdue + times*o.Overdue,
		OverdueMs: l.OverdueMs + part*o.OverdueMs,
		Tempos:    l.Tempos + times*o.Tempos,
		Tempo:     l.Tempo + part*o.Tempo,
		Strains:   l.Strains + times*o.Strains,
		Strain:    l.Strain + part*o.Strain,
		Longests:  l.Longests + times*o.Longests,
		Longest:   l.Longest + part*o.Longest,
		Gone:      l.Gone + times*o.Gone,
		Closed:    l.Closed + times*o.Closed,
		Limited:   l.Limited + times*o.Limited,
		LimitLog:  l.LimitLog + part*o.LimitLog,
		Free:      l.Free + times*o.Free,
		Failing:   l.Failing + times*o.Failing,
		Served:    l.Served + times*o.Served,
	}
}

// empty reports whether nothing is counted. What is left of the sums of fractions then
// is rounding.
func (l Load) empty() bool {
	l.OverdueMs, l.Tempo, l.Strain, l.Longest, l.LimitLog = 0, 0, 0, 0, 0
	return l == Load{}
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

// remove takes away the loads of other gateways that were added.
func (l Loads) remove(o Loads) {
	for id, load := range o {
		left := l[id].minus(load)
		if left.empty() {
			delete(l, id)
			continue
		}
		l[id] = left
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
