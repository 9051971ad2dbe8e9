package suspect

import (
	"iter"
	"maps"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// Time and size limits of the registry.
const (
	// retention is how long a fingerprint is kept after its last crash, and blockRetention
	// how long one with enough crashes for a block is.
	retention      = 30 * time.Minute
	blockRetention = 24 * time.Hour
	// maxRecords bounds the fingerprints that are kept, at about 300 bytes each. A crash of
	// one upstream adds tens of requests, each with some parts that nobody else has.
	maxRecords = 2048
	// maxRoundLead is how many rounds an observation may be ahead of the local record. It
	// keeps a faulty observation from overflowing the round counter.
	maxRoundLead = 64
)

// Registry holds the evidence of one gateway. It is not safe for concurrent use.
type Registry struct {
	self       uint64
	records    map[Print]*record
	crashTimes crashTimes
	// arrivals is the number of requests with prompts that arrived.
	arrivals int
	// goodRequests and goodParts were answered in the last half minute, recentParts within
	// seconds.
	goodRequests knownGood
	goodParts    knownGood
	recentParts  recentParts
	log          log
	peers        map[string]*peer
}

// NewRegistry returns a registry of the gateway with this address hash. The epoch
// distinguishes restarts of the gateway: observations of an earlier epoch count as those of
// another witness.
func NewRegistry(address, epoch uint64) *Registry {
	return &Registry{
		self:         rendezvous.Mix(address, epoch),
		records:      make(map[Print]*record),
		crashTimes:   make(crashTimes),
		goodRequests: knownGood{period: knownGoodPeriod},
		goodParts:    knownGood{period: knownGoodPeriod},
		recentParts:  make(recentParts),
		log:          log{epoch: epoch},
		peers:        make(map[string]*peer),
	}
}

// Known is the number of fingerprints in the registry. While it is 0, no request needs to be
// checked.
func (r *Registry) Known() int { return len(r.records) }

// Prints returns the fingerprints in the registry, in any order.
func (r *Registry) Prints() iter.Seq[Print] { return maps.Keys(r.records) }

// Counts returns the number of quarantined and of blocked fingerprints.
func (r *Registry) Counts(now time.Time) (quarantined, blocked int) {
	for p := range r.records {
		switch r.Check(now, Request{Print: p}).Verdict {
		case Blocked:
			blocked++
		case Quarantined:
			quarantined++
		default:
		}
	}
	return quarantined, blocked
}

// RecordCrash records that an upstream incarnation crashed while running the request,
// which this gateway had sent there that long before.
func (r *Registry) RecordCrash(now time.Time, q Request, start uint64, ran time.Duration) {
	r.crashTimes.add(start, now)
	for p := range q.prints() {
		if r.goodRequests.has(now, p) || r.recentParts.ignoreCrash(now, p) {
			continue
		}
		o := Observation{Print: p, Start: start, Witness: r.self, At: now, Ran: ran}
		if rec, ok := r.records[p]; ok {
			o.Round = rec.round
		}
		r.apply(now, o)
	}
}

// RecordSuccess records that the request ran here without harm, to its end, and had been sent
// to its upstream that long before. It returns the fingerprints against which there was
// evidence.
func (r *Registry) RecordSuccess(now time.Time, q Request, ran time.Duration) []Print {
	r.goodRequests.add(now, q.Print)
	for _, p := range q.Parts {
		r.goodParts.add(now, p)
		r.recentParts.answered(now, now.Add(-ran), p)
	}
	var cleared []Print
	for p := range q.prints() {
		if r.clearRecord(now, p) {
			cleared = append(cleared, p)
		}
	}
	return cleared
}

// clearRecord clears the fingerprint by an observation of this gateway. It returns false if
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
		rec = &record{round: o.Round, before: r.arrivals}
		r.records[o.Print] = rec
	case o.Round < rec.round:
		return false
	case o.Round > rec.round:
		rec.startRound(now, o.Round)
		if o.clears() {
			r.addToLog(o)
			return true
		}
	}
	if o.clears() || !rec.add(crash{incarnation: o.Start, witness: o.Witness, at: o.At, ran: o.Ran}, r.self) {
		return false
	}
	r.crashTimes.add(o.Start, o.At)
	rec.updateCommon(r.arrivals)
	if len(rec.crashes) >= blockAt {
		rec.crashesAround = r.crashTimes.until(rec.last().at)
	}
	r.addToLog(o)
	if r.goodRequests.has(now, o.Print) || r.recentParts.answeredSince(o.At, o.Print) {
		r.clearRecord(now, o.Print)
	}
	return true
}

// addToLog adds an observation to the log. If evidence for a block falls out of a full log, all
// of it is added again, in a row: gateways that start later must learn of the block too.
func (r *Registry) addToLog(o Observation) {
	dropped := r.log.add(o)
	for range maxRepeated {
		if len(dropped) == 0 {
			return
		}
		oldest := dropped[0]
		dropped = dropped[1:]
		if !r.blocks(oldest) || r.log.has(oldest) {
			continue
		}
		for _, c := range r.records[oldest.Print].crashes {
			dropped = append(dropped, r.log.add(Observation{
				Print: oldest.Print, Round: oldest.Round, Start: c.incarnation, Witness: c.witness, At: c.at, Ran: c.ran,
			})...)
		}
	}
}

// blocks reports whether the observation belongs to evidence that is enough for a block.
func (r *Registry) blocks(o Observation) bool {
	rec, ok := r.records[o.Print]
	return ok && !o.clears() && o.Round == rec.round && len(rec.crashes) >= blockAt
}

// Verify records which of the crashes that other gateways reported this one can confirm: those
// of incarnations that it knew and that have ended. Crashes from before since, when this gateway
// began to know the upstreams, cannot be confirmed and are believed.
func (r *Registry) Verify(since time.Time, ended func(incarnation uint64) bool) {
	for _, rec := range r.records {
		for i, c := range rec.crashes {
			if !c.verified {
				rec.crashes[i].verified = c.at.Before(since) || ended(c.incarnation)
			}
		}
	}
}

// evict drops the least important record if the registry is full. In a flood of crashes,
// fingerprints present at only one crash are dropped first, the oldest of them before others.
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

// Sweep drops the fingerprints without a crash during the retention time.
func (r *Registry) Sweep(now time.Time) {
	r.recentParts.dropBefore(now.Add(-recentPeriod))
	for p, rec := range r.records {
		kept := retention
		if len(rec.crashes) >= blockAt {
			kept = blockRetention
		}
		if now.Sub(rec.changedAt) > kept && rec.running == 0 {
			delete(r.records, p)
		}
	}
}
