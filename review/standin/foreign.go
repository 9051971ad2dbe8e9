//go:build review

package main

import (
	"fmt"
	"time"
)

// Figures of the case foreign. Machines and the timeout are those of the site tbc-activate.
const (
	foreignGateways = 3
	foreignReplicas = 9
	foreignLength   = 20 * time.Second
)

// foreignEntries sends streams while another writer has put entries into the store that name the
// replicas' addresses, with a service that is in no configuration. It reports whether any request was
// served.
func foreignEntries(l *lab) bool {
	l.store.PutConfig(floodConfig())
	for i := range foreignReplicas {
		r := newStreamReplica(l, fmt.Sprintf("i-%d", i+1), nil)
		if l.trouble {
			l.store.Put(fmt.Sprintf("servers/scan-%d", i+1), []byte(fmt.Sprintf(
				`{"service":"port-scan","address":%q,"zone":"a","version":"1","slots":1,"state":"ready"}`, r.ln.Addr().String())))
			l.note("another writer has put an entry for %s, with the service port-scan", r.ln.Addr())
		}
	}
	gateways := l.newGateways(foreignGateways)
	for _, p := range gateways {
		p.memoryMB = floodMemory
		p.start(true)
	}
	for _, p := range gateways {
		p.awaitReady()
	}
	answers := sendStreams(l, gateways, time.Now().Add(foreignLength))
	for a, n := range answers {
		l.note("clients got %d times: %s", n, a)
	}
	return answers["whole stream"] > 0
}
