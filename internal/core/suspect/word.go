package suspect

import "time"

// Bounds of words.
const (
	// wordsKept is the number of words that a gateway can still tell, some 60 bytes
	// each.
	wordsKept = 1024
	// wordsMost is the number of words in one message, some 45 bytes each on the way.
	wordsMost = 64
	// peersKept bounds the gateways whose positions are remembered. It is more than
	// the gateways of an availability zone and the relays of all others.
	peersKept = 1024
)

// Word is one thing that a gateway saw of a request.
type Word struct {
	Print Print
	// Round is the number of times that the request had been cleared before.
	Round uint32
	// Start is the start of an upstream that ended under it; 0 if the word clears the
	// request of all earlier rounds.
	Start uint64
	// Witness is the gateway that saw it.
	Witness uint64
	At      time.Time
	// Ran is how long before the end the request had been sent there.
	Ran time.Duration
}

// clears reports whether the word says that the request did no harm.
func (w Word) clears() bool { return w.Start == 0 }

// Position is a place in the words of one start of a gateway.
type Position struct {
	Epoch uint64
	At    uint64
}

// Message is what one gateway tells another: the words that the other one has not
// confirmed, and up to where it has heard the other one's. A message that is lost or
// late changes nothing: the next one says the same again.
type Message struct {
	Words []Word
	// After and Upto are the sender's positions before and after the words.
	After, Upto Position
	// Heard is up to where the sender has heard the receiver's words.
	Heard Position
}

// Empty reports whether the message says nothing. One that has heard nothing of a start
// of the receiver says so: that start then tells it all.
func (m Message) Empty() bool {
	return len(m.Words) == 0 && m.Upto.At == 0 && m.Heard.Epoch == 0
}

// log is the words of a gateway in the order in which it learned them.
type log struct {
	epoch uint64
	words []Word
	// first is the position before the first word that is kept.
	first uint64
}

func (l *log) add(w Word) {
	l.words = append(l.words, w)
	if over := len(l.words) - wordsKept; over > 0 {
		l.words = append(l.words[:0], l.words[over:]...)
		l.first += uint64(over)
	}
}

// end is the position after the last word.
func (l *log) end() uint64 { return l.first + uint64(len(l.words)) }

// since returns the next wanted words after the position, and the position after them.
func (l *log) since(at uint64, wanted func(Word) bool) ([]Word, uint64) {
	at = max(at, l.first)
	var words []Word
	for at < l.end() && len(words) < wordsMost {
		if w := l.words[at-l.first]; wanted(w) {
			words = append(words, w)
		}
		at++
	}
	return words, at
}

// peer is another gateway.
type peer struct {
	// heard is up to where its words were heard here, and confirmed up to where it has
	// heard the words of this one.
	heard     Position
	confirmed uint64
}

// peer returns what is known of the gateway at the address.
func (r *Register) peer(address string) *peer {
	p, ok := r.peers[address]
	if !ok {
		if len(r.peers) >= peersKept {
			clear(r.peers)
		}
		p = &peer{}
		r.peers[address] = p
	}
	return p
}

// Tell returns the next message to the gateway at the address. Own leaves out what
// this gateway only heard.
func (r *Register) Tell(address string, own bool) Message {
	p := r.peer(address)
	words, upto := r.log.since(p.confirmed, func(w Word) bool { return !own || w.Witness == r.self })
	return Message{
		Words: words,
		After: Position{Epoch: r.log.epoch, At: p.confirmed},
		Upto:  Position{Epoch: r.log.epoch, At: upto},
		Heard: p.heard,
	}
}

// Hear takes a message. A member of the availability zone is one witness, whatever it
// tells: witness is its hash; 0 takes the words' own. It returns the requests on which
// it heard news.
func (r *Register) Hear(now time.Time, address string, m Message, witness uint64) []Print {
	p := r.peer(address)
	p.confirmed = 0
	if m.Heard.Epoch == r.log.epoch {
		p.confirmed = min(m.Heard.At, r.log.end())
	}
	if m.Upto.Epoch != p.heard.Epoch {
		p.heard = Position{Epoch: m.Upto.Epoch}
	}
	if m.After.At <= p.heard.At {
		p.heard.At = max(p.heard.At, m.Upto.At)
	}
	var news []Print
	for _, w := range m.Words {
		if witness != 0 {
			w.Witness = witness
		}
		// What it saw itself, this gateway knows; only a lie could add to it.
		if w.Witness == r.self {
			continue
		}
		if r.take(now, w) {
			news = append(news, w.Print)
		}
	}
	return news
}
