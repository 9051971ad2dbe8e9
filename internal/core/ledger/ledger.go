// Package ledger records the state of each attempt at one agent.
//
// A refused attempt leaves a tombstone, so that a late duplicate is refused too. A
// started attempt is never started again. Final records must be retained for as long
// as messages of the attempt may arrive; they are deleted from the oldest on.
//
// # Usage
//
//	l := ledger.New(2 * time.Minute)
//	if l.State(id) == ledger.None {
//		l.Set(now, id, ledger.Waiting)
//	}
package ledger

import (
	"container/list"
	"time"
)

// State is the state of an attempt.
type State int

// States of an attempt. NotRun and Ran are final.
const (
	None State = iota
	Waiting
	Granted
	Running
	NotRun
	Ran
)

// Started reports whether the upstream has or may have started the attempt.
func (s State) Started() bool { return s == Running || s == Ran }

// Live reports whether the attempt is waiting, holds a granted slot or is running.
func (s State) Live() bool { return s == Waiting || s == Granted || s == Running }

// Final reports whether the state is final.
func (s State) Final() bool { return s == NotRun || s == Ran }

type record struct {
	id      string
	state   State
	at      time.Time
	element *list.Element
}

// Ledger holds the attempt records of one incarnation of an agent.
type Ledger struct {
	retention time.Duration
	records   map[string]*record
	final     list.List
}

// New returns an empty ledger that retains final records for the given duration.
func New(retention time.Duration) *Ledger {
	return &Ledger{retention: retention, records: make(map[string]*record)}
}

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// State returns the state of the attempt, or None if there is no record.
func (l *Ledger) State(id string) State {
	if r, ok := l.records[id]; ok {
		return r.state
	}
	return None
}

// Set records a state and reports whether it was accepted. A final state never
// changes, and a started attempt can only become Ran.
func (l *Ledger) Set(now time.Time, id string, s State) bool {
	r, ok := l.records[id]
	if !ok {
		r = &record{id: id}
		l.records[id] = r
	}
	if r.state.Final() || (r.state.Started() && s != Ran) {
		return false
	}
	r.state = s
	r.at = now
	if s.Final() {
		r.element = l.final.PushBack(r)
	}
	return true
}

// Sweep deletes final records whose retention has passed.
func (l *Ledger) Sweep(now time.Time) {
	for e := l.final.Front(); e != nil; e = l.final.Front() {
		r := e.Value.(*record)
		if now.Sub(r.at) < l.retention {
			return
		}
		l.final.Remove(e)
		delete(l.records, r.id)
	}
}
