package soak

import (
	"fmt"
	"net/http"
)

// nothingDenied: a key that is always valid is never refused for itself.
func nothingDenied(r *Record) []string {
	var broken []string
	for _, c := range r.Calls {
		if c.Key == lastingKey && c.Status >= 400 && c.Status < 500 && c.Status != http.StatusTooManyRequests && c.Status != http.StatusRequestTimeout {
			broken = append(broken, fmt.Sprintf("%s got %d", c.ID, c.Status))
		}
	}
	return broken
}

// revokedRefused: nothing runs with a key that was taken away long enough before.
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
	earlier := make(map[life][]Call)
	for _, c := range r.Calls {
		if c.Status != http.StatusOK || len(runs[c.ID]) == 0 {
			continue
		}
		at := life{c.Gateway, c.Life}
		v := versionOf(runs[c.ID][0].Organisation)
		for _, before := range earlier[at] {
			if old := versionOf(runs[before.ID][0].Organisation); before.Done.Before(c.Sent) && old > v {
				broken = append(broken, fmt.Sprintf("%s was handled by version %d after %s by %d", c.ID, v, before.ID, old))
				break
			}
		}
		earlier[at] = append(earlier[at], c)
		if next, ok := r.Versions[v+1]; ok && c.Sent.After(next.Add(configWithin+slack)) && r.calm(c) {
			broken = append(broken, fmt.Sprintf("%s was handled by version %d, %v after the next one", c.ID, v, c.Sent.Sub(next)))
		}
	}
	return broken
}

// leavingLeft: nothing reaches a replica that was listed as leaving long enough
// before.
func leavingLeft(r *Record) []string {
	var broken []string
	calls := r.callsOf()
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
// answer, if nothing else disturbed the process.
func stopsCutNothing(r *Record) []string {
	var broken []string
	for _, e := range r.Events {
		if e.What != whatStop {
			continue
		}
		for _, c := range r.Calls {
			had := c.Gateway == e.Gateway && c.Sent.Before(e.At) && c.Done.After(e.At)
			if had && c.Status == 0 && !r.otherFault(e, c) {
				broken = append(broken, fmt.Sprintf("%s was cut without an answer", c.ID))
			}
		}
	}
	return broken
}

// calm reports whether nothing disturbed the call's gateway, or the store, for a
// while before the call and until its end.
func (r *Record) calm(c Call) bool {
	from := c.Sent.Add(-calmFor)
	return !r.disturbed(c.Gateway, from, c.Done) && !r.disturbed(everyGateway, from, c.Done)
}

// otherFault reports whether something beside the stop disturbed the gateway
// during the call.
func (r *Record) otherFault(stop Event, c Call) bool {
	for _, e := range r.Events {
		if e != stop && e.Gateway == c.Gateway && e.At.Before(c.Done) && e.Until.After(c.Sent) {
			return true
		}
	}
	return false
}
