//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { cases["twice-by-extra-answer"] = twiceByExtraAnswer }

// Parameters of the case.
const (
	twiceGateways = 2
	twiceReplicas = 3
	twiceFaulty   = 1 // a share of 0.33
	twiceClients  = 8
	twiceWindows  = 3
	// faultyFor is how long replicas are faulty, and soundFor how long they are sound before.
	faultyFor = 5 * time.Second
	soundFor  = 3 * time.Second
	// extraPart is the part of the answers of a faulty replica that are followed by an extra one.
	extraPart = "0.03"
)

// orderConfig is a configuration with one route whose requests run at most once.
func orderConfig() map[string]any {
	cfg := plainConfig(1, "key-1")
	cfg["routes"] = []map[string]any{{
		"name": "r-order", "host": "app.example", "path_prefix": "/order/", "kind": "non_idempotent", "service": "app",
		"timeout_ms": 1000, "target_latency_ms": 150, "priority": 1, "max_attempts": 2, "public": false, "session_affinity": false, "stream_resume": false,
	}}
	return cfg
}

// twiceByExtraAnswer has clients send orders. Faulty replicas send extra answers late, in the place
// of the next one, and without the id of any request.
func twiceByExtraAnswer(r *record, dir string, trouble bool) bool {
	s := newStore()
	s.put("op/config", orderConfig())
	var ran events
	replicas := make([]*replicaProcess, twiceReplicas)
	for i := range replicas {
		replicas[i] = startReplica(fmt.Sprintf("i-%d", i+1), &ran, "-work", "30ms", "-extra", extraPart)
		s.put("servers/"+replicas[i].id, replicas[i].entry("app", zoneName(i), "ready", 6))
		r.line("replica %s starts in %s at %s", replicas[i].id, zoneName(i), replicas[i].address)
	}
	list := newGateways(dir, twiceGateways, s.address)
	for _, g := range list {
		g.start()
	}
	awaitReady(list)
	time.Sleep(3 * time.Second) // All machines are in touch.
	r.line("traffic begins")

	var mu sync.Mutex
	var attempts []attempt
	end := time.Now().Add(twiceWindows*(soundFor+faultyFor) + time.Second)
	var group sync.WaitGroup
	for i := range twiceClients {
		group.Add(1)
		go func() {
			defer group.Done()
			c := newClient(list[i%len(list)], "key-1")
			for time.Now().Before(end) {
				a := c.send("POST", "/order/new", []byte(fmt.Sprintf(`{"n":%d}`, rand.Int64())), time.Second)
				mu.Lock()
				attempts = append(attempts, a)
				mu.Unlock()
				time.Sleep(30*time.Millisecond + rand.N(40*time.Millisecond))
			}
		}()
	}
	for range twiceWindows {
		time.Sleep(soundFor)
		if trouble {
			r.line("%d replicas are faulty", twiceFaulty)
			for _, p := range replicas[:twiceFaulty] {
				_ = p.cmd.Process.Signal(syscall.SIGUSR1)
			}
		}
		time.Sleep(faultyFor)
		for _, p := range replicas[:twiceFaulty] {
			_ = p.cmd.Process.Signal(syscall.SIGUSR2)
		}
		r.line("all replicas are sound")
	}
	group.Wait()
	time.Sleep(500 * time.Millisecond)

	runs := map[string][]string{}
	ran.mu.Lock()
	for _, e := range ran.list {
		if e.What == "runs" {
			runs[e.ID] = append(runs[e.ID], e.Replica)
		}
	}
	ran.mu.Unlock()
	twice, refused := 0, 0
	for _, a := range attempts {
		if len(runs[a.id]) > 1 {
			twice++
			r.line("TWICE: %s was run by %v; the client got %d", a.id, runs[a.id], a.status)
		}
		promise := a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421
		if a.err == nil && a.seal == "" && promise && len(runs[a.id]) > 0 {
			refused++
			r.line("REFUSED: %s got %d, and was run by %v", a.id, a.status, runs[a.id])
		}
	}
	r.all(attempts, &ran)
	r.verdict("TWICE: %d of %d requests that may run once were run twice; REFUSED: %d that were run got a 503", twice, len(attempts), refused)
	return twice+refused > 0
}
