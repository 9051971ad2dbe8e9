package ingress

import "time"

// View is a table with the proof of its age.
type View struct {
	Table *Table
	// NewestAt is the latest time at which no newer table than this one was published, as far
	// as is proven, on this process's monotonic clock.
	NewestAt time.Time
}

// Age is the time since which a newer table may have been published.
func (v View) Age(now time.Time) time.Duration { return now.Sub(v.NewestAt) }

// WithProof returns a view that was also the newest at the given time. An earlier time has
// no effect.
func (v View) WithProof(at time.Time) View {
	if at.After(v.NewestAt) {
		v.NewestAt = at
	}
	return v
}

// WithTable returns a view of a table that was the newest at the given time; the zero time
// proves nothing. The proof of the current table holds for a newer one too, as nothing newer
// than either was published then. A table that is not newer than the current one is rejected.
func (v View) WithTable(t *Table, at time.Time) (View, bool) {
	if v.Table != nil && t.Version <= v.Table.Version {
		return v, false
	}
	v.Table = t
	return v.WithProof(at), true
}
