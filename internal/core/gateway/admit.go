package gateway

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/ingress"
)

// Call is what admission needs to know of a request.
type Call struct {
	ID   string
	Host string
	Path string
	Key  string
	// Patience is how long the caller waits; 0 if it did not say.
	Patience time.Duration
}

// Bounds are the times that admission, and those who follow the store for it, keep
// to.
type Bounds struct {
	// KeyAge is the age of the view up to which keys are honoured; 0 means
	// any age.
	KeyAge time.Duration
	// DenyAge is the age of the view up to which the lack of a route or a key
	// is certain. An older view may just not know them yet.
	DenyAge time.Duration
	// ListAge is the age of the view up to which it is relied on without asking the
	// store: a leaving upstream must get nothing new by then, and a configuration must
	// be in force. 0 means any age.
	ListAge time.Duration
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
	// Deadline is the end of the caller's patience or of the route's timeout,
	// whichever is first.
	Deadline time.Time
	// Version and Age are of the configuration that decided.
	Version int64
	Age     time.Duration
}

// Admit holds a request against the view.
func Admit(now time.Time, v ingress.View, c Call, b Bounds) (Admission, *Refusal) {
	if v.Table == nil {
		return Admission{}, notRun(NoConfiguration, comeBackLater)
	}
	age := v.Age(now)
	a := Admission{Version: v.Table.Version, Age: age}
	certain := age <= b.DenyAge
	route, ok := v.Table.Route(c.Host, c.Path)
	if !ok {
		return a, deny(certain, NotFound, NoRoute)
	}
	a.Route = route
	if v.Table.NeedsKey(route) {
		if b.KeyAge > 0 && age > b.KeyAge {
			return a, notRun(ViewTooOld, comeBackLater)
		}
		if c.Key == "" {
			return a, denied(Unauthorised, NoKey)
		}
		o, ok := v.Table.Organisation(c.Key)
		if !ok {
			return a, deny(certain, Unauthorised, UnknownKey)
		}
		a.Organisation = o
	}
	a.Pool = route.Pool(ingress.HashID(c.ID))
	a.Urgency = v.Table.Urgency(a.Organisation, route, b.UrgencySteps)
	a.Deadline = now.Add(route.Timeout)
	if c.Patience > 0 && now.Add(c.Patience).Before(a.Deadline) {
		a.Deadline = now.Add(c.Patience)
	}
	return a, nil
}

func deny(certain bool, kind Kind, reason Reason) *Refusal {
	if !certain {
		return notRun(ViewTooOld, comeBackLater)
	}
	return denied(kind, reason)
}
