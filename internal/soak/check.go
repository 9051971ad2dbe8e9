package soak

import "time"

// Times that the checks keep to.
const (
	// revokeWithin, configWithin and graceful stand in the gateways' settings.
	revokeWithin = 3 * time.Second
	configWithin = 2 * time.Second
	graceful     = 8 * time.Second
	// drainWithin is when a leaving replica gets nothing new.
	drainWithin = 3 * time.Second
	// calmFor is how long a gateway must have been undisturbed for checks with a
	// time bound.
	calmFor = 4 * time.Second
	// slack covers what the machine that plays takes for itself.
	slack = 500 * time.Millisecond
	// recoverWithin is when full service must be back after the last fault.
	recoverWithin = 6 * time.Second
	// servedShare is the part of reads that counts as full service.
	servedShare = 0.95
)

// check is one promise.
type check struct {
	Name string
	// Check returns what broke it.
	Check func(r *Record) []string
}

// checks are the promises that hold whatever fails.
var checks = []check{
	{"at most once", atMostOnce},
	{"refusals are true", refusalsAreTrue},
	{"answers are whole and the caller's own", answersAreWhole},
	{"nothing allowed is denied", nothingDenied},
	{"revoked keys are refused", revokedRefused},
	{"configuration never goes back", neverBack},
	{"leaving replicas get nothing new", leavingLeft},
	{"replicas that say that they leave get nothing new", leavingHeard},
	{"replicas that ask for rest get it", restsKept},
	{"replicas that name a limit get no more", limitsKept},
	{"evacuated zones get nothing new", evacuatedLeft},
	{"planned stops cut nothing", stopsCutNothing},
	{"requests that end replicas are stopped", killerStopped},
	{"full service is back", serviceIsBack},
}

// Check returns everything that broke a promise.
func Check(r *Record) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var broken []string
	for _, c := range checks {
		for _, text := range c.Check(r) {
			broken = append(broken, c.Name+": "+text)
		}
	}
	return broken
}
