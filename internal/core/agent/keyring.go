package agent

import (
	"strings"
	"time"
)

// keyState is what became of an idempotency key.
type keyState struct {
	organisation string
	class        string
	used         bool
	issued       time.Time
}

// keyring holds the keys that this incarnation issued.
type keyring map[string]*keyState

// keySeparator stands between a key's parts: agent, incarnation and secret.
const keySeparator = "."

// KeyAgent returns the agent and incarnation that a key is bound to, or false
// for a key that no entry ever gave out.
func KeyAgent(key string) (id, incarnation string, ok bool) {
	parts := strings.Split(key, keySeparator)
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" || len(parts[2]) < 16 {
		return "", "", false
	}
	return parts[0], parts[1], true
}

// IssueKey returns a key that only this incarnation honours. The agent's
// identity must not hold the separator.
func (a *Agent) IssueKey(now time.Time, id, organisation, class string) (string, time.Duration) {
	key := strings.Join([]string{id, a.options.Incarnation, a.options.NewKey()}, keySeparator)
	a.keys[key] = &keyState{organisation: organisation, class: class, issued: now}
	return key, keepKeys
}

// check returns the effect for an offer with a key that is unknown here or was
// used before.
func (k keyring) check(o Offer) Effect {
	held, ok := k[o.Key]
	if !ok || held.organisation != o.Organisation || held.class != o.Class {
		return Refuse{ID: o.ID, Reason: UnknownKey}
	}
	if held.used {
		return Fail{ID: o.ID, AlreadyRun: true}
	}
	return nil
}

// use marks the key; it reports false if another attempt used it first.
func (k keyring) use(o Offer) bool {
	held, ok := k[o.Key]
	if !ok || held.used {
		return false
	}
	held.used = true
	return true
}

// release lets a key be used again after an attempt that certainly did not run.
func (k keyring) release(o Offer) {
	if held, ok := k[o.Key]; ok {
		held.used = false
	}
}

func (k keyring) sweep(now time.Time) {
	for key, held := range k {
		if now.Sub(held.issued) > keepKeys {
			delete(k, key)
		}
	}
}
