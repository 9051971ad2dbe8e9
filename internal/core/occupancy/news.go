package occupancy

// Part is a leading run of a prompt's parts that an engine keeps, or will have
// read soon.
type Part struct {
	// Upstream is the hash of the engine's identity.
	Upstream uint64
	// Key covers the part and all parts before it.
	Key    uint64
	Tokens int
	// Read is true once the engine has read it; before, it is on its way there.
	Read bool
}

// Bounds of news.
const (
	// newsKept is the number of parts that a gateway can still tell of.
	newsKept = 4096
	// NewsMost is the number of parts that one message tells of; each is about
	// 20 bytes.
	NewsMost = 400
)

// entry is a part and where its word came from.
type entry struct {
	part Part
	// from is the gateway that told of it; empty for another availability zone.
	from string
}

// News is what gateways have told of parts, in the order in which it was heard. It
// is not safe for concurrent use.
type News struct {
	entries []entry
	// first is the number of the first entry that is kept.
	first uint64
	// told is up to where each gateway was told.
	told map[string]uint64
}

// NewNews returns no news.
func NewNews() *News { return &News{told: make(map[string]uint64)} }

// Add takes parts that a gateway of the availability zone told of; an empty name
// means another zone.
func (n *News) Add(from string, parts []Part) {
	for _, p := range parts {
		n.entries = append(n.entries, entry{part: p, from: from})
	}
	if over := len(n.entries) - newsKept; over > 0 {
		n.entries = append(n.entries[:0], n.entries[over:]...)
		n.first += uint64(over)
		n.forget()
	}
}

// forget drops the gateways that have not asked for so long that they missed some.
func (n *News) forget() {
	for address, at := range n.told {
		if at < n.first {
			delete(n.told, address)
		}
	}
}

// For returns what a gateway of the availability zone has not been told, but for
// its own words.
func (n *News) For(address string) []Part {
	return n.next(address, func(e entry) bool { return e.from != address })
}

// Beyond returns what a gateway of another availability zone has not been told of
// this one.
func (n *News) Beyond(address string) []Part {
	return n.next(address, func(e entry) bool { return e.from != "" })
}

// next returns the next parts for the gateway.
func (n *News) next(address string, wanted func(entry) bool) []Part {
	at := max(n.told[address], n.first)
	end := n.first + uint64(len(n.entries))
	var parts []Part
	for at < end && len(parts) < NewsMost {
		if e := n.entries[at-n.first]; wanted(e) {
			parts = append(parts, e.part)
		}
		at++
	}
	n.told[address] = at
	return parts
}
