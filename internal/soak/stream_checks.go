package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// streamOf returns the first attempt of the stream that a call belongs to.
func streamOf(c Call) string {
	if c.Resumes != "" {
		return c.Resumes
	}
	return c.ID
}

// streamsOfOneVersion: all events that a caller has of a stream, in one response or over
// several, are from replicas of one software version.
func streamsOfOneVersion(r *Record) []string {
	var violations []string
	versions := make(map[string]string)
	for _, c := range r.Calls {
		if !isStream(c.Kind) || c.Status != http.StatusOK {
			continue
		}
		for _, version := range softwareOf(c.Body) {
			before, ok := versions[streamOf(c)]
			if ok && before != version {
				violations = append(violations, fmt.Sprintf("%s holds events of %s and, by %s, of %s", streamOf(c), before, c.ID, version))
				break
			}
			versions[streamOf(c)] = version
		}
	}
	return violations
}

// returnQuietPeriod is how long a gateway must have been without faults of its own for a stream
// there to count.
const returnQuietPeriod = time.Second

// Returns counts the streams at gateways that had no fault of their own just before: new ones,
// and those that callers resumed while two replicas of their software version served.
type Returns struct {
	New, Begun int
	// Left are streams that their callers had left, Broken those that had broken off.
	Left, Broken Resumptions
}

// Resumptions counts the streams that callers resumed, and those among them that went on.
type Resumptions struct {
	Resumed, Continued int
}

// All returns the streams resumed for either reason.
func (n Returns) All() Resumptions {
	return Resumptions{n.Left.Resumed + n.Broken.Resumed, n.Left.Continued + n.Broken.Continued}
}

// Share returns the share of the streams resumed that went on, relative to that of the new
// streams that began.
func (n Returns) Share(r Resumptions) float64 {
	if r.Resumed == 0 || n.Begun == 0 {
		return 1
	}
	return float64(r.Continued) / float64(r.Resumed) * float64(n.New) / float64(n.Begun)
}

// addReturns adds the streams of this record.
func (r *Record) addReturns(n *Returns) {
	r.mu.Lock()
	defer r.mu.Unlock()
	versions, left := make(map[string]string), make(map[string]bool)
	for _, c := range r.Calls {
		if software := softwareOf(c.Body); len(software) > 0 && c.Resumes == "" {
			versions[c.ID] = software[0]
			left[c.ID] = c.Left()
		}
	}
	for _, c := range r.Calls {
		if !isResumable(c.Kind) || c.Key != permanentKey || r.disturbed(c.Gateway, c.Sent.Add(-returnQuietPeriod), c.Done) {
			continue
		}
		began := c.Status == http.StatusOK && lastEventOf(c.Body) != ""
		switch {
		case c.Resumes == "":
			n.New++
			n.Begun += count(began)
		case r.serving(versions[c.Resumes], c) > 1:
			resumptions := &n.Broken
			if left[c.Resumes] {
				resumptions = &n.Left
			}
			resumptions.Resumed++
			resumptions.Continued += count(began)
		}
	}
}

// serving returns the number of replicas of a software version that took requests during the
// call.
func (r *Record) serving(software string, c Call) int {
	n := 0
	for replica, versions := range r.Software {
		if versions[len(versions)-1] == software && r.takesRequests(replica, c) {
			n++
		}
	}
	return n
}

// takesRequests reports whether a replica had started well before the call, and neither
// drained, stood in an evacuated zone, announced a limit, rejected all requests nor was cut off
// during the call or just before.
func (r *Record) takesRequests(replica string, c Call) bool {
	from := c.Sent.Add(-returnQuietPeriod)
	overlaps := func(at, until time.Time) bool { return at.Before(c.Done) && until.After(from) }
	starts := r.Starts[replica]
	if drainingAt, ok := r.Draining[replica]; (ok && drainingAt.Before(c.Done)) || starts[len(starts)-1].After(from) {
		return false
	}
	return !slices.ContainsFunc(r.Evacuations, func(e Evacuation) bool { return e.Zone == r.Zones[replica] && overlaps(e.At, e.Until) }) &&
		!slices.ContainsFunc(r.Limits, func(l Limit) bool { return l.Replica == replica && overlaps(l.At, l.Until) }) &&
		!slices.ContainsFunc(r.Events, func(e Event) bool { return e.Replica == replica && overlaps(e.At, e.Until) }) &&
		!slices.ContainsFunc(r.Arrivals, func(a Arrival) bool {
			return a.Replica == replica && a.RetryAfter > 0 && overlaps(a.At, a.At.Add(a.RetryAfter))
		})
}

// count returns 1 for true.
func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
