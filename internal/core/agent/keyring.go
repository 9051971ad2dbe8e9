package agent

import (
	"strings"
	"time"
)

// keyState is the state of an issued idempotency key.
type keyState struct {
	organisation string
	class        string
	used         bool
	issued       time.Time
}

// keyring holds the idempotency keys issued by this incarnation.
type keyring map[string]*keyState

// keySeparator separates the parts of a key: agent ID, incarnation and secret.
const keySeparator = "."

// KeyAgent returns the agent ID and incarnation that a key is bound to. It returns
// false for a malformed key.
func KeyAgent(key string) (id, incarnation string, ok bool) {
	parts := strings.Split(key, keySeparator)
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" || len(parts[2]) < 16 {
		return "", "", false
	}
	return parts[0], parts[1], true
}

// IssueKey returns a key that is valid only at this incarnation, and its lifetime.
// The agent ID must not contain the separator.
func (a *Agent) IssueKey(now time.Time, id, organisation, class string) (string, time.Duration) {
	key := strings.Join([]string{id, a.options.Incarnation, a.options.NewKey()}, keySeparator)
	a.keys[key] = &keyState{organisation: organisation, class: class, issued: now}
	return key, keyTTL
}

// check returns the effect for an offer whose key is unknown or already used, or
// nil.
func (k keyring) check(o Offer) Effect {
	state, ok := k[o.Key]
	if !ok || state.organisation != o.Organisation || state.class != o.Class {
		return Refuse{ID: o.ID, Reason: UnknownKey}
	}
	if state.used {
		return Fail{ID: o.ID, AlreadyRun: true}
	}
	return nil
}

// use marks the key as used. It returns false if another attempt has used it.
func (k keyring) use(o Offer) bool {
	state, ok := k[o.Key]
	if !ok || state.used {
		return false
	}
	state.used = true
	return true
}

// release makes a key usable again after an attempt that certainly did not run.
func (k keyring) release(o Offer) {
	if state, ok := k[o.Key]; ok {
		state.used = false
	}
}

func (k keyring) sweep(now time.Time) {
	for key, state := range k {
		if now.Sub(state.issued) > keyTTL {
			delete(k, key)
		}
	}
}
