package feed

// Position is how far somebody knows the store. A store that comes back from a copy of
// itself has lost its latest revisions and gives them out again: that begins a new epoch,
// and revisions of different epochs do not compare.
type Position struct {
	Epoch    int64
	Revision int64
}

// Known reports whether anything is known of the store.
func (p Position) Known() bool { return p.Revision != 0 }

// Before reports whether the other position is further.
func (p Position) Before(other Position) bool {
	if p.Epoch != other.Epoch {
		return p.Epoch < other.Epoch
	}
	return p.Revision < other.Revision
}

// Furthest returns the further one of both.
func (p Position) Furthest(other Position) Position {
	if p.Before(other) {
		return other
	}
	return p
}
