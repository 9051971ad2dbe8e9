package suspect

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// Size limits of the exchange.
const (
	// maxLogEntries is the number of observations that a gateway keeps for others, at about
	// 60 bytes each.
	maxLogEntries = 4096
	// maxRepeated bounds the observations that are looked at when a full log drops some.
	maxRepeated = 64
	// maxPerMessage is the number of observations in one message, at about 45 bytes each on
	// the wire.
	maxPerMessage = 128
	// maxPeers bounds the gateways whose positions are kept. It exceeds the gateways of an
	// availability zone plus the relays of all others.
	maxPeers = 1024
)

// Observation is one observation of a request, or of a part of prompts, by a gateway.
type Observation struct {
	Print Print
	// Round is the number of times that the fingerprint had been cleared before.
	Round uint32
	// Start identifies the upstream incarnation that crashed; 0 if the observation clears
	// the fingerprint of all earlier rounds.
	Start uint64
	// Witness is the gateway that made the observation.
	Witness uint64
	At      time.Time
	// Ran is the time from sending the request there to the crash.
	Ran time.Duration
	// source identifies the start of the gateway that passed the observation on to this one; 0
	// if this gateway made it.
	source uint64
}

// clears reports whether the observation clears the fingerprint.
func (o Observation) clears() bool { return o.Start == 0 }

// Position is an offset in the observation log of one epoch of a gateway.
type Position struct {
	Epoch uint64
	At    uint64
}

// Message carries the observations from one gateway to another that the receiver has not
// acknowledged, and the position up to which the sender has received the receiver's log. A
// lost or late message does no harm: the next one repeats its content.
type Message struct {
	Words []Observation
	// After and Upto are the sender's log positions before and after the observations.
	After, Upto Position
	// Heard is the position up to which the sender has received the receiver's log.
	Heard Position
}

// Empty reports whether the message carries no information. One that acknowledges any epoch
// of the receiver is not empty: a restarted receiver learns from an older epoch that it
// must send its whole log.
func (m Message) Empty() bool {
	return len(m.Words) == 0 && m.Upto.At == 0 && m.Heard.Epoch == 0
}

// log holds the observations of a gateway in the order in which it learned them.
type log struct {
	epoch   uint64
	entries []Observation
	// first is the position of the oldest entry that is kept.
	first uint64
}

// add appends an observation. It returns the oldest ones, which it drops if the log is full.
func (l *log) add(o Observation) []Observation {
	l.entries = append(l.entries, o)
	over := len(l.entries) - maxLogEntries
	if over <= 0 {
		return nil
	}
	dropped := slices.Clone(l.entries[:over])
	l.entries = append(l.entries[:0], l.entries[over:]...)
	l.first += uint64(over)
	return dropped
}

// has reports whether the log holds the same observation.
func (l *log) has(o Observation) bool {
	return slices.ContainsFunc(l.entries, func(e Observation) bool {
		return e.Print == o.Print && e.Start == o.Start && e.Round == o.Round
	})
}

// end is the position after the last entry.
func (l *log) end() uint64 { return l.first + uint64(len(l.entries)) }

// since returns the next entries after the position that include accepts, and the position
// after them.
func (l *log) since(at uint64, include func(Observation) bool) ([]Observation, uint64) {
	at = max(at, l.first)
	var entries []Observation
	for at < l.end() && len(entries) < maxPerMessage {
		if o := l.entries[at-l.first]; include(o) {
			entries = append(entries, o)
		}
		at++
	}
	return entries, at
}

// peer is the exchange state with another gateway.
type peer struct {
	// received is the position up to which its log was received here, acked the position up
	// to which it has received the local log.
	received Position
	acked    uint64
}

// peer returns the exchange state with the gateway at the address.
func (r *Registry) peer(address string) *peer {
	p, ok := r.peers[address]
	if !ok {
		if len(r.peers) >= maxPeers {
			clear(r.peers)
		}
		p = &peer{}
		r.peers[address] = p
	}
	return p
}

// sourceOf identifies the start of a gateway by its address and its epoch.
func sourceOf(address string, epoch uint64) uint64 {
	return rendezvous.Mix(xxhash.Sum64String(address), epoch)
}

// NextMessage returns the next message to the gateway at the address. If toRelay is set, it
// leaves out observations received from others, but for those that a block may depend on: a
// relay that has just started may have no other source for them.
func (r *Registry) NextMessage(address string, toRelay bool) Message {
	p := r.peer(address)
	words, upto := r.log.since(p.acked, func(o Observation) bool {
		switch {
		case o.Witness == r.self:
			return true
		case o.source == sourceOf(address, p.received.Epoch):
			return false // It came from there.
		default:
			return !toRelay || r.blocks(o)
		}
	})
	return Message{
		Words: words,
		After: Position{Epoch: r.log.epoch, At: p.acked},
		Upto:  Position{Epoch: r.log.epoch, At: upto},
		Heard: p.received,
	}
}

// Receive processes a message. All observations of a member of the availability zone are
// attributed to it as one witness, whatever it reports: witness is its hash, or 0 to keep
// the witnesses in the message. It returns the fingerprints with new evidence.
func (r *Registry) Receive(now time.Time, address string, m Message, witness uint64) []Print {
	p := r.peer(address)
	p.acked = 0
	if m.Heard.Epoch == r.log.epoch {
		p.acked = min(m.Heard.At, r.log.end())
	}
	if m.Upto.Epoch != p.received.Epoch {
		p.received = Position{Epoch: m.Upto.Epoch}
	}
	if m.After.At <= p.received.At {
		p.received.At = max(p.received.At, m.Upto.At)
	}
	var changed []Print
	for _, o := range m.Words {
		if witness != 0 {
			o.Witness = witness
		}
		// The gateway knows its own observations; only a forged one could add to them.
		if o.Witness == r.self {
			continue
		}
		o.source = sourceOf(address, m.Upto.Epoch)
		if r.apply(now, o) {
			changed = append(changed, o.Print)
		}
	}
	return changed
}
