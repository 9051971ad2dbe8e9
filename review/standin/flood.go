//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case flood. Machines, traffic and timeouts are those of the site tbc-activate.
const (
	floodGateways  = 3
	floodReplicas  = 9
	floodMemory    = 134 // limits.memory_mb
	floodPerSecond = 52
	floodDeadline  = 4 * time.Second
	floodLength    = 34 * time.Second
	// floodShare of the replicas spoil one answer in floodEvery (3 in 100), in windows of
	// floodWindow that begin every floodPeriod: the dose of garble in the site's list of troubles.
	floodShare  = 0.6
	floodEvery  = 33
	floodWindow = 5 * time.Second
	floodPeriod = 8 * time.Second
	// floodRate is the speed of a spoiled answer in bytes per second. It is below half of the link of
	// a gateway's machine (1,000 Mbit/s).
	floodRate  = 50_000_000
	floodBytes = 250_000_000
	// restartDelay is the time after which the platform starts an ended process again.
	restartDelay = 500 * time.Millisecond
	// faultEnds is the number of ends on their own, on each of faultMachines machines, that make a fault.
	faultEnds     = 3
	faultMachines = 2
)

// garbling decides which answers are spoiled.
type garbling struct {
	on      atomic.Bool
	answers atomic.Int64
	spoiled atomic.Int64
}

// spoils reports whether the next answer of a faulty replica is spoiled.
func (g *garbling) spoils() bool {
	if !g.on.Load() || g.answers.Add(1)%floodEvery != 7 {
		return false
	}
	g.spoiled.Add(1)
	return true
}

// streamReplica answers requests with a short stream. A spoiled answer consists of bytes that are
// not an answer: no line ends in them.
type streamReplica struct {
	l      *lab
	id     string
	ln     net.Listener
	garble *garbling // nil for a sound replica
}

func newStreamReplica(l *lab, id string, g *garbling) *streamReplica {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	r := &streamReplica{l: l, id: id, ln: ln, garble: g}
	l.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	l.store.Put("servers/"+id, []byte(fmt.Sprintf(
		`{"service":"gladegauge-pool","address":%q,"zone":"a","version":"1","slots":64,"state":"ready","cold_remaining_ms":0,"call_seq":0,"born":%d}`,
		ln.Addr().String(), time.Now().UnixMilli())))
	return r
}

func (r *streamReplica) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("X-Gladegauge-Attempt-Id")
		if req.Header.Get("X-Gladegauge-Expect-Replica") != r.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Gladegauge-Attempt-Id: %s\r\nX-Gladegauge-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		if r.garble != nil && r.garble.spoils() {
			r.l.note("replica %s answers %s with bytes that are not an answer", r.id, id)
			r.l.note("replica %s sent %d such bytes for %s", r.id, flood(c), id)
			return
		}
		time.Sleep(20 * time.Millisecond)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Gladegauge-Attempt-Id: %s\r\nX-Gladegauge-Replica-Seal: seal-%s\r\nX-Gladegauge-Replica-Load: 1,0,64\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, r.id)
		for i := range 9 {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, strings.Repeat("t", 40))
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return
			}
			time.Sleep(30 * time.Millisecond)
		}
		fmt.Fprint(c, "0\r\n\r\n")
	}
}

// flood writes bytes without line ends and returns their number.
func flood(c net.Conn) int {
	const steps = 100
	piece := bytes.Repeat([]byte("x"), floodRate/steps)
	sent := 0
	for sent < floodBytes {
		n, err := c.Write(piece)
		sent += n
		if err != nil {
			break
		}
		time.Sleep(time.Second / steps)
	}
	return sent
}

// resident returns the resident memory of the process in bytes.
func (p *process) resident() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(text)[0])
			return kb * 1024
		}
	}
	return 0
}

// enforceMemory plays the platform until the given time: it kills the process when it goes over its
// memory, and starts it again. It returns the number of these ends and the highest memory seen.
func (p *process) enforceMemory(until time.Time) (ends, peak int) {
	for ; time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		n := p.resident()
		peak = max(peak, n)
		if n <= floodMemory*1_000_000 {
			continue
		}
		ends++
		p.l.note("%s holds %d bytes, over its limit of %d MB, and is killed (end %d)", p.name, n, floodMemory, ends)
		p.signal(syscall.SIGKILL)
		<-p.done
		time.Sleep(restartDelay)
		p.start(false)
	}
	return ends, peak
}

// flooded sends streams to a service of which some replicas spoil some answers. It reports whether
// fewer than two gateways ended three times.
func flooded(l *lab) bool {
	l.store.PutConfig(floodConfig())
	g := &garbling{}
	for i := range floodReplicas {
		var garble *garbling
		if float64(i+1) <= floodShare*floodReplicas {
			garble = g
		}
		newStreamReplica(l, fmt.Sprintf("i-%d", i+1), garble)
	}
	gateways := l.newGateways(floodGateways)
	for _, p := range gateways {
		p.memoryMB = floodMemory
		p.start(true)
	}
	for _, p := range gateways {
		p.awaitReady()
	}
	until := time.Now().Add(floodLength)
	ends, peaks := make([]int, len(gateways)), make([]int, len(gateways))
	var wg sync.WaitGroup
	for i, p := range gateways {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ends[i], peaks[i] = p.enforceMemory(until)
		}()
	}
	if l.trouble {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for began := time.Now(); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
				at := time.Since(began) % floodPeriod
				g.on.Store(at > floodPeriod-floodWindow)
			}
		}()
	}
	answers := sendStreams(l, gateways, until)
	wg.Wait()
	for a, n := range answers {
		l.note("clients got %d times: %s", n, a)
	}
	l.note("%d answers of faulty replicas in the windows, %d of them spoiled", g.answers.Load(), g.spoiled.Load())
	faulty := 0
	for i, p := range gateways {
		l.note("%s: at most %d bytes, ended on its own %d times", p.name, peaks[i], ends[i])
		if ends[i] >= faultEnds {
			faulty++
		}
	}
	return faulty < faultMachines
}

// sendStreams sends requests at a fixed rate to the gateways in turn, and returns how often clients
// got each kind of answer.
func sendStreams(l *lab, gateways []*process, until time.Time) map[string]int {
	answers := make(map[string]int)
	var mu sync.Mutex
	var wg sync.WaitGroup
	t := time.NewTicker(time.Second / floodPerSecond)
	defer t.Stop()
	for n := 0; time.Now().Before(until); n++ {
		<-t.C
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := "no connection"
			for i := range gateways {
				if a = streamCall(gateways[(n+i)%len(gateways)].callers, fmt.Sprintf("a%05d", n)); a != "no connection" {
					break
				}
			}
			mu.Lock()
			defer mu.Unlock()
			answers[a]++
			if a != "whole stream" {
				l.note("client got for a%05d: %s", n, a)
			}
		}()
	}
	wg.Wait()
	return answers
}

// streamCall sends one request for a stream on a new connection and returns its answer.
func streamCall(address, id string) string {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "no connection"
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(floodDeadline))
	fmt.Fprintf(c, "POST /policy/1 HTTP/1.1\r\nHost: policy.example\r\nX-Gladegauge-Attempt-Id: %s\r\nX-Gladegauge-Deadline-Ms: %d\r\nX-Gladegauge-Key: key-1\r\n"+
		"X-Gladegauge-Model: m\r\nX-Gladegauge-Token-Counts: 1460,80\r\nContent-Length: 4\r\n\r\nask\n", id, floodDeadline.Milliseconds())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer"
	}
	_, err = io.Copy(io.Discard, resp.Body)
	switch {
	case resp.StatusCode != http.StatusOK:
		return resp.Status
	case err != nil:
		return "a stream that broke off"
	default:
		return "whole stream"
	}
}
