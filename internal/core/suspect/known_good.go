package suspect

import (
	"encoding/binary"
	"time"
)

// Time and size limits of the known-good fingerprints.
const (
	// knownGoodPeriod is the minimum time for which a fingerprint that was answered is kept.
	knownGoodPeriod = 30 * time.Second
	// maxKnownGood bounds the fingerprints that are kept in such a period, at about 20 bytes
	// each.
	maxKnownGood = 4096
)

// knownGood holds the fingerprints that were answered recently. Popular ones are present at
// crashes by chance, and would be refused without it (TestReplays).
type knownGood struct {
	// period is the minimum time for which an entry is kept; it is kept for up to twice that.
	period            time.Duration
	current, previous map[uint64]struct{}
	// rotatedAt is when current was started.
	rotatedAt time.Time
}

// rotate drops expired entries.
func (k *knownGood) rotate(now time.Time) {
	age := now.Sub(k.rotatedAt)
	if k.current != nil && age < k.period {
		return
	}
	k.previous = k.current
	if age >= 2*k.period {
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
