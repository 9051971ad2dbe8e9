//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case foreign. Machines, traffic, timeouts and replicas are those of the service
// players-app of the site salish-shuffle.
const (
	foreignGateways = 4
	foreignReplicas = 3
	foreignWork     = 30 * time.Millisecond
	foreignDeadline = time.Second
	foreignLength   = 30 * time.Second
	// Of 27 requests a second, 19 are registrations, which may not be repeated.
	foreignPerSecond     = 27
	foreignRegistrations = 19
	// DENIED tolerates deniedSlack requests and one in deniedPart of all.
	deniedSlack = 5
	deniedPart  = 500
)

// newAppReplica starts a sound replica of players-app.
func newAppReplica(l *lab, id string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	l.Cleanup(func() { _ = ln.Close() })
	l.store.Put("servers/"+id, []byte(fmt.Sprintf(
		`{"service":"players-app","address":%q,"zone":"a","version":"1","slots":6,"state":"ready","cold_remaining_ms":0,"call_seq":0,"born":%d}`,
		ln.Addr().String(), time.Now().UnixMilli())))
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveApp(c, id)
		}
	}()
}

func serveApp(c net.Conn, rid string) {
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
		if req.Header.Get("X-Gladegauge-Expect-Replica") != rid {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Gladegauge-Attempt-Id: %s\r\nX-Gladegauge-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		time.Sleep(foreignWork)
		body := strings.Repeat("r", 800)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Gladegauge-Attempt-Id: %s\r\nX-Gladegauge-Replica-Seal: seal-%s\r\nX-Gladegauge-Replica-Load: 1,0,6\r\nContent-Length: %d\r\n\r\n%s", id, rid, len(body), body)
	}
}

// newWebServer starts a web server that is no replica. It knows no path but its own and answers 404.
func newWebServer(l *lab) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		l.note("the web server got %s %s with %d bytes, for replica %q, of tenant %q, and answers 404",
			r.Method, r.RequestURI, len(body), r.Header.Get("X-Gladegauge-Expect-Replica"), r.Header.Get("X-Gladegauge-Tenant"))
		http.NotFound(w, r)
	})}
	go func() { _ = server.Serve(ln) }()
	l.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String()
}

// foreignEntry sends requests while another writer has put an entry into the store that lacks fields of a
// replica's entry. It reports whether no more requests ended with a 4xx than DENIED tolerates.
func foreignEntry(l *lab) bool {
	l.store.PutConfig(foreignConfig())
	for i := range foreignReplicas {
		newAppReplica(l, fmt.Sprintf("i-%d", i+1))
	}
	if l.trouble {
		entry := fmt.Sprintf(`{"service":"players-app","address":%q,"zone":"a","slots":1,"state":"ready"}`, newWebServer(l))
		l.store.Put("servers/probe-1", []byte(entry))
		l.note("another writer has put servers/probe-1: %s", entry)
	}
	gateways := l.newGateways(foreignGateways)
	for _, p := range gateways {
		p.start(true)
	}
	for _, p := range gateways {
		p.awaitReady()
	}
	time.Sleep(4 * time.Second) // The machines are in touch.
	answers := make(map[string]int)
	denied, total := 0, 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	t := time.NewTicker(time.Second / foreignPerSecond)
	defer t.Stop()
	for until := time.Now().Add(foreignLength); time.Now().Before(until); total++ {
		<-t.C
		id, p := fmt.Sprintf("a%05d", total), gateways[total%len(gateways)]
		registration := total%foreignPerSecond < foreignRegistrations
		wg.Add(1)
		go func() {
			defer wg.Done()
			status := appCall(p.callers, id, registration)
			mu.Lock()
			defer mu.Unlock()
			answers[status]++
			if strings.HasPrefix(status, "4") {
				denied++
				l.note("client got for %s (registration %v): %s", id, registration, status)
			}
		}()
	}
	wg.Wait()
	for a, n := range answers {
		l.note("clients got %d times: %s", n, a)
	}
	limit := deniedSlack + total/deniedPart
	l.note("%d of %d proper requests ended with a 4xx that no replica gave; DENIED tolerates %d", denied, total, limit)
	return denied <= limit
}

// appCall sends one request on a new connection and returns the status and whose answer it is.
func appCall(address, id string, registration bool) string {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "no connection"
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(foreignDeadline + time.Second))
	line, body := "GET /standings/7", ""
	if registration {
		line, body = "POST /registration/7", "Content-Length: 2\r\n"
	}
	fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: players.example\r\nX-Gladegauge-Attempt-Id: %s\r\nX-Gladegauge-Deadline-Ms: %d\r\nX-Gladegauge-Key: key-1\r\n%s\r\n", line, id, foreignDeadline.Milliseconds(), body)
	if registration {
		fmt.Fprint(c, "me")
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer"
	}
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return resp.Status + " cut"
	}
	if resp.Header.Get("X-Gladegauge-Replica-Seal") == "" {
		return resp.Status + " without a seal"
	}
	return resp.Status + " with a seal"
}
