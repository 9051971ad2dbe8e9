// Package ledger remembers what became of each attempt at one agent.
//
// A refused attempt leaves a tombstone, so that a late copy is refused too. A
// started attempt is never started again. Records are kept for the life of an
// attempt's messages, then forgotten in order of their age.
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

// State is what became of an attempt.
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

// Started reports whether the upstream has, or may have, begun the attempt.
func (s State) Started() bool { return s == Running || s == Ran }

// Live reports whether the attempt waits, holds a slot or runs.
func (s State) Live() bool { return s == Waiting || s == Granted || s == Running }

// Final reports whether nothing more can happen to the attempt.
func (s State) Final() bool { return s == NotRun || s == Ran }

type record struct {
	id    string
	state State
	at    time.Time
	place *list.Element
}

// Ledger holds the records of one incarnation of an agent.
type Ledger struct {
	keep    time.Duration
	records map[string]*record
	final   list.List
}

// New returns an empty ledger that keeps final records for keep.
func New(keep time.Duration) *Ledger {
	return &Ledger{keep: keep, records: make(map[string]*record)}
}

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// State returns what became of the attempt.
func (l *Ledger) State(id string) State {
	if r, ok := l.records[id]; ok {
		return r.state
	}
	return None
}

// Set records a state. A final state is never left, and a started attempt
// never becomes NotRun; Set reports whether the record was changed.
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
		r.place = l.final.PushBack(r)
	}
	return true
}

// Sweep forgets final records older than the time they are kept.
func (l *Ledger) Sweep(now time.Time) {
	for e := l.final.Front(); e != nil; e = l.final.Front() {
		r := e.Value.(*record)
		if now.Sub(r.at) < l.keep {
			return
		}
		l.final.Remove(e)
		delete(l.records, r.id)
	}
}
