package occupancy

// Part is a prompt prefix that an engine has in its KV cache, or will have read soon.
type Part struct {
	// Upstream is the key of the engine's incarnation.
	Upstream uint64
	// Key identifies the last part of the prefix together with all parts before it.
	Key    uint64
	Tokens int
	// Read is true once the engine has read the part; before that, it has been sent to
	// the engine.
	Read bool
}

const (
	// maxLogEntries is the number of parts that a gateway keeps to pass on.
	maxLogEntries = 4096
	// MaxPartsPerMessage is the maximum number of parts in one message; each takes about
	// 20 bytes.
	MaxPartsPerMessage = 400
)

// entry is a part with the origin of the report.
type entry struct {
	part Part
	// from is the address of the gateway that reported it; empty for another availability
	// zone.
	from string
}

// PartLog is a bounded log of the cached parts that gateways have reported, in order of
// arrival. It is not safe for concurrent use.
type PartLog struct {
	entries []entry
	// firstIndex is the sequence number of the oldest retained entry.
	firstIndex uint64
	// cursors holds the sequence number of the next entry to send to each gateway.
	cursors map[string]uint64
}

// NewPartLog returns an empty log.
func NewPartLog() *PartLog { return &PartLog{cursors: make(map[string]uint64)} }

// Add appends parts that a gateway of the availability zone reported; an empty address
// means another zone.
func (n *PartLog) Add(from string, parts []Part) {
	for _, p := range parts {
		n.entries = append(n.entries, entry{part: p, from: from})
	}
	if over := len(n.entries) - maxLogEntries; over > 0 {
		n.entries = append(n.entries[:0], n.entries[over:]...)
		n.firstIndex += uint64(over)
		n.dropStaleCursors()
	}
}

// dropStaleCursors drops the cursors of gateways that have not asked for so long that
// entries which they had not seen were discarded.
func (n *PartLog) dropStaleCursors() {
	for address, at := range n.cursors {
		if at < n.firstIndex {
			delete(n.cursors, address)
		}
	}
}

// For returns the next parts that a gateway of the availability zone has not been sent,
// except those that it reported itself.
func (n *PartLog) For(address string) []Part {
	return n.unsent(address, func(e entry) bool { return e.from != address })
}

// ForOtherZone returns the next parts of this availability zone that a gateway of another
// zone has not been sent.
func (n *PartLog) ForOtherZone(address string) []Part {
	return n.unsent(address, func(e entry) bool { return e.from != "" })
}

// unsent returns the next wanted parts for the gateway and advances its cursor.
func (n *PartLog) unsent(address string, wanted func(entry) bool) []Part {
	at := max(n.cursors[address], n.firstIndex)
	end := n.firstIndex + uint64(len(n.entries))
	var parts []Part
	for at < end && len(parts) < MaxPartsPerMessage {
		if e := n.entries[at-n.firstIndex]; wanted(e) {
			parts = append(parts, e.part)
		}
		at++
	}
	n.cursors[address] = at
	return parts
}
