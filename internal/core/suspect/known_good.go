package suspect

import (
	"encoding/binary"
	"time"
)

// Time and size limits of the known-good requests.
const (
	// knownGoodPeriod is the minimum time that a response protects a request: a popular
	// request is answered again in the meantime. If an answered request begins to crash
	// upstreams, blocking it is delayed by up to twice this time after its last response.
	knownGoodPeriod = 30 * time.Second
	// maxKnownGood bounds the requests that are kept in that time, at about 20 bytes each.
	maxKnownGood = 4096
)

// knownGood holds the requests that were answered recently. Popular requests are present at
// crashes by chance, and would be refused without it (TestReplays).
type knownGood struct {
	current, previous map[uint64]struct{}
	// rotatedAt is when current was started.
	rotatedAt time.Time
}

// rotate drops expired entries.
func (k *knownGood) rotate(now time.Time) {
	age := now.Sub(k.rotatedAt)
	if k.current != nil && age < knownGoodPeriod {
		return
	}
	k.previous = k.current
	if age >= 2*knownGoodPeriod {
		k.previous = nil
	}
	k.current = make(map[uint64]struct{})
	k.rotatedAt = now
}

func (k *knownGood) add(now time.Time, p Print) {
	k.rotate(now)
	if len(k.current) < maxKnownGood {
		k.current[shortHash(p)] = struct{}{}
	}
}

func (k *knownGood) has(now time.Time, p Print) bool {
	k.rotate(now)
	_, current := k.current[shortHash(p)]
	_, previous := k.previous[shortHash(p)]
	return current || previous
}

// shortHash returns the first 8 bytes of a fingerprint.
func shortHash(p Print) uint64 { return binary.BigEndian.Uint64(p[:]) }
