package gateway

import (
	"cmp"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/ingress"
)

// Call holds the properties of a request that admission needs.
type Call struct {
	ID string
	// Resumes is the ID of the attempt that brought the first event of the stream that the
	// request resumes; empty for other requests.
	Resumes string
	Host    string
	Path    string
	Key     string
	// CallerTimeout is how long the caller waits; 0 if unspecified.
	CallerTimeout time.Duration
}

// Bounds are the maximum ages of the view that admission, and the code that follows the
// store for it, accept.
type Bounds struct {
	// MaxKeyAge is the maximum age of the view up to which keys are accepted; 0 means any
	// age.
	MaxKeyAge time.Duration
	// MaxDenyAge is the maximum age of the view up to which a missing route or key is
	// definitive. An older view may not contain it yet.
	MaxDenyAge time.Duration
	// MaxListAge is the maximum age of the view up to which it is used without asking the
	// store: by then a leaving upstream must get no new requests, and a new configuration
	// must be in force. 0 means any age.
	MaxListAge time.Duration
	// UrgencySteps is the number of urgency classes of the upstreams.
	UrgencySteps int
}

// Admission is a request that the configuration allows.
type Admission struct {
	Route *ingress.Route
	// Organisation is nil on public routes.
	Organisation *ingress.Organisation
	Pool         string
	Urgency      int
	// Deadline is the end of the caller's wait or of the route's timeout, whichever is
	// first.
	Deadline time.Time
	// Version and Age are those of the configuration that the decision is based on.
	Version int64
	Age     time.Duration
}

// Admit checks a request against the view.
func Admit(now time.Time, v ingress.View, c Call, b Bounds) (Admission, *Refusal) {
	if v.Table == nil {
		return Admission{}, unavailable(NoConfiguration, retryAfterLong)
	}
	age := v.Age(now)
	a := Admission{Version: v.Table.Version, Age: age}
	certain := age <= b.MaxDenyAge
	route, ok := v.Table.Route(c.Host, c.Path)
	if !ok {
		return a, deniedIfCertain(certain, NotFound, NoRoute)
	}
	a.Route = route
	if v.Table.NeedsKey(route) {
		if b.MaxKeyAge > 0 && age > b.MaxKeyAge {
			return a, unavailable(ViewTooOld, retryAfterLong)
		}
		if c.Key == "" {
			return a, denied(Unauthorised, NoKey)
		}
		o, ok := v.Table.Organisation(c.Key)
		if !ok {
			return a, deniedIfCertain(certain, Unauthorised, UnknownKey)
		}
		a.Organisation = o
	}
	a.Pool = route.Pool(ingress.HashID(poolID(route, c)))
	a.Urgency = v.Table.Urgency(a.Organisation, route, b.UrgencySteps)
	a.Deadline = now.Add(route.Timeout)
	if c.CallerTimeout > 0 && now.Add(c.CallerTimeout).Before(a.Deadline) {
		a.Deadline = now.Add(c.CallerTimeout)
	}
	return a, nil
}

// poolID returns the ID that the choice among the route's pools is derived from. A stream that
// is resumed goes on in the pool that began it.
func poolID(route *ingress.Route, c Call) string {
	if route.MayResume() {
		return cmp.Or(c.Resumes, c.ID)
	}
	return c.ID
}

func deniedIfCertain(certain bool, kind Kind, reason Reason) *Refusal {
	if !certain {
		return unavailable(ViewTooOld, retryAfterLong)
	}
	return denied(kind, reason)
}
