package entryd

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gladegauge/gladegauge/internal/core/dispatch"
	"github.com/gladegauge/gladegauge/internal/core/suspect"
	"github.com/gladegauge/gladegauge/internal/edge/suspects"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// fingerprint returns the fingerprint by which the request is recognised when it is
// repeated.
func (x *call) fingerprint() suspect.Print {
	if x.print == (suspect.Print{}) {
		x.print = suspect.PrintOf(suspect.Content{
			Organisation: x.call.Organisation.Name,
			Method:       x.run.GetMethod(),
			Host:         x.call.Pool.Name,
			URI:          x.run.GetPath(),
			Body:         x.run.GetBody(),
			Length:       int64(len(x.run.GetBody())),
		})
	}
	return x.print
}

// suspectRequest returns the fingerprints of the request and of the beginning of its prompt, if
// other requests may share that.
func (x *call) suspectRequest() suspect.Request {
	q := suspect.Request{Print: x.fingerprint()}
	if x.call.SharedPrefix {
		q.Parts = []suspect.Print{suspect.PartOf(xxhash.Sum64String(x.call.Pool.Name), x.call.Prefix)}
	}
	return q
}

// checkSuspect checks the request against those that may crash upstreams. It returns nil
// if the request may run. It runs in the control loop.
func (x *call) checkSuspect(now time.Time) *problem {
	if !x.s.sync.Suspects().Any() {
		return nil
	}
	q := x.suspectRequest()
	x.s.sync.Suspects().Arrived(q)
	x.judgement = x.s.sync.Suspects().Admit(now, q)
	switch x.judgement.Verdict {
	case suspect.Blocked:
		return crashProblem(false)
	case suspect.Occupied:
		return &problem{
			status: http.StatusServiceUnavailable, code: CodeOverloaded, notRun: true, retryAfter: time.Second,
			message: "Upstreams ended under this request, and another run of it is under way. It was not run.",
		}
	default:
		return nil
	}
}

// crashProblem is the error of a blocked request. ran is true if the last upstream
// crashed during this call.
func crashProblem(ran bool) *problem {
	return &problem{
		status: http.StatusBadRequest, code: CodeCrashesUpstreams, notRun: !ran,
		message: "Several upstreams ended, one after the other, while they ran this request. It is not tried again.",
	}
}

// recordCrash records that the agent's upstream crashed while running the request. It
// runs in the control loop.
func (x *call) recordCrash(now time.Time, a *attempt, f *gladegaugev1.Failed) {
	if f.GetEndedStart() == 0 || (!x.firstByte.IsZero() && now.Sub(x.firstByte) >= suspects.HarmlessAfter) {
		return
	}
	x.s.sync.ReportCrash(suspects.Failure{
		Suspect: x.suspectRequest(), Request: x.id, Organisation: x.call.Organisation.Name,
		IncarnationKey: f.GetEndedStart(), Upstream: a.agent, At: now, Ran: now.Sub(x.claimedAt),
	})
	v := x.s.sync.Suspects().Check(now, x.suspectRequest()).Verdict
	if v != suspect.Free {
		x.admitted.DisableResumes()
	}
	x.blockedDuringRun = v == suspect.Blocked
}

// updateSuspects releases a quarantined request, and clears a request that succeeded. It
// runs in the control loop.
func (x *call) updateSuspects(now time.Time) {
	if x.judgement.Verdict == suspect.Quarantined {
		x.s.sync.Suspects().Release(x.judgement)
	}
	if x.succeeded() {
		x.s.sync.Suspects().ReportSuccess(now, x.suspectRequest(), now.Sub(x.claimedAt), x.id)
	}
}

// succeeded reports whether the request completed with a success status.
func (x *call) succeeded() bool {
	return x.outcome.Result == dispatch.Completed && x.status < http.StatusMultipleChoices
}
