package fleet

import "time"

// Member is the state of one gateway as it is sent in messages.
type Member struct {
	Address string
	Zone    string
	// Start identifies a process start of the gateway and is higher for a later one; Beat
	// is the heartbeat, which rises while the gateway is alive.
	Start uint64
	Beat  uint64
	// Leaving is true once the gateway accepts no new callers.
	Leaving bool
	// Capacity is the CPU share that its host gives it, in thousandths of a core; 0 if
	// not reported.
	Capacity uint32
}

// newer reports whether m is more recent than other, which is the same gateway.
func (m Member) newer(other Member) bool {
	if m.Start != other.Start {
		return m.Start > other.Start
	}
	return m.Beat > other.Beat
}

// peer is another gateway with its last known state.
type peer struct {
	Member
	// lastHeartbeat is when its heartbeat last rose.
	lastHeartbeat time.Time
	// hash is the hash of its address, kept so that samples are drawn without hashing
	// again.
	hash uint64
	// downUntil is when it may be called again.
	downUntil time.Time
	// failures is the number of failed calls since its heartbeat last rose, up to
	// maxBackoffDoublings.
	failures int
	// relayDownUntil is when it may be a relay again.
	relayDownUntil time.Time
	// recorderDownUntil is when it may be a recorder of this gateway again.
	recorderDownUntil time.Time
	// backoffUntil is when its own store backoff ends.
	backoffUntil time.Time
}
