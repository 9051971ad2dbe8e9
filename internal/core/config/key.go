package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// Key is the SHA-256 of a bearer key.
type Key [sha256.Size]byte

// HashKey returns the stored form of a bearer key.
func HashKey(bearer string) Key {
	return sha256.Sum256([]byte(bearer))
}

// parseKey parses the hexadecimal form of a key.
func parseKey(text string) (Key, bool) {
	var k Key
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(k) {
		return k, false
	}
	copy(k[:], b)
	return k, true
}

// keyBuckets is the number of buckets of a key index. A change copies only the buckets
// that it affects.
const keyBuckets = 256

// keyIndex maps keys to organisations. It is immutable.
type keyIndex [keyBuckets]map[Key]string

// find returns the organisation that holds the key. The bucket is selected by the first
// byte of the hash, and the keys are compared in constant time.
func (x *keyIndex) find(k Key) (string, bool) {
	for held, name := range x[k[0]] {
		if subtle.ConstantTimeCompare(held[:], k[:]) == 1 {
			return name, true
		}
	}
	return "", false
}

// with returns an index with the keys of old replaced by those of next; either may be
// nil.
func (x *keyIndex) with(old, next *Organisation) *keyIndex {
	fresh := *x
	copied := [keyBuckets]bool{}
	bucket := func(k Key) map[Key]string {
		if !copied[k[0]] {
			copied[k[0]] = true
			m := make(map[Key]string, len(fresh[k[0]])+1)
			for held, name := range fresh[k[0]] {
				m[held] = name
			}
			fresh[k[0]] = m
		}
		return fresh[k[0]]
	}
	if old != nil {
		for _, k := range old.keys {
			if m := bucket(k); m[k] == old.Name {
				delete(m, k)
			}
		}
	}
	if next != nil {
		for _, k := range next.keys {
			bucket(k)[k] = next.Name
		}
	}
	return &fresh
}
