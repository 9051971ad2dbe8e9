package soak

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// addUpload records a request with a long body.
func (r *Record) addUpload(u Upload) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Uploads = append(r.Uploads, u)
}

// addBody records a long body as a replica received it.
func (r *Record) addBody(got standin.Received) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Bodies = append(r.Bodies, got)
}

// bodiesUnchanged: what a replica receives as a long body is a beginning of what the caller
// sends, and the request ends in good order only after all of it.
func bodiesUnchanged(r *Record) []string {
	uploads := make(map[string]Upload, len(r.Uploads))
	for _, u := range r.Uploads {
		uploads[u.ID] = u
	}
	var violations []string
	for _, got := range r.Bodies {
		u, ok := uploads[got.ID]
		if !ok {
			continue // its caller was cut off by the end of the run
		}
		want := u.body()
		if !strings.HasPrefix(want, got.Body) || (got.Whole && (u.Stopped || got.Body != want)) {
			violations = append(violations, fmt.Sprintf("%s: %d bytes of %d, stopped %t, whole %t", got.ID, len(got.Body), len(want), u.Stopped, got.Whole))
		}
	}
	return violations
}

// uploadsAnswered: an answer to a long body is the replica's and complete or visibly cut, the
// request runs at most once, and not at all if the answer promises so. A caller that stops in its
// body is answered when its time is over.
func uploadsAnswered(r *Record) []string {
	var violations []string
	runs := r.runsByID()
	for _, u := range r.Uploads {
		n := len(runs[u.ID])
		want := u.answer()
		c := Call{Gateway: u.Gateway, Sent: u.Sent, Done: u.Done}
		switch {
		case n > 1:
			violations = append(violations, fmt.Sprintf("%s ran %d times", u.ID, n))
		case n > 0 && (u.Status == http.StatusServiceUnavailable || u.Status == http.StatusRequestTimeout):
			violations = append(violations, fmt.Sprintf("%s got %d and ran", u.ID, u.Status))
		case u.Status == http.StatusOK && !answerValid(u.Sealed, u.Whole, u.Body, want):
			violations = append(violations, fmt.Sprintf("%s: sealed %t whole %t, %d of %d bytes of the answer", u.ID, u.Sealed, u.Whole, len(u.Body), len(want)))
		case u.Stopped && u.Done.Sub(u.Sent) > callTimeout+schedulingSlack && r.undisturbed(c) && !r.stalled(u.Sent, u.Done):
			violations = append(violations, fmt.Sprintf("%s: stopped in its body, status %d after %v", u.ID, u.Status, u.Done.Sub(u.Sent)))
		}
	}
	return violations
}

// earlyAnswers returns the number of long bodies that were read after their answer.
func (r *Record) earlyAnswers() int {
	n := 0
	for _, got := range r.Bodies {
		if got.Early {
			n++
		}
	}
	return n
}

// pipelined returns the number of answered requests that had been sent before the answer to the
// previous one was read.
func (r *Record) pipelined() int {
	n := 0
	for _, u := range r.Uploads {
		if u.Pipelined && u.Status == http.StatusOK {
			n++
		}
	}
	return n
}
