package demand

import (
	"cmp"
	"slices"
	"time"
)

const (
	// usageHalfLife is the half-life of recorded use: about as long as a queue takes to
	// drain.
	usageHalfLife = 2 * time.Second
	// minUsage is the use below which an organisation is dropped: a hundredth of a call. A
	// larger one would drop organisations that send a call to this gateway every few seconds,
	// and many of these to the fleet.
	minUsage = 0.01
)

// User is the use of a pool by one organisation: the requested and the admitted load, as
// decaying sums with a half-life of two seconds. The unit is the same for the whole pool:
// prompt tokens to prefill for model engines, calls for plain services.
type User struct {
	// Organisation is the hash of its name.
	Organisation uint64
	Requested    float64
	Admitted     float64
}

// plus returns the sum of both uses.
func (u User) plus(o User) User {
	u.Requested += o.Requested
	u.Admitted += o.Admitted
	return u
}

// sums is the use by one organisation as it is recorded.
type sums struct{ requested, admitted decayingSum }

// Usage records the use of one pool by organisations at one gateway. The zero value is
// empty. It is not safe for concurrent use.
type Usage struct{ byOrganisation map[uint64]sums }

// Requested records a request for the given load.
func (u *Usage) Requested(now time.Time, organisation uint64, load int) {
	if u.byOrganisation == nil {
		u.byOrganisation = make(map[uint64]sums)
	}
	s := u.byOrganisation[organisation]
	s.requested = s.requested.with(now, float64(load), usageHalfLife)
	u.byOrganisation[organisation] = s
}

// Admitted records that a request for the given load was admitted. The request must have
// been recorded before.
func (u *Usage) Admitted(now time.Time, organisation uint64, load int) {
	s, ok := u.byOrganisation[organisation]
	if !ok {
		return
	}
	s.admitted = s.admitted.with(now, float64(load), usageHalfLife)
	u.byOrganisation[organisation] = s
}

// Of returns the use by one organisation.
func (u *Usage) Of(now time.Time, organisation uint64) User {
	s := u.byOrganisation[organisation]
	return User{
		Organisation: organisation,
		Requested:    s.requested.value(now, usageHalfLife),
		Admitted:     s.admitted.value(now, usageHalfLife),
	}
}

// Users returns the use by all organisations, in no order. It drops organisations that no
// longer send requests.
func (u *Usage) Users(now time.Time) []User {
	users := make([]User, 0, len(u.byOrganisation))
	for organisation := range u.byOrganisation {
		user := u.Of(now, organisation)
		if user.Requested < minUsage {
			delete(u.byOrganisation, organisation)
			continue
		}
		users = append(users, user)
	}
	return users
}

// heaviest returns the MaxUsers heaviest of the users, the heaviest first. It reorders the
// given list.
func heaviest(users []User) []User {
	slices.SortFunc(users, func(a, b User) int {
		return cmp.Or(cmp.Compare(b.Requested, a.Requested), cmp.Compare(a.Organisation, b.Organisation))
	})
	return users[:min(len(users), MaxUsers)]
}
