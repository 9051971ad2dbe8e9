package suspect

import (
	"iter"
	"maps"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// Time and size limits of the registry.
const (
	// minBlockTime is how long a request stays blocked after its third crash. After that one
	// more run may show that it does no harm any more: upstreams get fixed, and a common
	// request that was present at three crashes in a row by chance must not be refused for
	// long. The time doubles with each further crash, up to maxBlockTime.
	minBlockTime = time.Minute
	maxBlockTime = 10 * time.Minute
	// retention is how long a request is kept after its last crash.
	retention = 30 * time.Minute
	// maxRecords bounds the requests that are kept, at about 300 bytes each. A crash of one
	// upstream adds tens of requests.
	maxRecords = 512
	// maxRoundLead is how many rounds an observation may be ahead of the local record. It
	// keeps a faulty observation from overflowing the round counter.
	maxRoundLead = 64
)

// Verdict says whether and how a request may run.
type Verdict int

// Verdicts on a request.
const (
	// Free requests run without restriction.
	Free Verdict = iota
	// Quarantined requests run alone, where they affect the fewest other requests, and
	// once.
	Quarantined
	// Occupied requests are quarantined and do not run now, because another run of the same
	// request is in progress at this gateway.
	Occupied
	// Blocked requests do not run.
	Blocked
)

// String names the verdict in logs.
func (v Verdict) String() string {
	return [...]string{"free", "quarantined", "occupied", "blocked"}[v]
}

// Registry holds the evidence of one gateway. It is not safe for concurrent use.
type Registry struct {
	self      uint64
	records   map[Print]*record
	knownGood knownGood
	log       log
	peers     map[string]*peer
}

// NewRegistry returns a registry of the gateway with this address hash. The epoch
// distinguishes restarts of the gateway: observations of an earlier epoch count as those of
// another witness.
func NewRegistry(address, epoch uint64) *Registry {
	return &Registry{
		self:    rendezvous.Mix(address, epoch),
		records: make(map[Print]*record),
		log:     log{epoch: epoch},
		peers:   make(map[string]*peer),
	}
}

// Known is the number of requests in the registry. While it is 0, no fingerprint needs to
// be computed.
func (r *Registry) Known() int { return len(r.records) }

// Prints returns the fingerprints in the registry, in any order.
func (r *Registry) Prints() iter.Seq[Print] { return maps.Keys(r.records) }

// Counts returns the number of quarantined and of blocked requests.
func (r *Registry) Counts(now time.Time) (quarantined, blocked int) {
	for p := range r.records {
		switch r.Check(now, p) {
		case Blocked:
			blocked++
		case Quarantined:
			quarantined++
		default:
		}
	}
	return quarantined, blocked
}

// Crashes is the number of crashes that count against the request.
func (r *Registry) Crashes(p Print) int {
	if rec, ok := r.records[p]; ok {
		return rec.count(r.self)
	}
	return 0
}

// Check returns the verdict on the request without starting a run.
func (r *Registry) Check(now time.Time, p Print) Verdict {
	rec, ok := r.records[p]
	if !ok {
		return Free
	}
	n := rec.count(r.self)
	switch {
	case n < quarantineAt:
		return Free
	case n < blockAt || now.Sub(rec.changedAt) > blockTime(n) || r.explained(p, rec, n):
		return Quarantined
	default:
		return Blocked
	}
}

// blockTime is how long a request is blocked after the last of n crashes.
func blockTime(n int) time.Duration {
	return min(minBlockTime<<(n-blockAt), maxBlockTime)
}

// explained reports whether another request was present at all crashes of this one and at
// more: that one is taken as the cause. Of two requests with the same crashes either may be
// the cause, so neither is blocked until n reaches unconditionalBlockAt.
func (r *Registry) explained(p Print, rec *record, n int) bool {
	for other, o := range r.records {
		if other == p || !o.covers(rec) {
			continue
		}
		if len(o.crashes) > len(rec.crashes) || n < unconditionalBlockAt {
			return true
		}
	}
	return false
}

// Admit returns the verdict on a request that is about to run. If it is Quarantined, the
// caller must call Release after the run.
func (r *Registry) Admit(now time.Time, p Print) Verdict {
	v := r.Check(now, p)
	if v != Quarantined {
		return v
	}
	rec := r.records[p]
	if rec.running > 0 {
		return Occupied
	}
	rec.running++
	return Quarantined
}

// Release records the end of a quarantined run.
func (r *Registry) Release(p Print) {
	if rec, ok := r.records[p]; ok && rec.running > 0 {
		rec.running--
	}
}

// RecordCrash records that an upstream incarnation crashed while running the request,
// which this gateway had sent there that long before.
func (r *Registry) RecordCrash(now time.Time, p Print, start uint64, ran time.Duration) {
	o := Observation{Print: p, Start: start, Witness: r.self, At: now, Ran: ran}
	if rec, ok := r.records[p]; ok {
		o.Round = rec.round
	}
	r.apply(now, o)
}

// RecordSuccess records that the request ran here without harm: it was answered, or ran for
// long enough. It reports whether evidence against the request was cleared.
func (r *Registry) RecordSuccess(now time.Time, p Print) bool {
	r.knownGood.add(now, p)
	return r.clearRecord(now, p)
}

// clearRecord clears the request by an observation of this gateway. It returns false if
// there was no evidence against it.
func (r *Registry) clearRecord(now time.Time, p Print) bool {
	rec, ok := r.records[p]
	if !ok || len(rec.crashes) == 0 {
		return false
	}
	return r.apply(now, Observation{Print: p, Round: rec.round + 1, Witness: r.self, At: now})
}

// apply adds an observation. It returns false if the observation adds nothing new.
func (r *Registry) apply(now time.Time, o Observation) bool {
	rec, ok := r.records[o.Print]
	switch {
	case !ok && (o.clears() || o.Round > maxRoundLead), ok && o.Round > rec.round+maxRoundLead:
		return false
	case !ok:
		r.evict()
		rec = &record{round: o.Round}
		r.records[o.Print] = rec
	case o.Round < rec.round:
		return false
	case o.Round > rec.round:
		rec.startRound(now, o.Round)
		if o.clears() {
			r.log.add(o)
			return true
		}
	}
	if o.clears() || !rec.add(crash{incarnation: o.Start, witness: o.Witness, at: o.At, ran: o.Ran}, r.self) {
		return false
	}
	r.log.add(o)
	if r.knownGood.has(now, o.Print) {
		r.clearRecord(now, o.Print)
	}
	return true
}

// evict drops the least important record if the registry is full. In a flood of crashes,
// requests present at only one crash are dropped first, the oldest of them before others.
func (r *Registry) evict() {
	if len(r.records) < maxRecords {
		return
	}
	var lowest Print
	var worst *record
	for p, rec := range r.records {
		if worst == nil || compareForEviction(rec, worst) < 0 {
			lowest, worst = p, rec
		}
	}
	delete(r.records, lowest)
}

// Sweep drops the requests without a crash during the retention time.
func (r *Registry) Sweep(now time.Time) {
	for p, rec := range r.records {
		if now.Sub(rec.changedAt) > retention && rec.running == 0 {
			delete(r.records, p)
		}
	}
}
