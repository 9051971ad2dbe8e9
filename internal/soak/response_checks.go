package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// runsByID returns the runs of each request, by its identity.
func (r *Record) runsByID() map[string][]Run {
	runs := make(map[string][]Run)
	for _, n := range r.Runs {
		runs[n.ID] = append(runs[n.ID], n)
	}
	return runs
}

// callsByID returns the calls by the identities of their requests.
func (r *Record) callsByID() map[string]Call {
	calls := make(map[string]Call, len(r.Calls))
	for _, c := range r.Calls {
		calls[c.ID] = c
	}
	return calls
}

// atMostOnce: a non-idempotent request runs at most once, apart from continuations from a
// backup.
func atMostOnce(r *Record) []string {
	var violations []string
	runs := r.runsByID()
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
			violations = append(violations, fmt.Sprintf("%s ran %d times: %v", c.ID, n, runs[c.ID]))
		}
	}
	return violations
}

// rejectedNotRun: a request that was rejected as not run did not run.
func rejectedNotRun(r *Record) []string {
	var violations []string
	runs := r.runsByID()
	for _, c := range r.Calls {
		switch c.Status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if len(runs[c.ID]) > 0 {
				violations = append(violations, fmt.Sprintf("%s got %d and ran: %v", c.ID, c.Status, runs[c.ID]))
			}
		}
	}
	return violations
}

// answerValid reports whether a successful response is a replica's, and the complete one or, if it
// was visibly cut, a beginning of it.
func answerValid(sealed, whole bool, body, want string) bool {
	return sealed && (!whole || body == want) && strings.HasPrefix(want, body)
}

// responsesComplete: a response comes from a replica and belongs to this request. If it
// is incomplete, it is a prefix of the complete one.
func responsesComplete(r *Record) []string {
	var violations []string
	for _, c := range r.Calls {
		if c.Status != http.StatusOK {
			continue
		}
		want, body := expectedBody(c.Kind, c.ID, c.LastEvent), c.Body
		if isStream(c.Kind) {
			body = withoutSoftware(body)
		}
		if !answerValid(c.Sealed, c.Whole, body, want) {
			violations = append(violations, fmt.Sprintf("%s sealed %t whole %t: %q", c.ID, c.Sealed, c.Whole, c.Body))
		}
	}
	return violations
}

// serviceRecovered: reads succeed again after the last fault, or the last stall of the machine.
func serviceRecovered(r *Record) []string {
	var end time.Time
	for _, e := range r.Events {
		if e.Until.After(end) {
			end = e.Until
		}
	}
	for _, s := range r.Stalls {
		if s.Until.After(end) {
			end = s.Until
		}
	}
	good, all := 0, 0
	for _, c := range r.Calls {
		if c.Kind == kindRead && c.Key == permanentKey && c.Sent.After(end.Add(recoveryDeadline)) {
			all++
			if c.Status == http.StatusOK && c.Whole {
				good++
			}
		}
	}
	if all == 0 || float64(good) < minServedRatio*float64(all) {
		return []string{fmt.Sprintf("%d of %d reads were served after the last fault", good, all)}
	}
	return nil
}
