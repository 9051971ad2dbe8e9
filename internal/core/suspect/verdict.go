package suspect

import (
	"slices"
	"time"
)

// trialDelay is how long a blocked fingerprint is refused before the gateway that reported its
// last crash may run it once more: upstreams get fixed, and one that was present at crashes by
// chance must not be refused for as long as it is remembered.
const trialDelay = 2 * time.Minute

// Verdict says whether and how a request may run.
type Verdict int

// Verdicts on a request.
const (
	// Free requests run without restriction.
	Free Verdict = iota
	// Quarantined requests run alone, where they affect the fewest other requests, and
	// once.
	Quarantined
	// Occupied requests are quarantined and do not run now, because another run for the same
	// reason is in progress at this gateway.
	Occupied
	// Blocked requests do not run.
	Blocked
)

// String names the verdict in logs.
func (v Verdict) String() string {
	return [...]string{"free", "quarantined", "occupied", "blocked"}[v]
}

// Judgement is a verdict on a request and the fingerprint that it is based on.
type Judgement struct {
	Verdict Verdict
	// Print is the fingerprint with the strongest evidence, of the request or of one of its
	// parts, and Crashes the number of crashes that count against it. Print is the zero value
	// if nothing is known.
	Print   Print
	Crashes int
	// held are the fingerprints that a quarantined run occupies.
	held []Print
}

// Check returns the verdict on the request without starting a run.
func (r *Registry) Check(now time.Time, q Request) Judgement {
	var j Judgement
	for p := range q.prints() {
		rec, ok := r.records[p]
		if !ok {
			continue
		}
		n := r.count(now, p, rec)
		v := r.verdictOn(now, q, p, rec, n)
		if v > j.Verdict || (v == j.Verdict && n > j.Crashes) {
			j.Verdict, j.Print, j.Crashes = v, p, n
		}
		if v == Quarantined && (p == q.Print || n >= blockAt) {
			j.held = append(j.held, p)
		}
	}
	return j
}

// verdictOn returns the verdict on the request by one of its fingerprints, with n crashes.
func (r *Registry) verdictOn(now time.Time, q Request, p Print, rec *record, n int) Verdict {
	if n < quarantineAt {
		return Free
	}
	part := p != q.Print
	enough := blockAt
	if part {
		enough = rec.partBlockAt()
	}
	switch {
	case n < enough, r.mayTryAgain(now, rec):
		return Quarantined
	case r.hasTwin(q, rec) && (part || n < unconditionalBlockAt):
		return Quarantined
	case r.count(now, p, r.withoutExplained(q, rec)) < enough:
		return Quarantined
	default:
		return Blocked
	}
}

// mayTryAgain reports whether this gateway may run a blocked request once more. Only the
// gateway that reported the last crash may, so that a large fleet does not try many times.
func (r *Registry) mayTryAgain(now time.Time, rec *record) bool {
	last := rec.last()
	return last.witness == r.self && now.Sub(last.at) > trialDelay && !rec.triedAgain
}

// hasTwin reports whether something that is not part of the request was present at the same
// crashes as the record. Either may be the cause, so that a request with only one of them runs
// alone to tell them apart.
func (r *Registry) hasTwin(q Request, rec *record) bool {
	for p, other := range r.records {
		if len(other.crashes) == len(rec.crashes) && !q.has(p) && other.covers(rec) {
			return true
		}
	}
	return false
}

// withoutExplained returns a copy of the record without the crashes that have a more likely
// cause: something that is not part of the request was present at them, at enough for a block,
// and at more than the record.
func (r *Registry) withoutExplained(q Request, rec *record) *record {
	rest := *rec
	rest.crashes = slices.Clone(rec.crashes)
	for p, other := range r.records {
		if len(other.crashes) <= max(len(rec.crashes), blockAt-1) || q.has(p) {
			continue
		}
		rest.crashes = slices.DeleteFunc(rest.crashes, func(c crash) bool { return other.has(c.incarnation) })
	}
	return &rest
}

// Admit returns the verdict on a request that is about to run. If it is Quarantined, the
// caller must call Release after the run.
func (r *Registry) Admit(now time.Time, q Request) Judgement {
	j := r.Check(now, q)
	if j.Verdict != Quarantined {
		return j
	}
	for _, p := range j.held {
		if r.records[p].running > 0 {
			j.Verdict, j.held = Occupied, nil
			return j
		}
	}
	for _, p := range j.held {
		rec := r.records[p]
		rec.running++
		rec.trial = r.mayTryAgain(now, rec)
	}
	return j
}

// Arrived counts a request for the share of the requests that have its parts. It is called once
// for each, whatever becomes of it.
func (r *Registry) Arrived(q Request) {
	if len(q.Parts) == 0 {
		return
	}
	r.arrivals++
	for i, p := range q.Parts {
		if rec, ok := r.records[p]; ok && !slices.Contains(q.Parts[:i], p) {
			rec.arrivals++
		}
	}
}

// Release records the end of a quarantined run.
func (r *Registry) Release(j Judgement) {
	for _, p := range j.held {
		if rec, ok := r.records[p]; ok && rec.running > 0 {
			rec.running--
			rec.triedAgain = rec.triedAgain || rec.trial
			rec.trial = false
		}
	}
}

// Crashes is the number of crashes that count against the fingerprint.
func (r *Registry) Crashes(now time.Time, p Print) int {
	if rec, ok := r.records[p]; ok {
		return r.count(now, p, rec)
	}
	return 0
}

// count is the number of crashes that count against the fingerprint. A part that was answered
// here is not blocked on the report of a single other gateway.
func (r *Registry) count(now time.Time, p Print, rec *record) int {
	return rec.count(r.self, !r.goodParts.has(now, p) && !r.goodRequests.has(now, p))
}
