package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// runsOf returns the runs of each request, by its identity.
func (r *Record) runsOf() map[string][]Run {
	runs := make(map[string][]Run)
	for _, n := range r.Runs {
		runs[n.ID] = append(runs[n.ID], n)
	}
	return runs
}

// callsOf returns the calls by the identity of their requests.
func (r *Record) callsOf() map[string]Call {
	calls := make(map[string]Call, len(r.Calls))
	for _, c := range r.Calls {
		calls[c.ID] = c
	}
	return calls
}

// atMostOnce: a request that may run once has one run, going on from copies aside.
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

// refusalsAreTrue: what was refused as not run did not run.
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

// answersAreWhole: an answer is a replica's to this request, and what came of it
// is its beginning without a gap.
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

// serviceIsBack: after the last fault, reads are served.
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
