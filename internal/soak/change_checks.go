package soak

import (
	"fmt"
	"net/http"
)

// validKeysAccepted: a request with a key that is always valid is never rejected with a
// client error other than 408 and 429. Whether one is blocked is for soundRequestsNotBlocked.
func validKeysAccepted(r *Record) []string {
	return r.callsWith(permanentKey, func(status int) bool {
		return status >= 400 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout && status != http.StatusBadRequest
	})
}

// soundRequestsNotBlocked: a request with a key that is always valid, which crashes no replica,
// is never rejected like one that does.
func soundRequestsNotBlocked(r *Record) []string {
	return r.callsWith(permanentKey, func(status int) bool { return status == http.StatusBadRequest })
}

// callsWith describes the calls with the key whose status is one of those.
func (r *Record) callsWith(key string, status func(int) bool) []string {
	var list []string
	for _, c := range r.Calls {
		if c.Key == key && status(c.Status) {
			list = append(list, fmt.Sprintf("%s got %d", c.ID, c.Status))
		}
	}
	return list
}

// revokedKeysRejected: no request runs with a key that was revoked more than
// revocationDeadline before.
func revokedKeysRejected(r *Record) []string {
	var violations []string
	runs := r.runsByID()
	for _, c := range r.Calls {
		at, ok := r.Revoked[c.Key]
		if ok && c.Sent.After(at.Add(revocationDeadline)) && len(runs[c.ID]) > 0 {
			violations = append(violations, fmt.Sprintf("%s ran with a key that was revoked %v before", c.ID, c.Sent.Sub(at)))
		}
	}
	return violations
}

// configurationMonotonic: a request is not handled by an older version of the
// configuration than a request that had ended before it was sent. Without faults, a
// version is in effect within configurationDeadline of its publication.
func configurationMonotonic(r *Record) []string {
	var violations []string
	runs := r.runsByID()
	earlier := make(map[incarnation][]Call)
	for _, c := range r.Calls {
		if c.Status != http.StatusOK || len(runs[c.ID]) == 0 {
			continue
		}
		at := incarnation{c.Gateway, c.Incarnation}
		v := versionOf(runs[c.ID][0].Organisation)
		for _, before := range earlier[at] {
			if old := versionOf(runs[before.ID][0].Organisation); before.Done.Before(c.Sent) && old > v {
				violations = append(violations, fmt.Sprintf("%s was handled by version %d after %s was handled by version %d", c.ID, v, before.ID, old))
				break
			}
		}
		earlier[at] = append(earlier[at], c)
		if next, ok := r.Versions[v+1]; ok && c.Sent.After(next.Add(configurationDeadline+schedulingSlack)) && r.undisturbed(c) {
			violations = append(violations, fmt.Sprintf("%s was handled by version %d, %v after the next version was published", c.ID, v, c.Sent.Sub(next)))
		}
	}
	return violations
}

// drainingReplicasAvoided: no request reaches a replica that was listed as draining more
// than drainDeadline before.
func drainingReplicasAvoided(r *Record) []string {
	var violations []string
	calls := r.callsByID()
	for _, n := range r.Runs {
		at, ok := r.Draining[n.Replica]
		c, known := calls[n.ID]
		if ok && known && n.At.After(at.Add(drainDeadline+schedulingSlack)) && r.undisturbed(c) {
			violations = append(violations, fmt.Sprintf("%s reached %s %v after it was listed as draining", n.ID, n.Replica, n.At.Sub(at)))
		}
	}
	return violations
}

// shutdownsDropNothing: a request that is in progress at a process when its graceful
// shutdown begins gets a response, unless another fault disturbs the process.
func shutdownsDropNothing(r *Record) []string {
	var violations []string
	for _, e := range r.Events {
		if e.Name != gracefulShutdown {
			continue
		}
		for _, c := range r.Calls {
			had := c.Gateway == e.Gateway && c.Sent.Before(e.At) && c.Done.After(e.At)
			if had && c.Status == 0 && !r.hasOtherFault(e, c) {
				violations = append(violations, fmt.Sprintf("%s got no response", c.ID))
			}
		}
	}
	return violations
}

// undisturbed reports whether no fault affected the call's gateway or the store from
// quietPeriod before the call until its end.
func (r *Record) undisturbed(c Call) bool {
	from := c.Sent.Add(-quietPeriod)
	return !r.disturbed(c.Gateway, from, c.Done) && !r.disturbed(everyGateway, from, c.Done)
}

// hasOtherFault reports whether a fault other than the shutdown affected the gateway
// during the call.
func (r *Record) hasOtherFault(stop Event, c Call) bool {
	for _, e := range r.Events {
		if e != stop && e.Gateway == c.Gateway && e.At.Before(c.Done) && e.Until.After(c.Sent) {
			return true
		}
	}
	return false
}
