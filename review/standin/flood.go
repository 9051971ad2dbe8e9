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

// Figures of the case flood. Machines, traffic, timeouts and replicas are those of the model pool of
// the site salish-shuffle.
const (
	floodGateways  = 4
	floodReplicas  = 12
	floodMemory    = 284 // limits.memory_mb
	floodClients   = 33
	floodPerSecond = 76
	floodDeadline  = 5 * time.Second
	floodLength    = 34 * time.Second
	// floodFirst is the time to the first event: 2,890 tokens of a prompt at 56.9 a millisecond, and 13 ms.
	floodFirst = 60 * time.Millisecond
	// floodShare of the replicas spoil one answer in floodEvery (3 in 100), in windows of
	// floodWindow that begin every floodPeriod: the dose of garble in the site's list of troubles.
	floodShare  = 0.6
	floodEvery  = 33
	floodWindow = 5 * time.Second
	floodPeriod = 8 * time.Second
	// floodRate is the speed of a spoiled answer in bytes per second. It is below half of the link of
	// a gateway's machine (1,000 Mbit/s).
	floodRate  = 50_000_000
	floodBytes = 300_000_000
	// restartDelay is the time after which the platform starts an ended process again.
	restartDelay = 500 * time.Millisecond
	// contact is contact_ms: requests that a gateway takes sooner after a start are left out.
	contact = 3 * time.Second
	// lostTolerated is the number of lost requests up to which LOST holds.
	lostTolerated = 3
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
	passed *passedOn
}

// passedOn records the requests that sound replicas got.
type passedOn struct {
	mu  sync.Mutex
	ids map[string]string
}

func (p *passedOn) add(id, replica string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ids[id] = replica
}

// to returns the sound replica that got the request; empty if none did.
func (p *passedOn) to(id string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ids[id]
}

func newStreamReplica(l *lab, id string, g *garbling, passed *passedOn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	r := &streamReplica{l: l, id: id, ln: ln, garble: g, passed: passed}
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
		`{"service":"judge-model","address":%q,"zone":"a","version":"1","slots":64,"state":"ready","cold_remaining_ms":0,"call_seq":0,"born":%d}`,
		ln.Addr().String(), time.Now().UnixMilli())))
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
		if r.garble == nil {
			r.passed.add(id, r.id)
		}
		if r.garble != nil && r.garble.spoils() {
			r.l.note("replica %s answers %s with bytes that are not an answer", r.id, id)
			r.l.note("replica %s sent %d such bytes for %s", r.id, flood(c), id)
			return
		}
		time.Sleep(floodFirst)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Gladegauge-Attempt-Id: %s\r\nX-Gladegauge-Replica-Seal: seal-%s\r\nX-Gladegauge-Replica-Load: 1,0,64\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, r.id)
		for i := range 10 {
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

// flooded sends streams, on connections that clients keep, to a service of which some replicas spoil
// some answers. It reports whether LOST held: no more than three requests from kept connections were
// passed on to sound replicas and then got no answer, as their connection closed.
func flooded(l *lab) bool {
	l.store.PutConfig(floodConfig())
	g := &garbling{}
	passed := &passedOn{ids: make(map[string]string)}
	for i := range floodReplicas {
		var garble *garbling
		if float64(i+1) <= floodShare*floodReplicas {
			garble = g
		}
		newStreamReplica(l, fmt.Sprintf("i-%d", i+1), garble, passed)
	}
	gateways := l.newGateways(floodGateways)
	for _, p := range gateways {
		p.memoryMB = floodMemory
		p.start(true)
	}
	for _, p := range gateways {
		p.awaitReady()
	}
	time.Sleep(contact)
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
	t := &tally{l: l, passed: passed, answers: make(map[string]int)}
	for i := range floodClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			t.client(i, gateways, until)
		}()
	}
	wg.Wait()
	for a, n := range t.answers {
		l.note("clients got %d times: %s", n, a)
	}
	l.note("%d answers of faulty replicas in the windows, %d of them spoiled", g.answers.Load(), g.spoiled.Load())
	for i, p := range gateways {
		l.note("%s: at most %d bytes, ended on its own %d times", p.name, peaks[i], ends[i])
	}
	l.note("%d requests from kept connections were passed on to sound replicas by machines in touch and got no answer (%d more within %v of a start); LOST tolerates %d",
		t.lost, t.lostAfterStart, contact, lostTolerated)
	return t.lost <= lostTolerated
}

// tally counts the answers that clients got.
type tally struct {
	l      *lab
	passed *passedOn

	mu             sync.Mutex
	answers        map[string]int
	lost           int
	lostAfterStart int
}

// client sends one stream after the other on a connection that it keeps, and opens another one, to the
// next gateway that takes it, when that one is closed.
func (t *tally) client(n int, gateways []*process, until time.Time) {
	var c net.Conn
	var br *bufio.Reader
	var p *process
	kept := false
	every := time.Second * floodClients / floodPerSecond
	time.Sleep(time.Duration(n) * every / floodClients)
	for k := 0; time.Now().Before(until); k++ {
		next := time.Now().Add(every)
		for i := 0; c == nil && i < len(gateways); i++ {
			p, kept = gateways[(n+k+i)%len(gateways)], false
			if conn, err := net.DialTimeout("tcp", p.callers, time.Second); err == nil {
				c, br = conn, bufio.NewReader(conn)
			}
		}
		if c == nil {
			t.count("no connection")
			time.Sleep(time.Until(next))
			continue
		}
		id := fmt.Sprintf("a%02d-%04d", n, k)
		up := p.uptime()
		a, open := streamCall(c, br, id)
		t.count(a)
		if a == noAnswer && kept && t.passed.to(id) != "" {
			t.lose(id, p, up)
		}
		kept = true
		if !open {
			_ = c.Close()
			c = nil
		}
		time.Sleep(time.Until(next))
	}
	if c != nil {
		_ = c.Close()
	}
}

func (t *tally) count(a string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers[a]++
}

// lose counts a request that was passed on to a sound replica and got no answer.
func (t *tally) lose(id string, p *process, up time.Duration) {
	t.l.note("LOST: %s from a kept connection to %s (up for %v) was passed on to the sound replica %s, and the connection closed with no answer",
		id, p.name, up.Round(time.Millisecond), t.passed.to(id))
	t.mu.Lock()
	defer t.mu.Unlock()
	if up < contact {
		t.lostAfterStart++
		return
	}
	t.lost++
}

// noAnswer means that the connection was closed before any byte of an answer, and before the deadline.
const noAnswer = "a closed connection with no answer"

// streamCall sends one request for a stream and returns its answer, and whether the connection stays
// open.
func streamCall(c net.Conn, br *bufio.Reader, id string) (string, bool) {
	deadline := time.Now().Add(floodDeadline)
	_ = c.SetDeadline(deadline)
	fmt.Fprintf(c, "POST /ruling/1 HTTP/1.1\r\nHost: judges.example\r\nX-Gladegauge-Attempt-Id: %s\r\nX-Gladegauge-Deadline-Ms: %d\r\nX-Gladegauge-Key: key-1\r\n"+
		"X-Gladegauge-Model: m\r\nX-Gladegauge-Token-Counts: 1460,80\r\nContent-Length: 4\r\n\r\nask\n", id, floodDeadline.Milliseconds())
	if _, err := br.Peek(1); err != nil {
		if !time.Now().Before(deadline) {
			return "nothing before the deadline", false
		}
		return noAnswer, false
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return "an answer that broke off in its head", false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	switch {
	case err != nil:
		return "a stream that broke off", false
	case resp.StatusCode != http.StatusOK:
		return resp.Status, !resp.Close
	default:
		return "whole stream", !resp.Close
	}
}
