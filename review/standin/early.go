//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes and times of the case early-answer.
const (
	// earlyBody is the largest body of the site's first kind of request, ruling-lookup, and
	// earlyAnswerSize is within the size of the site's plain answers.
	earlyBody       = 110_000
	earlyAnswerSize = 4_000
	// A client sends a body in pieces, as over a link of 4 Mbit/s.
	earlyPiece = 10_000
	earlyPause = 20 * time.Millisecond
	// earlyLater is when a replica reads on that has answered early.
	earlyLater = 30 * time.Millisecond
	// One of two replicas answers one long request in earlyEvery early, for earlyLength: the largest
	// dose of garble in the site file (x = 0.05, for_s = 5, share .5).
	earlyEvery   = 20
	earlyLength  = 5 * time.Second
	earlyClients = 16
)

// bodyOf returns a body whose every 16 bytes name their request and offset.
func bodyOf(id string, size int) []byte {
	var b bytes.Buffer
	for b.Len() < size {
		fmt.Fprintf(&b, "%-7.7s%08d\n", id, b.Len())
	}
	return b.Bytes()[:size]
}

// earlyReplica answers a request once it has read it. With early set, it answers some long requests
// before it has read them, keeps the connection and reads on later.
type earlyReplica struct {
	l        *lab
	id       string
	ln       net.Listener
	early    bool
	requests atomic.Int64

	mu  sync.Mutex
	got map[string][]byte
	end map[string]string
	wg  sync.WaitGroup
}

func newEarlyReplica(l *lab, id string, early bool) *earlyReplica {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	r := &earlyReplica{l: l, id: id, ln: ln, early: early, got: make(map[string][]byte), end: make(map[string]string)}
	l.Cleanup(func() { _ = ln.Close() })
	l.store.Put("servers/"+id, []byte(fmt.Sprintf(
		`{"service":"players-app","address":%q,"zone":"a","version":"1","slots":64,"state":"ready","cold_remaining_ms":0,"call_seq":0,"born":%d}`,
		ln.Addr().String(), time.Now().UnixMilli())))
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r
}

func (r *earlyReplica) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if expect := req.Header.Get("X-Gladegauge-Expect-Replica"); expect != "" && expect != r.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Gladegauge-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			return
		}
		r.wg.Add(1)
		ok := r.handle(c, req)
		r.wg.Done()
		if !ok {
			return
		}
	}
}

// handle answers one request and reads its body.
func (r *earlyReplica) handle(c net.Conn, req *http.Request) bool {
	id := req.Header.Get("X-Gladegauge-Attempt-Id")
	stream := strings.HasPrefix(req.URL.Path, "/ask/")
	early := r.early && r.requests.Add(1)%earlyEvery == 3
	if early {
		r.answer(c, id, stream)
		r.l.note("replica answered %s before it read the body (length %d, %v)", id, req.ContentLength, req.TransferEncoding)
		time.Sleep(earlyLater)
	}
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	body, err := io.ReadAll(req.Body)
	_ = c.SetReadDeadline(time.Time{})
	end := "whole"
	if err != nil {
		end = err.Error()
	}
	r.mu.Lock()
	r.got[id], r.end[id] = body, end
	r.mu.Unlock()
	if !early && err == nil {
		r.answer(c, id, stream)
	}
	if stream && err == nil {
		r.endStream(c)
	}
	return err == nil
}

// answer sends a whole answer, or the head and the first event of a stream.
func (r *earlyReplica) answer(c net.Conn, id string, stream bool) {
	if stream {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Gladegauge-Attempt-Id: %s\r\nX-Gladegauge-Replica-Seal: seal-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, r.id)
		r.event(c, 1)
		return
	}
	body := strings.Repeat("a", earlyAnswerSize)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Gladegauge-Attempt-Id: %s\r\nX-Gladegauge-Replica-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n%s", id, r.id, len(body), body)
}

// event sends one event of a stream.
func (r *earlyReplica) event(c net.Conn, n int) {
	text := fmt.Sprintf("id: %d\ndata: token\n\n", n)
	fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
}

// endStream sends the rest of a stream.
func (r *earlyReplica) endStream(c net.Conn) {
	for n := 2; n <= 10; n++ {
		r.event(c, n)
	}
	fmt.Fprint(c, "0\r\n\r\n")
}

// earlyAnswer sends long requests to two replicas, one of which answers some of them before it has
// read them. It reports whether all that the replicas got as bodies were the clients' bytes.
func earlyAnswer(l *lab) bool {
	l.store.PutConfig(earlyConfig())
	replicas := []*earlyReplica{newEarlyReplica(l, "i-1", l.trouble), newEarlyReplica(l, "i-2", false)}
	g := l.newGateways(1)[0]
	g.start(true)
	g.awaitReady()
	until := time.Now().Add(earlyLength)
	var wg sync.WaitGroup
	for i := range earlyClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Now().Before(until); n++ {
				switch (i + n) % 3 {
				case 0:
					sendSlowly(l, g.callers, "/up/1", fmt.Sprintf("l%02d-%03d", i, n), false)
				case 1:
					sendSlowly(l, g.callers, "/up/1", fmt.Sprintf("c%02d-%03d", i, n), true)
				default:
					sendSlowly(l, g.callers, "/ask/1", fmt.Sprintf("s%02d-%03d", i, n), true)
				}
			}
		}()
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	held := true
	for _, r := range replicas {
		r.wg.Wait()
		held = r.check() && held
	}
	return held
}

// check compares what the replica got as bodies with what the clients sent. It reports whether there
// were no other bytes.
func (r *earlyReplica) check() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.got) == 0 {
		panic("no request reached replica " + r.id)
	}
	whole, other := 0, 0
	for id, got := range r.got {
		want := bodyOf(id, earlyBody)
		n := 0
		for n < len(got) && n < len(want) && got[n] == want[n] {
			n++
		}
		switch {
		case n == len(got) && n == len(want):
			whole++
		case n == len(got):
			r.l.note("replica %s got for %s: the first %d of the client's %d bytes, then %s", r.id, id, n, len(want), r.end[id])
		default:
			other++
			r.l.note("replica %s got for %s: %d bytes (end of the request: %s); %d are the client's first ones, but then come other bytes: %q where %q is due",
				r.id, id, len(got), r.end[id], n, got[n:min(n+16, len(got))], want[n:min(n+16, len(want))])
		}
	}
	r.l.note("replica %s got %d requests: %d bodies as sent, %d with other bytes", r.id, len(r.got), whole, other)
	return other == 0
}

// sendSlowly sends one long request in pieces, as over a link of 4 Mbit/s, and reads its answer.
func sendSlowly(l *lab, address, path, id string, chunked bool) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		panic(err)
	}
	defer func() { _ = c.Close() }()
	body := bodyOf(id, earlyBody)
	answered := make(chan string, 1)
	go func() {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			answered <- err.Error()
			return
		}
		data, err := io.ReadAll(resp.Body)
		answered <- fmt.Sprintf("%s with %d bytes, %v", resp.Status, len(data), err)
	}()
	framing := "Content-Length: " + strconv.Itoa(len(body))
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: players.example\r\nX-Gladegauge-Attempt-Id: %s\r\nX-Gladegauge-Deadline-Ms: 5000\r\nX-Gladegauge-Key: key-1\r\n%s\r\n\r\n", path, id, framing)
	for rest := body; len(rest) > 0; {
		piece := rest[:min(earlyPiece, len(rest))]
		rest = rest[len(piece):]
		if chunked {
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece)
		} else {
			_, err = c.Write(piece)
		}
		if err != nil {
			l.note("client could not send all of %s: %v", id, err)
			break
		}
		time.Sleep(earlyPause)
	}
	if chunked && err == nil {
		_, _ = fmt.Fprint(c, "0\r\n\r\n")
	}
	select {
	case a := <-answered:
		l.note("client sent %s to %s (%s) and got %s", id, path, framing, a)
	case <-time.After(6 * time.Second):
		l.note("client got nothing for %s", id)
	}
}
