package gatewayd

import "sync/atomic"

const (
	// eventMemoryDivisor is the part of the memory of the host that all large events together
	// may take.
	eventMemoryDivisor = 8
	// defaultEventMemory applies if the settings state no memory.
	defaultEventMemory = 32 << 20
)

// eventMemory bounds the memory of the large events of all streams: upstreams that end no event
// would fill the memory of the host with events of the maximum size. It is safe for concurrent
// use.
type eventMemory struct {
	limit int64
	used  atomic.Int64
}

// newEventMemory returns the bound for a host with so many bytes of memory; 0 if unknown.
func newEventMemory(hostBytes int64) *eventMemory {
	if hostBytes == 0 {
		return &eventMemory{limit: defaultEventMemory}
	}
	return &eventMemory{limit: hostBytes / eventMemoryDivisor}
}

// reserve reserves n bytes. It returns false if there are not so many left.
func (m *eventMemory) reserve(n int) bool {
	if m.used.Add(int64(n)) <= m.limit {
		return true
	}
	m.release(n)
	return false
}

// release gives n bytes back.
func (m *eventMemory) release(n int) { m.used.Add(-int64(n)) }
