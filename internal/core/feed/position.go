package feed

// Position is a position in the history of the store. A store that is restored from a
// copy has lost its latest revisions and assigns them again. That begins a new epoch, and
// revisions of different epochs are not comparable.
type Position struct {
	Epoch    int64
	Revision int64
}

// Known reports whether the position is set.
func (p Position) Known() bool { return p.Revision != 0 }

// Before reports whether the other position is later.
func (p Position) Before(other Position) bool {
	if p.Epoch != other.Epoch {
		return p.Epoch < other.Epoch
	}
	return p.Revision < other.Revision
}

// Later returns the later of both positions.
func (p Position) Later(other Position) Position {
	if p.Before(other) {
		return other
	}
	return p
}
