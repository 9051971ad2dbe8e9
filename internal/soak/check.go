package soak

import "time"

// Time limits and thresholds of the checks.
const (
	// revocationDeadline, configurationDeadline and shutdownGrace are also in the
	// gateways' settings.
	revocationDeadline    = 3 * time.Second
	configurationDeadline = 2 * time.Second
	shutdownGrace         = 8 * time.Second
	// drainDeadline is the time after which a draining replica gets no new requests.
	drainDeadline = 3 * time.Second
	// quietPeriod is how long a gateway must have been without faults for checks with a
	// time limit.
	quietPeriod = 4 * time.Second
	// schedulingSlack allows for delays of the machine that runs the test.
	schedulingSlack = 500 * time.Millisecond
	// recoveryDeadline is the time after the last fault at which full service must be
	// back.
	recoveryDeadline = 6 * time.Second
	// minServedRatio is the ratio of successful reads that counts as full service.
	minServedRatio = 0.95
)

// invariant is a property that must hold under all faults.
type invariant struct {
	Name string
	// Check returns a description of each violation.
	Check func(r *Record) []string
}

// invariants are the properties that must hold whatever fails.
var invariants = []invariant{
	{"at most once", atMostOnce},
	{"rejected requests did not run", rejectedNotRun},
	{"responses are complete and belong to the request", responsesComplete},
	{"requests that are malformed or not whole do not run", badRequestsNotRun},
	{"entries of other writers get no requests", badEntriesAvoided},
	{"long bodies arrive unchanged", bodiesUnchanged},
	{"long bodies are answered", uploadsAnswered},
	{"streams hold events of one software version", streamsOfOneVersion},
	{"valid keys are accepted", validKeysAccepted},
	{"revoked keys are rejected", revokedKeysRejected},
	{"configuration versions never go back", configurationMonotonic},
	{"draining replicas get no new requests", drainingReplicasAvoided},
	{"replicas that announce their shutdown get no new requests", shutdownNoticesRespected},
	{"retry delays are respected", retryAfterRespected},
	{"rate limits are respected", rateLimitsRespected},
	{"evacuated zones get no new requests", evacuatedZonesAvoided},
	{"graceful shutdowns drop no requests", shutdownsDropNothing},
	{"requests that crash replicas are blocked", crashingRequestsBlocked},
	{"parts that crash replicas are blocked", crashingPartsBlocked},
	{"a gateway with most new connections serves", concentrationServed},
	{"gateways keep to their memory", memoryBounded},
	{"full service recovers", serviceRecovered},
}

// blocked is checked by a test of its own.
var blocked = invariant{"sound requests are not blocked", soundRequestsNotBlocked}

// Check returns a description of each violation of an invariant.
func Check(r *Record) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var violations []string
	for _, c := range invariants {
		violations = append(violations, c.violations(r)...)
	}
	return violations
}

// violations returns a description of each violation of the invariant.
func (c invariant) violations(r *Record) []string {
	var violations []string
	for _, text := range c.Check(r) {
		violations = append(violations, c.Name+": "+text)
	}
	return violations
}
