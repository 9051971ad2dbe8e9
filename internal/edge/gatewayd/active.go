package gatewayd

import (
	"net"
	"net/http"
	"sync"
)

// activeConns is the set of callers' connections with a request in progress, from its header to
// the last byte of its response. It is safe for concurrent use.
type activeConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// setState records a change of the state of a connection, as http.Server reports it. The server
// reports a connection as idle or closed only after it has written the response.
func (a *activeConns) setState(c net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state == http.StateActive {
		a.conns[c] = struct{}{}
	} else {
		delete(a.conns, c)
	}
}

// n returns the number of the connections.
func (a *activeConns) n() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}
