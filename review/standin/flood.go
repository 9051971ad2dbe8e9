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

// Figures of the case flood.
const (
	// memoryLimit is limits.memory_mb of the settings; the platform kills a process above it.
	memoryLimit = 284_000_000
	// floodRate is the speed of the faulty replica's bytes, below the link of a gateway's machine
	// (1,000 Mbit/s).
	floodRate = 100_000_000
	// floodBytes bounds the bytes in one answer.
	floodBytes = 400_000_000
	// restartDelay is the time after which the platform starts an ended process again.
	restartDelay  = 500 * time.Millisecond
	floodGateways = 2
	floodTime     = 60 * time.Second
	// faultEnds is the number of ends on their own, on each of at least two machines, that make a fault.
	faultEnds = 3
)

// floodReplica answers each request with bytes that are not an answer: no line ends in them.
type floodReplica struct {
	l    *lab
	id   string
	ln   net.Listener
	runs atomic.Int64
}

func newFloodReplica(l *lab, id string, faulty bool) *floodReplica {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	r := &floodReplica{l: l, id: id, ln: ln}
	l.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serve(c, faulty)
		}
	}()
	return r
}

func (r *floodReplica) serve(c net.Conn, faulty bool) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("X-Gladegauge-Attempt-Id")
		r.runs.Add(1)
		if faulty {
			n := flood(c)
			r.l.note("replica %s got %s and sent %d bytes that are not an answer", r.id, id, n)
			return
		}
		event := "id: 1\ndata: whole\n\n"
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Gladegauge-Attempt-Id: %s\r\nX-Gladegauge-Replica-Seal: seal-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, r.id, len(event), event)
	}
}

// flood writes bytes without line ends at the given rate.
func flood(c net.Conn) int {
	piece := bytes.Repeat([]byte("x"), floodRate/100)
	sent := 0
	for sent < floodBytes {
		n, err := c.Write(piece)
		sent += n
		if err != nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
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

// flooded sends requests for streams to a service of which one replica is faulty. The platform kills
// gateways that go over their memory, and starts them again. It reports whether fewer than two
// gateways ended three times.
func flooded(l *lab) bool {
	l.store.PutConfig(floodConfig())
	for i := range 3 {
		r := newFloodReplica(l, fmt.Sprintf("i-%d", i+1), l.trouble && i == 0)
		l.store.Put("servers/"+r.id, []byte(fmt.Sprintf(`{"service":"judge-model","address":%q,"zone":"a","version":"1","slots":64,"state":"ready","cold_remaining_ms":0,"call_seq":0,"born":%d}`, r.ln.Addr().String(), time.Now().UnixMilli())))
	}
	gateways := l.newGateways(floodGateways)
	for _, g := range gateways {
		g.start(true)
	}
	for _, g := range gateways {
		g.awaitReady()
	}
	until := time.Now().Add(floodTime)
	ends := make([]int, len(gateways))
	peaks := make([]int, len(gateways))
	answers := make(map[string]int)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, g := range gateways {
		wg.Add(2)
		go func() { // the platform
			defer wg.Done()
			for time.Now().Before(until) && ends[i] < faultEnds {
				n := g.resident()
				peaks[i] = max(peaks[i], n)
				if n > memoryLimit {
					ends[i]++
					l.note("%s holds %d bytes, over its limit of %d, and is killed (time %d)", g.name, n, memoryLimit, ends[i])
					g.signal(syscall.SIGKILL)
					<-g.done
					time.Sleep(restartDelay)
					g.start(false)
				}
				time.Sleep(5 * time.Millisecond)
			}
		}()
		go func() { // a client
			defer wg.Done()
			for n := 0; time.Now().Before(until) && ends[i] < faultEnds; n++ {
				a := call(g.callers, fmt.Sprintf("%s-%d", g.name, n))
				mu.Lock()
				answers[a]++
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	for a, n := range answers {
		l.note("clients got %d times: %s", n, a)
	}
	faults := 0
	for i, g := range gateways {
		l.note("%s: peak %d bytes, ended %d times", g.name, peaks[i], ends[i])
		if ends[i] >= faultEnds {
			faults++
		}
	}
	return faults < floodGateways
}

// call sends one request for a stream on a new connection and returns its answer.
func call(address, id string) string {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "no connection"
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "POST /ruling/1 HTTP/1.1\r\nHost: judges.example\r\nX-Gladegauge-Attempt-Id: %s\r\nX-Gladegauge-Deadline-Ms: 5000\r\nX-Gladegauge-Key: key-1\r\nX-Gladegauge-Model: m\r\nX-Gladegauge-Token-Counts: 1460,80\r\nContent-Length: 4\r\n\r\nask\n", id)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "closed connection or nothing"
	}
	_, err = io.ReadAll(resp.Body)
	return fmt.Sprintf("%s (%v)", resp.Status, err)
}
