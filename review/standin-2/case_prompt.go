//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["denied-shared-prompt"] = deniedSharedPrompt }

// Parameters of the case.
const (
	promptGateways   = 3
	promptReplicas   = 4
	promptLength     = 30 * time.Second
	promptFirstCrash = 2 * time.Second
	promptCrashEvery = 2200 * time.Millisecond
	promptCrashes    = 6
	reportEvery      = 80 * time.Millisecond
	lookupEvery      = 60 * time.Millisecond
)

// promptConfig is a configuration with two streaming routes to one service with model engines.
func promptConfig() map[string]any {
	cfg := plainConfig(1, "key-1")
	route := func(name, prefix string, timeout, target, gap, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": "app.example", "path_prefix": prefix, "kind": "streaming", "service": "app",
			"timeout_ms": timeout, "target_latency_ms": target, "target_gap_ms": gap, "priority": priority, "max_attempts": 1,
			"public": false, "session_affinity": true, "stream_resume": false,
		}
	}
	cfg["routes"] = []map[string]any{route("r-report", "/report/", 15000, 300, 250, 0), route("r-lookup", "/lookup/", 5000, 1200, 1000, 1)}
	cfg["services"] = []map[string]any{{
		"name": "app", "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 64, "kv_capacity_tokens": 458638, "kv_token_bytes": 18432, "link_mbps": 550000.0, "moves": false, "backups": false, "stride": 5},
	}}
	return cfg
}

// busiest returns the index of the replica that began most requests in the last second.
func busiest(list []*replicaProcess, ran *events) int {
	began := map[string]int{}
	ran.mu.Lock()
	for _, e := range ran.list {
		if e.What == "runs" && time.Since(e.At) < time.Second {
			began[e.Replica]++
		}
	}
	ran.mu.Unlock()
	most := 0
	for i, p := range list {
		if began[p.id] > began[list[most].id] {
			most = i
		}
	}
	return most
}

// deniedSharedPrompt has clients send two kinds of prompts: one with long answers, and one with
// short ones. Soon after the gateways' start engines crash, one at a time, whatever they run.
func deniedSharedPrompt(r *record, dir string, trouble bool) bool {
	s := newStore()
	s.put("op/config", promptConfig())
	var ran events
	n := 0
	put := func(zone int) *replicaProcess {
		n++
		p := startReplica(fmt.Sprintf("i-%d", n), &ran, "-slots", "64", "-queue", "134")
		s.put("servers/"+p.id, p.entry("app", zoneName(zone), "ready", 64))
		r.line("engine %s starts in %s at %s", p.id, zoneName(zone), p.address)
		return p
	}
	replicas := make([]*replicaProcess, promptReplicas)
	for i := range replicas {
		replicas[i] = put(i)
	}
	list := newGateways(dir, promptGateways, s.address)
	for _, g := range list {
		g.start()
	}
	awaitReady(list)
	time.Sleep(5 * time.Second) // All machines are in touch.
	r.line("traffic begins")

	var mu sync.Mutex
	var attempts []attempt
	var group sync.WaitGroup
	end := time.Now().Add(promptLength)
	send := func(every time.Duration, path, shared string, tokens int, deadline time.Duration) {
		group.Add(1)
		go func() {
			defer group.Done()
			clients := make([]*client, len(list))
			for i, g := range list {
				clients[i] = newClient(g, "key-1")
			}
			for i := 0; time.Now().Before(end); i++ {
				group.Add(1)
				go func() {
					defer group.Done()
					a := clients[i%len(clients)].send("POST", path, []byte(fmt.Sprintf(`{"n":%d}`, i)), deadline,
						"X-Gladegauge-Model", "m", "X-Gladegauge-Token-Counts", fmt.Sprintf("%d,400", tokens+300),
						"X-Gladegauge-Prompt-Prefix", fmt.Sprintf("%s:%d,%08x:300", shared, tokens, i))
					mu.Lock()
					attempts = append(attempts, a)
					mu.Unlock()
				}()
				time.Sleep(every)
			}
		}()
	}
	send(reportEvery, "/report/new", "5c1e07a2", 172, 15*time.Second)
	send(lookupEvery, "/lookup/new", "91bd3f06", 568, 5*time.Second)
	for i := range promptCrashes {
		if !trouble {
			break
		}
		time.Sleep(map[bool]time.Duration{true: promptFirstCrash, false: promptCrashEvery - downFor}[i == 0])
		k := busiest(replicas, &ran)
		r.line("engine %s crashes", replicas[k].id)
		_ = replicas[k].cmd.Process.Kill()
		gone := replicas[k]
		time.AfterFunc(3*1200*time.Millisecond, func() { s.remove("servers/" + gone.id) })
		time.Sleep(downFor)
		replicas[k] = put(k)
	}
	group.Wait()

	denied := 0
	counts := map[string]int{}
	for i, a := range attempts {
		who := "gateway"
		if a.seal != "" {
			who = "engine"
		}
		what := fmt.Sprintf("%s %d from the %s", a.path, a.status, who)
		if a.err != nil {
			what += ", not to its end"
		}
		counts[what]++
		if a.seal == "" && a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 {
			denied++
		}
		attempts[i].body = fmt.Sprint(strings.Count(a.body, "id: "), " events ", strings.TrimSpace(a.body[:min(len(a.body), 20)]))
	}
	for what, n := range counts {
		r.line("%s: %d", what, n)
	}
	r.all(attempts, &ran)
	limit := 5 + float64(len(attempts))/500
	r.verdict("DENIED: %d of %d proper requests ended with a 3xx or 4xx of the gateways' own; the limit is %.1f", denied, len(attempts), limit)
	return float64(denied) > limit
}
