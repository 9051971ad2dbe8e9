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
	"time"
)

// Sizes and times of the case early-answer. The body is the largest one of the site's first kind of
// request, and the answer is within the size of its plain answers.
const (
	earlyBody     = 110_000
	earlyAnswers  = 4_000
	earlyPiece    = 10_000
	earlyPause    = 20 * time.Millisecond
	earlyLater    = 30 * time.Millisecond
	earlyRequests = 10
)

// bodyOf returns a body whose every 16 bytes name their request and offset.
func bodyOf(id string, size int) []byte {
	var b bytes.Buffer
	for b.Len() < size {
		fmt.Fprintf(&b, "%-7.7s%08d\n", id, b.Len())
	}
	return b.Bytes()[:size]
}

// earlyReplica answers long requests before it has read them, keeps the connection and reads on
// later. Without the disruption it answers once it has read the request.
type earlyReplica struct {
	l  *lab
	id string
	ln net.Listener

	mu  sync.Mutex
	got map[string][]byte
	end map[string]string
	wg  sync.WaitGroup
}

func newEarlyReplica(l *lab, id string) *earlyReplica {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	r := &earlyReplica{l: l, id: id, ln: ln, got: make(map[string][]byte), end: make(map[string]string)}
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
	if r.l.trouble {
		r.answer(c, id)
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
	if !r.l.trouble && err == nil {
		r.answer(c, id)
		r.l.note("replica answered %s after it read the body", id)
	}
	return err == nil
}

func (r *earlyReplica) answer(c net.Conn, id string) {
	body := strings.Repeat("a", earlyAnswers)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Gladegauge-Attempt-Id: %s\r\nX-Gladegauge-Replica-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n%s", id, r.id, len(body), body)
}

// earlyAnswer sends long requests to a replica that answers before it has read them. It reports
// whether all that the replica got as bodies were the clients' bytes.
func earlyAnswer(l *lab) bool {
	l.store.PutConfig(earlyConfig())
	r := newEarlyReplica(l, "i-early")
	l.store.Put("servers/"+r.id, []byte(fmt.Sprintf(`{"service":"players-app","address":%q,"zone":"a","version":"1","slots":6,"state":"ready","cold_remaining_ms":0,"call_seq":0,"born":%d}`, r.ln.Addr().String(), time.Now().UnixMilli())))
	g := l.newGateways(1)[0]
	g.start(true)
	g.awaitReady()
	for i := range earlyRequests {
		sendSlowly(l, g.callers, fmt.Sprintf("len-%03d", i), false)
		sendSlowly(l, g.callers, fmt.Sprintf("chk-%03d", i), true)
	}
	time.Sleep(500 * time.Millisecond)
	r.wg.Wait()
	held := true
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, got := range r.got {
		want := bodyOf(id, earlyBody)
		n := 0
		for n < len(got) && n < len(want) && got[n] == want[n] {
			n++
		}
		switch {
		case n == len(got) && n == len(want):
			l.note("replica got %s: the client's %d bytes", id, n)
		case n == len(got):
			l.note("replica got %s: the first %d of the client's %d bytes, then %s", id, n, len(want), r.end[id])
		default:
			held = false
			l.note("replica got %s: %d bytes (%s); %d are the client's first ones, but then come other bytes: %q where %q is due",
				id, len(got), r.end[id], n, got[n:min(n+16, len(got))], want[n:min(n+16, len(want))])
		}
	}
	if len(r.got) == 0 {
		panic("no request reached the replica")
	}
	return held
}

// sendSlowly sends one long request in pieces, as over a link of 4 Mbit/s, and reads its answer.
func sendSlowly(l *lab, address, id string, chunked bool) {
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
	fmt.Fprintf(c, "POST /up/1 HTTP/1.1\r\nHost: players.example\r\nX-Gladegauge-Attempt-Id: %s\r\nX-Gladegauge-Deadline-Ms: 5000\r\nX-Gladegauge-Key: key-1\r\n%s\r\n\r\n", id, framing)
	l.note("client sends %s (%s)", id, framing)
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
		l.note("client got for %s: %s", id, a)
	case <-time.After(6 * time.Second):
		l.note("client got nothing for %s", id)
	}
}
