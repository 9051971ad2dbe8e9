package fleet

import "time"

// Member is one gateway.
type Member struct {
	Address string
	Zone    string
	// Start tells the starts of a gateway apart and is higher for a later one;
	// Beat rises while it lives.
	Start uint64
	Beat  uint64
	// Leaving is true once it takes nobody new.
	Leaving bool
	// Capacity is the part of a core that its host gives it, in thousandths; 0 if it
	// does not say.
	Capacity uint32
}

// newer reports whether m says more of its gateway than other does.
func (m Member) newer(other Member) bool {
	if m.Start != other.Start {
		return m.Start > other.Start
	}
	return m.Beat > other.Beat
}

// heard is another gateway as it was last heard of.
type heard struct {
	Member
	// at is when its beat last rose.
	at time.Time
	// hash is of its address, to draw a sample without hashing anew.
	hash uint64
	// downUntil is until when it is not asked.
	downUntil time.Time
	// failures is the number of calls to it that failed since its beat rose last, up to
	// failuresMost.
	failures int
	// relayDownUntil is until when it is not taken for a relay.
	relayDownUntil time.Time
	// backoffUntil is until when it leaves the store to others, as its own call failed.
	backoffUntil time.Time
}
