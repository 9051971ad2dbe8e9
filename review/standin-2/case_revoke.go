//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["revoked-key-runs"] = revokedKeyRuns }

// Parameters of the case.
const (
	revokeGateways = 2
	revokeAfter    = 4 * time.Second
	revokeLength   = 16 * time.Second
	// revokeBound is revoke_ms.
	revokeBound = 5 * time.Second
)

// revokedKeyRuns has a client of the only tenant send requests while the operator publishes a
// configuration without this tenant.
func revokedKeyRuns(r *record, dir string, trouble bool) bool {
	s := newStore()
	s.put("op/config", plainConfig(1, "key-1"))
	var ran events
	for i := range 3 {
		p := startReplica(fmt.Sprintf("i-%d", i+1), &ran)
		s.put("servers/"+p.id, p.entry("app", zoneName(i), "ready", 6))
		r.line("replica %s starts in %s at %s", p.id, zoneName(i), p.address)
	}
	list := newGateways(dir, revokeGateways, s.address)
	for _, g := range list {
		g.start()
	}
	awaitReady(list)
	time.Sleep(3 * time.Second) // All machines are in touch.
	r.line("traffic begins")

	var mu sync.Mutex
	var attempts []attempt
	end := time.Now().Add(revokeLength)
	var group sync.WaitGroup
	for _, g := range list {
		for _, key := range []string{"key-1", "key-2"} {
			group.Add(1)
			go func() {
				defer group.Done()
				c := newClient(g, key)
				for time.Now().Before(end) {
					a := c.send("GET", "/status/order/1?key="+key, nil, time.Second)
					mu.Lock()
					attempts = append(attempts, a)
					mu.Unlock()
					time.Sleep(100 * time.Millisecond)
				}
			}()
		}
	}
	time.Sleep(revokeAfter)
	next := plainConfig(2, "key-1")
	if trouble {
		next["tenants"] = []map[string]any{}
	}
	acknowledged := s.put("op/config", next)
	r.line("configuration 2 is acknowledged at %.3f s; it has %d tenants", acknowledged.Sub(r.began).Seconds(), len(next["tenants"].([]map[string]any)))
	group.Wait()

	runs := map[string]bool{}
	ran.mu.Lock()
	for _, e := range ran.list {
		runs[e.ID] = true
	}
	ran.mu.Unlock()
	broken, unknown := 0, 0
	for _, a := range attempts {
		if !runs[a.id] {
			continue
		}
		if a.path[len(a.path)-5:] == "key-2" {
			unknown++
		} else if trouble && a.at.Sub(acknowledged) > revokeBound {
			broken++
		}
	}
	r.all(attempts, &ran)
	r.line("ROUTE: %d requests were run with a key that no configuration has ever held", unknown)
	r.verdict("CONFIG: %d requests were run that were sent more than 5 s after the configuration that took away their key; %d with a key that none ever held", broken, unknown)
	return broken+unknown > 0
}
