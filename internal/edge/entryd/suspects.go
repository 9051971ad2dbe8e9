package entryd

import (
	"net/http"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/dispatch"
	"github.com/gladegauge/gladegauge/internal/core/suspect"
	"github.com/gladegauge/gladegauge/internal/edge/suspects"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// printed returns the print of the request, by which it is known when it comes again.
func (x *call) printed() suspect.Print {
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

// enter holds the request against those under which upstreams ended; nil if it may
// run. It runs in the control loop.
func (x *call) enter(now time.Time) *problem {
	if !x.s.sync.Suspects().Any() {
		return nil
	}
	x.verdict = x.s.sync.Suspects().Admit(now, x.printed())
	switch x.verdict {
	case suspect.Blocked:
		return endsUpstreams(false)
	case suspect.Occupied:
		return &problem{
			status: http.StatusServiceUnavailable, code: CodeOverloaded, notRun: true, retryAfter: time.Second,
			message: "Upstreams ended under this request, and another run of it is under way. It was not run.",
		}
	default:
		return nil
	}
}

// endsUpstreams is the error of a request that is not tried again. Ran is true if the
// last upstream ended under this very call.
func endsUpstreams(ran bool) *problem {
	return &problem{
		status: http.StatusBadRequest, code: CodeEndsUpstreams, notRun: !ran,
		message: "Several upstreams ended, one after the other, while they ran this request. It is not tried again.",
	}
}

// underEnd notes that the agent's upstream ended under the request. It runs in the
// control loop.
func (x *call) underEnd(now time.Time, a *attempt, f *gladegaugev1.Failed) {
	if f.GetEndedStart() == 0 || (!x.first.IsZero() && now.Sub(x.first) >= suspects.HarmlessAfter) {
		return
	}
	x.s.sync.ReportCrash(suspects.Failure{
		Print: x.printed(), Request: x.id, Organisation: x.call.Organisation.Name,
		Start: f.GetEndedStart(), Upstream: a.agent, At: now, Ran: now.Sub(x.claimedAt),
	})
	v := x.s.sync.Suspects().Check(now, x.printed())
	if v != suspect.Free {
		x.ticket.DisableResumes()
	}
	x.harmful = v == suspect.Blocked
}

// leave notes what the request showed. It runs in the control loop.
func (x *call) leave(now time.Time) {
	if x.verdict == suspect.Quarantined {
		x.s.sync.Suspects().Release(x.printed())
	}
	if x.answered() {
		x.s.sync.Suspects().ReportSuccess(now, x.printed(), x.id)
	}
}

// answered reports whether the request was answered with success.
func (x *call) answered() bool {
	return x.outcome.Result == dispatch.Completed && x.status < http.StatusMultipleChoices
}
