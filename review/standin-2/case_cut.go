//go:build review

package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

func init() { cases["cut-answer-looks-whole"] = cutAnswerLooksWhole }

// Parameters of the case.
const (
	cutGateways   = 2
	cutReplicas   = 3
	cutClients    = 12
	cutBody       = 2 << 20
	cutLength     = 30 * time.Second
	cutCrashes    = 4
	cutCrashEvery = 6 * time.Second
)

// importConfig is a configuration with one route for long bodies, whose requests run at most once.
func importConfig() map[string]any {
	cfg := plainConfig(1, "key-1")
	cfg["routes"] = []map[string]any{{
		"name": "r-import", "host": "app.example", "path_prefix": "/import/", "kind": "non_idempotent", "service": "app",
		"timeout_ms": 5000, "target_latency_ms": 1000, "priority": 1, "max_attempts": 1, "public": false, "session_affinity": false, "stream_resume": false,
	}}
	return cfg
}

// cutAnswerLooksWhole has clients send long bodies to replicas that answer before they have read
// them, without a length. Replicas crash in the middle of such answers.
func cutAnswerLooksWhole(r *record, dir string, trouble bool) bool {
	s := newStore()
	s.put("op/config", importConfig())
	var ran events
	n := 0
	put := func(zone int) *replicaProcess {
		n++
		p := startReplica(fmt.Sprintf("i-%d", n), &ran)
		s.put("servers/"+p.id, p.entry("app", zoneName(zone), "ready", 6))
		r.line("replica %s starts in %s at %s", p.id, zoneName(zone), p.address)
		return p
	}
	replicas := make([]*replicaProcess, cutReplicas)
	for i := range replicas {
		replicas[i] = put(i)
	}
	list := newGateways(dir, cutGateways, s.address)
	for _, g := range list {
		g.start()
	}
	awaitReady(list)
	time.Sleep(3 * time.Second) // All machines are in touch.
	r.line("traffic begins")

	var mu sync.Mutex
	var attempts []attempt
	end := time.Now().Add(cutLength)
	body := bytes.Repeat([]byte("b"), cutBody)
	var group sync.WaitGroup
	for i := range cutClients {
		group.Add(1)
		go func() {
			defer group.Done()
			c := newClient(list[i%len(list)], "key-1")
			for time.Now().Before(end) {
				a := c.send("POST", "/import/list", body, 5*time.Second)
				mu.Lock()
				attempts = append(attempts, a)
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	for i := 0; trouble && i < cutCrashes; i++ {
		time.Sleep(cutCrashEvery - downFor)
		k := i % cutReplicas
		r.line("replica %s crashes", replicas[k].id)
		_ = replicas[k].cmd.Process.Kill()
		gone := replicas[k]
		time.AfterFunc(3*1200*time.Millisecond, func() { s.remove("servers/" + gone.id) })
		time.Sleep(downFor)
		replicas[k] = put(k)
	}
	group.Wait()

	broken := 0
	counts := map[string]int{}
	for i, a := range attempts {
		size := len(a.body)
		what := fmt.Sprintf("%d, whole answer", a.status)
		switch {
		case a.err != nil:
			what = "connection closed before the end of the answer"
		case a.status == 200 && size < earlyBytes:
			what = "200, part of an answer that looks whole"
			broken++
			r.line("MIXED: %s at %s got a success with seal %q and the end of its body after %d of %d bytes", a.id, a.gateway, a.seal, size, earlyBytes)
		}
		counts[what]++
		attempts[i].body = fmt.Sprint(size, " bytes")
	}
	for what, n := range counts {
		r.line("%s: %d", what, n)
	}
	r.all(attempts, &ran)
	r.verdict("MIXED: %d of %d answers ended early and look complete", broken, len(attempts))
	return broken > 0
}
