//go:build review

package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["fuzz"] = fuzz }

func pattern(id string, n int) []byte {
	h := sha256.Sum256([]byte(id))
	s := hex.EncodeToString(h[:])
	return bytes.Repeat([]byte(s), n/len(s)+1)[:n]
}

type truth struct {
	mu    sync.Mutex
	runs  map[string][]string // id -> replica/status/len whole?
	when  map[string][]time.Time
	wrong []string
}

// fuzzReplica is in process.
type fuzzReplica struct {
	id      string
	t       *truth
	l       net.Listener
	trouble bool
}

func (f *fuzzReplica) serve() {
	for {
		c, err := f.l.Accept()
		if err != nil {
			return
		}
		go f.conn(c)
	}
}

func (f *fuzzReplica) conn(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := req.Header.Get(headerID)
		if e := req.Header.Get(headerExpect); e != f.id {
			io.WriteString(c, "HTTP/1.1 421 X\r\n"+headerID+": "+id+"\r\n"+headerNotRun+": 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		roll := rand.IntN(100)
		if !f.trouble {
			roll = 50 + rand.IntN(50)
		}
		early := roll < 4
		var body []byte
		if !early {
			body, err = io.ReadAll(req.Body)
			if err != nil {
				return
			}
			want, _ := strconv.Atoi(req.Header.Get("X-Body"))
			if !bytes.Equal(body, pattern(id+"b", want)) || req.Header.Get("X-Method") != req.Method || req.Header.Get("X-Uri") != req.RequestURI || req.Header.Get("X-Gladegauge-Tenant") != "tenant" {
				f.t.mu.Lock()
				f.t.wrong = append(f.t.wrong, fmt.Sprintf("UNASKED %s got %d bytes want %d %s %s", id, len(body), want, req.Method, req.RequestURI))
				f.t.mu.Unlock()
			}
		}
		if roll >= 4 && roll < 8 {
			io.WriteString(c, "HTTP/1.1 503 X\r\n"+headerID+": "+id+"\r\n"+headerNotRun+": 1\r\nContent-Length: 3\r\n\r\nno\n")
			continue
		}
		status := []int{200, 200, 200, 200, 201, 204, 304, 404, 409, 500}[rand.IntN(10)]
		n := []int{0, 10, 5000, 65535, 65536, 65537, 200000}[rand.IntN(7)]
		if status == 204 || status == 304 {
			n = 0
		}
		f.t.mu.Lock()
		f.t.runs[id] = append(f.t.runs[id], fmt.Sprintf("%s %d %d", f.id, status, n))
		f.t.when[id] = append(f.t.when[id], time.Now())
		if len(f.t.runs[id]) > 1 && strings.HasPrefix(req.RequestURI, "/write/") {
			f.t.wrong = append(f.t.wrong, fmt.Sprintf("TWICE %s %v", id, f.t.runs[id]))
		}
		f.t.mu.Unlock()
		time.Sleep(rand.N(20 * time.Millisecond))
		if !f.answer(c, id, status, n, roll, req.Method) {
			return
		}
		if early {
			io.Copy(io.Discard, req.Body)
		}
	}
}

func (f *fuzzReplica) answer(c net.Conn, id string, status, n, roll int, method string) bool {
	w := bufio.NewWriterSize(c, 3000)
	data := pattern(id, n)
	head := func(id string, status int) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s: seal-%s\r\n%s: 1,0,6\r\n", status, headerID, id, headerSeal, f.id, headerLoad)
	}
	switch {
	case roll >= 8 && roll < 10: // silent until closed
		time.Sleep(1500 * time.Millisecond)
		return false
	case roll >= 10 && roll < 12:
		io.WriteString(c, "\x00garbage\r\n\r\n")
		return false
	case roll >= 12 && roll < 13: // endless head
		io.WriteString(c, "HTTP/1.1 200 OK\r\nX: ")
		for range 10000 {
			if _, err := c.Write(bytes.Repeat([]byte("y"), 10000)); err != nil {
				return false
			}
		}
		return false
	case roll >= 13 && roll < 14: // endless chunked body, no seal
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for range 10000 {
			if _, err := c.Write([]byte("2710\r\n" + strings.Repeat("y", 10000) + "\r\n")); err != nil {
				return false
			}
		}
		return false
	case roll >= 14 && roll < 16:
		io.WriteString(w, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
	case roll >= 16 && roll < 18: // answer to another first
		io.WriteString(w, head("other", 200)+"Content-Length: 5\r\n\r\nother")
	}
	cut := roll >= 18 && roll < 24
	rst := roll >= 21 && roll < 24
	extra := roll >= 24 && roll < 27
	closing := roll >= 27 && roll < 30
	framing := rand.IntN(3)
	if status == 204 || status == 304 {
		framing = 3
	}
	h := head(id, status)
	if closing {
		h += "Connection: close\r\n"
	}
	end := len(data)
	if cut {
		end = len(data) / 2
		if framing == 2 {
			framing = 0
		}
	}
	switch framing {
	case 0:
		io.WriteString(w, h+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(data)))
		w.Write(data[:end])
		if cut && len(data) == 0 {
			cut = false
		}
	case 1:
		io.WriteString(w, h+"Transfer-Encoding: chunked\r\n\r\n")
		for at := 0; at < end; {
			k := min(1+rand.IntN(9000), end-at)
			fmt.Fprintf(w, "%x\r\n", k)
			w.Write(data[at : at+k])
			io.WriteString(w, "\r\n")
			at += k
		}
		if !cut {
			io.WriteString(w, "0\r\n\r\n")
		}
	case 2:
		io.WriteString(w, h+"\r\n")
		w.Write(data)
		closing = true
	case 3:
		io.WriteString(w, h+"\r\n")
	}
	if w.Flush() != nil {
		return false
	}
	if cut {
		if rst {
			c.(*net.TCPConn).SetLinger(0)
		}
		return false
	}
	if closing {
		return false
	}
	if extra {
		go func() {
			time.Sleep(rand.N(10 * time.Millisecond))
			io.WriteString(c, head(id, 200)+"Content-Length: 5\r\n\r\nextra")
		}()
	}
	return true
}

func fuzz(r *record, dir string, trouble bool) bool {
	s := newStore()
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{"name": name, "host": "app.example", "path_prefix": prefix, "kind": kind, "service": "app", "timeout_ms": 1500, "target_latency_ms": 150, "priority": 1, "max_attempts": attempts, "public": false}
	}
	cfg := plainConfig(1, "key-1")
	cfg["routes"] = []map[string]any{route("a", "/read/", "idempotent", 3), route("b", "/write/", "non_idempotent", 3)}
	s.put("op/config", cfg)
	t := &truth{runs: map[string][]string{}, when: map[string][]time.Time{}}
	for i := range 3 {
		f := &fuzzReplica{id: fmt.Sprintf("i-%d", i), t: t, l: listen(), trouble: trouble}
		go f.serve()
		s.put("servers/"+f.id, map[string]any{"service": "app", "address": f.l.Addr().String(), "zone": zoneName(i), "version": "1", "slots": 16, "state": "ready", "cold_remaining_ms": 0, "call_seq": 0, "born": time.Now().UnixMilli()})
	}
	list := newGateways(dir, 1, s.address)
	for _, g := range list {
		g.start()
	}
	awaitReady(list)
	secs, _ := strconv.Atoi(os.Getenv("SECS"))
	if secs == 0 {
		secs = 30
	}
	end := time.Now().Add(time.Duration(secs) * time.Second)
	var mu sync.Mutex
	var problems []string
	promised := map[string]int{}
	counts := map[string]int{}
	problem := func(format string, a ...any) {
		mu.Lock()
		defer mu.Unlock()
		problems = append(problems, fmt.Sprintf(format, a...))
	}
	var group sync.WaitGroup
	for range 12 {
		group.Add(1)
		go func() {
			defer group.Done()
			var c net.Conn
			var br *bufio.Reader
			defer func() {
				if c != nil {
					c.Close()
				}
			}()
			for time.Now().Before(end) {
				if c == nil {
					var err error
					c, err = net.DialTimeout("tcp", list[0].callers, time.Second)
					if err != nil {
						problem("dial: %v", err)
						time.Sleep(100 * time.Millisecond)
						continue
					}
					br = bufio.NewReader(c)
				}
				id := newID()
				method := []string{"GET", "POST", "PUT", "DELETE", "HEAD"}[rand.IntN(5)]
				kind := []string{"read", "write"}[rand.IntN(2)]
				uri := "/" + kind + "/" + []string{"x", "a//b", "a%2fb", "a?q=1?2&c=%zz", "x;y|z", "é", "a?", "../x", "'(!)*"}[rand.IntN(9)]
				size := 0
				if method != "GET" && method != "HEAD" {
					size = []int{0, 100, 4096, 5000, 65536, 65537, 150000}[rand.IntN(7)]
				}
				body := pattern(id+"b", size)
				var b bytes.Buffer
				fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: app.example\r\n%s: %s\r\nX-Gladegauge-Key: key-1\r\nX-Gladegauge-Deadline-Ms: 1000\r\nX-Body: %d\r\nX-Method: %s\r\nX-Uri: %s\r\nX-Gladegauge-Tenant: forged\r\n", method, uri, headerID, id, size, method, uri)
				expect := size > 0 && rand.IntN(8) == 0
				if expect {
					b.WriteString("Expect: 100-continue\r\n")
				}
				if size > 0 && rand.IntN(2) == 0 {
					b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
					for at := 0; at < size; {
						k := min(1+rand.IntN(20000), size-at)
						fmt.Fprintf(&b, "%x\r\n", k)
						b.Write(body[at : at+k])
						b.WriteString("\r\n")
						at += k
					}
					b.WriteString("0\r\n\r\n")
				} else if size > 0 || method == "POST" {
					fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", size)
					b.Write(body)
				} else {
					b.WriteString("\r\n")
				}
				at := time.Now()
				leave := rand.IntN(30) == 0
				done := make(chan struct{})
				go func(c net.Conn) {
					defer close(done)
					data := b.Bytes()
					for len(data) > 0 {
						k := min(len(data), 1+rand.IntN(60000))
						if _, err := c.Write(data[:k]); err != nil {
							return
						}
						data = data[k:]
						if rand.IntN(6) == 0 {
							time.Sleep(rand.N(10 * time.Millisecond))
						}
					}
				}(c)
				if leave {
					time.Sleep(rand.N(20 * time.Millisecond))
					c.Close()
					c = nil
					<-done
					continue
				}
				c.SetReadDeadline(time.Now().Add(3 * time.Second))
				var resp *http.Response
				var err error
				for {
					resp, err = http.ReadResponse(br, &http.Request{Method: method})
					if err != nil || resp.StatusCode >= 200 {
						break
					}
				}
				if err != nil {
					if time.Since(at) > 2500*time.Millisecond {
						problem("HANG %s %s %s size %d: %v after %v", id, method, uri, size, err, time.Since(at))
					}
					mu.Lock()
					counts["no answer "+kind]++
					mu.Unlock()
					c.Close()
					c = nil
					<-done
					continue
				}
				data, err := io.ReadAll(resp.Body)
				c2 := resp.Close || err != nil
				if resp.Header.Get(headerID) != id {
					problem("MIXED id %s got %s status %d", id, resp.Header.Get(headerID), resp.StatusCode)
				}
				seal := resp.Header.Get(headerSeal)
				mu.Lock()
				counts[fmt.Sprint(resp.StatusCode, " sealed ", seal != "", " cut ", err != nil)]++
				mu.Unlock()
				if resp.StatusCode < 300 && seal == "" {
					problem("MIXED no seal %s %d", id, resp.StatusCode)
				}
				if seal != "" && err == nil {
					t.mu.Lock()
					runs := append([]string(nil), t.runs[id]...)
					t.mu.Unlock()
					ok := false
					for _, run := range runs {
						var rep string
						var st, n int
						fmt.Sscanf(run, "%s %d %d", &rep, &st, &n)
						if "seal-"+rep == seal && st == resp.StatusCode && (method == "HEAD" || bytes.Equal(data, pattern(id, n))) {
							ok = true
						}
					}
					if !ok {
						problem("MIXED %s %s %d %d bytes, runs %v", id, method, resp.StatusCode, len(data), runs)
					}
				}
				switch resp.StatusCode {
				case 503, 429, 408, 421:
					if seal == "" {
						mu.Lock()
						if kind == "write" {
							promised[id] = resp.StatusCode
						}
						mu.Unlock()
					}
				case 400, 401, 403, 413, 431:
					problem("DENIED %s %s %s %d size %d %q expect %v", id, method, uri, resp.StatusCode, size, data, expect)
				}
				if resp.StatusCode == 404 && seal == "" {
					problem("DENIED404 %s %s", method, uri)
				}
				if time.Since(at) > 1800*time.Millisecond {
					problem("LATE %s %v", id, time.Since(at))
				}
				<-done
				if c2 {
					c.Close()
					c = nil
				}
			}
		}()
	}
	group.Wait()
	time.Sleep(500 * time.Millisecond)
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, st := range promised {
		if len(t.runs[id]) > 0 {
			problem("REFUSED %s got %d yet ran %v", id, st, t.runs[id])
		}
	}
	for id, runs := range t.runs {
		if len(runs) > 1 {
			counts["ran twice or more"]++
			_ = id
		}
	}
	problems = append(problems, t.wrong...)
	for k, v := range counts {
		r.line("%s: %d", k, v)
	}
	kinds := map[string]int{}
	for _, p := range problems {
		kinds[strings.Fields(p)[0]]++
		r.line("%s", p)
	}
	r.verdict("%v", kinds)
	select {
	case <-list[0].exited:
		r.verdict("gateway ended")
	default:
	}
	return len(problems) > 0
}
