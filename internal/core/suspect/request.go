package suspect

import (
	"encoding/binary"
	"iter"
	"slices"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// MaxParts is the number of parts of a prompt that are considered. It bounds the work for a
// caller that lists many.
const MaxParts = 64

// partSalt distinguishes the two halves of a part's fingerprint.
const partSalt = 0x5bd1e9955bd1e995

// Request identifies what may be the cause if an upstream crashes while running a request: the
// request as a whole, and each part of its prompt that other requests may share.
type Request struct {
	// Print is the fingerprint of the whole request.
	Print Print
	// Parts are the fingerprints of the shared parts.
	Parts []Print
}

// PartOf returns the fingerprint of a part of a prompt in a pool of upstreams. A part may crash
// the upstreams of one pool and no others. Both are given by their hashes.
func PartOf(pool, part uint64) Print {
	var p Print
	binary.BigEndian.PutUint64(p[:8], rendezvous.Mix(pool, part))
	binary.BigEndian.PutUint64(p[8:], rendezvous.Mix(part^partSalt, pool))
	return p
}

// prints returns all fingerprints of the request, its parts first. Parts that occur twice are
// returned twice.
func (q Request) prints() iter.Seq[Print] {
	return func(yield func(Print) bool) {
		for _, p := range q.Parts {
			if !yield(p) {
				return
			}
		}
		yield(q.Print)
	}
}

// has reports whether the fingerprint is one of the request's.
func (q Request) has(p Print) bool { return p == q.Print || slices.Contains(q.Parts, p) }
