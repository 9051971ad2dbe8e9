package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

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

// check is one promise; it returns what broke it.
type check struct {
	Name  string
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
	{"planned stops cut nothing", stopsCutNothing},
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

func (r *Record) runsOf() map[string][]Run {
	runs := make(map[string][]Run)
	for _, n := range r.Runs {
		runs[n.ID] = append(runs[n.ID], n)
	}
	return runs
}

func atMostOnce(r *Record) []string {
	var broken []string
	runs := r.runsOf()
	for _, c := range r.Calls {
		if !runsOnce(c.Kind) {
			continue
		}
		n := 0
		for _, run := range runs[c.ID] {
			if !run.Continues {
				n++
			}
		}
		if n > 1 {
			broken = append(broken, fmt.Sprintf("%s ran %d times: %v", c.ID, n, runs[c.ID]))
		}
	}
	return broken
}

func refusalsAreTrue(r *Record) []string {
	var broken []string
	runs := r.runsOf()
	for _, c := range r.Calls {
		switch c.Status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if len(runs[c.ID]) > 0 {
				broken = append(broken, fmt.Sprintf("%s got %d and ran: %v", c.ID, c.Status, runs[c.ID]))
			}
		}
	}
	return broken
}

func answersAreWhole(r *Record) []string {
	var broken []string
	for _, c := range r.Calls {
		if c.Status != http.StatusOK {
			continue
		}
		want := body(c.Kind, c.ID)
		if !c.Sealed || (c.Whole && c.Body != want) || !strings.HasPrefix(want, c.Body) {
			broken = append(broken, fmt.Sprintf("%s sealed %t whole %t: %q", c.ID, c.Sealed, c.Whole, c.Body))
		}
	}
	return broken
}

func nothingDenied(r *Record) []string {
	var broken []string
	for _, c := range r.Calls {
		if c.Key == lastingKey && c.Status >= 400 && c.Status < 500 && c.Status != http.StatusTooManyRequests && c.Status != http.StatusRequestTimeout {
			broken = append(broken, fmt.Sprintf("%s got %d", c.ID, c.Status))
		}
	}
	return broken
}

func revokedRefused(r *Record) []string {
	var broken []string
	runs := r.runsOf()
	for _, c := range r.Calls {
		at, ok := r.Revoked[c.Key]
		if ok && c.Sent.After(at.Add(revokeWithin)) && len(runs[c.ID]) > 0 {
			broken = append(broken, fmt.Sprintf("%s ran with a key revoked %v before", c.ID, c.Sent.Sub(at)))
		}
	}
	return broken
}

// neverBack: a request that was sent after another one's end is not handled by
// an older version; and what was published long ago is in force where it is calm.
func neverBack(r *Record) []string {
	var broken []string
	runs := r.runsOf()
	type life struct{ gateway, life int }
	last := make(map[life][]Call)
	for _, c := range r.Calls {
		if c.Status != http.StatusOK || len(runs[c.ID]) == 0 {
			continue
		}
		at := life{c.Gateway, c.Life}
		v := versionOf(runs[c.ID][0].Organisation)
		for _, before := range last[at] {
			if old := versionOf(runs[before.ID][0].Organisation); before.Done.Before(c.Sent) && old > v {
				broken = append(broken, fmt.Sprintf("%s was handled by version %d after %s by %d", c.ID, v, before.ID, old))
				break
			}
		}
		last[at] = append(last[at], c)
		if next, ok := r.Versions[v+1]; ok && c.Sent.After(next.Add(configWithin+slack)) && r.calm(c) {
			broken = append(broken, fmt.Sprintf("%s was handled by version %d, %v after the next one", c.ID, v, c.Sent.Sub(next)))
		}
	}
	return broken
}

// calm reports whether nothing ailed the call's gateway, or the store, for a
// while before the call and until its end.
func (r *Record) calm(c Call) bool {
	for _, e := range r.Events {
		if (e.Gateway == c.Gateway || e.Gateway == everyGateway) && e.At.Before(c.Done) && e.Until.After(c.Sent.Add(-calmFor)) {
			return false
		}
	}
	return true
}

func leavingLeft(r *Record) []string {
	var broken []string
	calls := make(map[string]Call)
	for _, c := range r.Calls {
		calls[c.ID] = c
	}
	for _, n := range r.Runs {
		at, ok := r.Left[n.Replica]
		c, known := calls[n.ID]
		if ok && known && n.At.After(at.Add(drainWithin+slack)) && r.calm(c) {
			broken = append(broken, fmt.Sprintf("%s reached %s %v after it was leaving", n.ID, n.Replica, n.At.Sub(at)))
		}
	}
	return broken
}

// stopsCutNothing: a request that a process had when it was told to stop gets an
// answer, if nothing else ailed the process.
func stopsCutNothing(r *Record) []string {
	var broken []string
	for _, e := range r.Events {
		if e.What != whatStop {
			continue
		}
		for _, c := range r.Calls {
			had := c.Gateway == e.Gateway && c.Sent.Before(e.At) && c.Done.After(e.At)
			if had && c.Status == 0 && !r.otherAilment(e, c) {
				broken = append(broken, fmt.Sprintf("%s was cut without an answer", c.ID))
			}
		}
	}
	return broken
}

func (r *Record) otherAilment(stop Event, c Call) bool {
	for _, e := range r.Events {
		if e != stop && e.Gateway == c.Gateway && e.At.Before(c.Done) && e.Until.After(c.Sent) {
			return true
		}
	}
	return false
}

func serviceIsBack(r *Record) []string {
	var end time.Time
	for _, e := range r.Events {
		if e.Until.After(end) {
			end = e.Until
		}
	}
	good, all := 0, 0
	for _, c := range r.Calls {
		if c.Kind == kindRead && c.Key == lastingKey && c.Sent.After(end.Add(recoverWithin)) {
			all++
			if c.Status == http.StatusOK && c.Whole {
				good++
			}
		}
	}
	if all == 0 || float64(good) < servedShare*float64(all) {
		return []string{fmt.Sprintf("%d of %d reads were served after the last fault", good, all)}
	}
	return nil
}
