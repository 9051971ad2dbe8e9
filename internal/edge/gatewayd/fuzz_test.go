package gatewayd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/eventstream"
	"github.com/gladegauge/gladegauge/internal/core/responsehead"
	"github.com/gladegauge/gladegauge/platform/standin"
)

const (
	// fuzzSilence is the time without bytes from the gateway after which the scripted caller
	// leaves.
	fuzzSilence = 30 * time.Millisecond
	// fuzzGoroutines is the number of goroutines, of kept connections among others, by which
	// the count may differ between two inputs.
	fuzzGoroutines = 40
)

// fuzzEnv is a gateway between a scripted caller and a scripted upstream. A sound caller uses
// the same upstream.
type fuzzEnv struct {
	*testEnv
	// panics is what net/http logs, such as panics of handlers.
	panics logBuffer
	// goroutines is their number before the first input.
	goroutines int

	inputs int
	mu     sync.Mutex
	reply  standin.Reply
	// got are the requests that the upstream got, but for those of the sound caller.
	got []standin.Request
}

func newFuzzEnv(f *testing.F) *fuzzEnv {
	f.Helper()
	w := &fuzzEnv{}
	w.testEnv = newTestEnv(f, 1, func(_ int, r standin.Request) standin.Reply {
		if body, ok := strings.CutPrefix(r.ID, "sound-"); ok {
			return standin.Reply{Body: "answer-" + body}
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.got = append(w.got, r)
		return w.reply
	})
	log.SetOutput(&w.panics)
	f.Cleanup(func() { log.SetOutput(io.Discard) })
	w.callSound(f)
	w.goroutines = runtime.NumGoroutine()
	return w
}

// play sends the bytes to the gateway on one connection and returns everything that it
// receives. The upstream answers each request with the reply.
func (w *fuzzEnv) play(t *testing.T, sent []byte, reply standin.Reply) []byte {
	t.Helper()
	w.mu.Lock()
	w.reply, w.got = reply, nil
	w.mu.Unlock()
	c, err := net.Dial("tcp", w.server.CallersAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetWriteDeadline(time.Now().Add(testTimeout))
	_, _ = c.Write(sent) // The gateway may have closed the connection.
	var received bytes.Buffer
	buf := make([]byte, 32<<10)
	for {
		_ = c.SetReadDeadline(time.Now().Add(fuzzSilence))
		n, err := c.Read(buf)
		received.Write(buf[:n])
		if err != nil {
			return received.Bytes()
		}
	}
}

// callSound makes a request as the sound caller and returns the body that it must get.
func (w *fuzzEnv) callSound(t testing.TB) (a standin.Answer, want string) {
	t.Helper()
	w.inputs++
	name := fmt.Sprintf("%d-%d", w.inputs, time.Now().UnixNano())
	c := standin.NewCaller(t, w.server.CallersAddress())
	defer c.Close()
	a = c.Call(context.Background(), standin.Request{ID: "sound-" + name, Host: "x.example", URI: "/read/1", Key: "key-a", DeadlineMs: 1500})
	return a, "answer-" + name
}

// requests returns the requests that the upstream got from the scripted caller.
func (w *fuzzEnv) requests() []standin.Request {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.got)
}

// FuzzGateway plays any bytes of a caller and any bytes of an upstream. The gateway must not
// panic and keeps no goroutine, no caller gets bytes of an answer to another one or an answer with an
// invalid head, a stream holds nothing but one run, and the upstream gets no request that no caller sent.
func FuzzGateway(f *testing.F) {
	w := newFuzzEnv(f)
	for _, sent := range callerSeeds() {
		f.Add([]byte(sent), []byte(standin.RawAnswer("raw", 200, "Content-Length: 2\r\n", "ok")), true)
	}
	for _, raw := range upstreamSeeds() {
		head := standin.RawHead("/read/1", "x.example", "key-a", 0)
		f.Add([]byte(head+head), []byte(raw), true)
		f.Add([]byte(standin.RawHead("/chat/1", "x.example", "key-a", 2)+"hi"), []byte(raw), false)
	}
	for _, g := range standin.GarbledStreams(1, garbledData) {
		for _, framing := range standin.Framings {
			for _, uri := range []string{"/chat/1", "/note/1"} {
				head := standin.RawHead(uri, "x.example", "key-a", 0)
				f.Add([]byte(head), []byte(g.Answer("raw", framing)), framing != standin.UntilClose)
			}
		}
	}
	for _, h := range slices.Concat(standin.InvalidStatuses(), standin.BlankFieldNames(), standin.InvalidFieldNames()) {
		head := standin.RawHead("/read/1", "x.example", "key-a", 0)
		f.Add([]byte(head), []byte(h.Answer("raw", "text/plain", "other")), false)
	}
	f.Fuzz(func(t *testing.T, sent, raw []byte, open bool) {
		received := w.play(t, sent, standin.Reply{Raw: string(raw), RawOpen: open})
		if hasInvalidHead(raw) && isSealed(received) {
			t.Fatalf("the scripted caller got the answer of an invalid head: %q", received)
		}
		answer, want := w.callSound(t)
		if answer.Status == http.StatusOK && answer.Whole && answer.Body != want {
			t.Fatalf("the sound caller got %q in place of %q", answer.Body, want)
		}
		mayHave := bytes.Contains(raw, []byte("answer-")) || bytes.Contains(sent, []byte("sound-"))
		if !mayHave && bytes.Contains(received, []byte("answer-")) {
			t.Fatalf("the scripted caller got bytes of another's answer: %q", received)
		}
		known := standin.ParseRequests(sent)
		checkStreams(t, known, received)
		for _, got := range w.requests() {
			if !slices.ContainsFunc(known, func(r standin.Request) bool { return isSameRequest(r, got) }) {
				t.Fatalf("the upstream got %s %q with ID %q and body %q, which no caller sent", got.Method, got.URI, got.ID, got.Body)
			}
		}
		if text := w.panics.String(); strings.Contains(text, "panic") {
			t.Fatal(text)
		}
		w.awaitGoroutines(t)
	})
}

// hasInvalidHead reports whether the bytes of an upstream begin with a head that net/http accepts and
// HTTP does not allow.
func hasInvalidHead(raw []byte) bool {
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
	return err == nil && responsehead.Check(resp.StatusCode, resp.Header) != nil
}

// isSealed reports whether the first answer that a caller received is that of an upstream.
func isSealed(received []byte) bool {
	resp, err := readFinal(bufio.NewReader(bytes.NewReader(received)), http.MethodGet)
	return err == nil && standin.Answer{Header: resp.Header}.Sealed()
}

// isSameRequest reports whether the upstream got what the caller sent.
func isSameRequest(sent, got standin.Request) bool {
	return sent.Method == got.Method && sent.URI == got.URI && sent.ID == got.ID && sent.Body == got.Body
}

// checkStreams checks that each stream among the answers to the requests, in their order, holds whole
// events of one run, up to where it was cut.
func checkStreams(t *testing.T, known []standin.Request, received []byte) {
	t.Helper()
	br := bufio.NewReader(bytes.NewReader(received))
	for _, r := range known {
		resp, err := readFinal(br, r.Method)
		if err != nil {
			return
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK && isStream(resp.Header) && asksForStream(r) {
			rest, fault := afterRun(body)
			if fault != eventstream.Sound {
				t.Fatalf("the answer to %s holds bytes of no run (%s): %q in %q", r.URI, fault, rest, body)
			}
			if err == nil && isFramed(resp) && len(rest) > 0 {
				t.Fatalf("the answer to %s ends inside an event: %q in %q", r.URI, rest, body)
			}
		}
		if err != nil {
			return
		}
	}
}

// readFinal reads the next answer that is not an interim one.
func readFinal(br *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil || resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, err
		}
		_ = resp.Body.Close()
	}
}

// asksForStream reports whether the request is for a route with streams.
func asksForStream(r standin.Request) bool {
	return slices.ContainsFunc(routes, func(route standin.Route) bool {
		return route.Kind == "streaming" && strings.HasPrefix(r.URI, route.Prefix)
	})
}

// isFramed reports whether chunks or a length show that the body is whole.
func isFramed(resp *http.Response) bool {
	return len(resp.TransferEncoding) > 0 || resp.ContentLength >= 0
}

// blankLine matches the end of a block of an event stream.
var blankLine = regexp.MustCompile(`(?m)^\r?\n`)

// afterRun returns what follows the events of one run: the part of an event, or a block that cannot
// belong to the run, with its fault.
func afterRun(text []byte) ([]byte, eventstream.Fault) {
	var run eventstream.Run
	for {
		end := blankLine.FindIndex(text)
		if end == nil {
			return text, eventstream.Sound
		}
		block, fault := eventstream.Parse(text[:end[1]])
		if fault == eventstream.Sound && !block.Padding {
			run, fault = run.With(block)
		}
		if fault != eventstream.Sound {
			return text, fault
		}
		text = text[end[1]:]
	}
}

// The check of FuzzGateway finds all bytes that no run made, and none in the events before them.
func TestAfterRun(t *testing.T) {
	for _, g := range standin.GarbledStreams(1, garbledData) {
		t.Run(g.Name, func(t *testing.T) {
			is := is.New(t)
			_, fault := afterRun([]byte(strings.Join(g.Parts, "")))
			is.True(fault != eventstream.Sound)
			rest, fault := afterRun([]byte(strings.Join(g.Parts[:g.Sound], "")))
			is.Equal(fault, eventstream.Sound)
			is.Equal(len(rest), 0)
		})
	}
}

// awaitGoroutines waits until the goroutines of the input have ended.
func (w *fuzzEnv) awaitGoroutines(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(testTimeout); runtime.NumGoroutine() > w.goroutines+fuzzGoroutines; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d goroutines, %d before the first input", runtime.NumGoroutine(), w.goroutines)
		}
	}
}

// callerSeeds are what callers send on one connection.
func callerSeeds() []string {
	head := func(uri string, n int) string { return standin.RawHead(uri, "x.example", "key-a", n) }
	withLines := func(uri, lines string) string {
		return strings.Replace(head(uri, 0), "Content-Length: 0\r\n", lines, 1)
	}
	return []string{
		head("/read/1", 5) + "hello",
		head("/write/1", 5) + "hello" + head("/chat/1", 0),
		head("/write/1", 50) + "stops",
		head("/read/1", 0) + "\r" + head("/read/2", 0)[1:],
		head("/write/1", 2) + "more bytes than stated",
		"GET /read/1",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"GET http://x.example/read/1 HTTP/1.0\r\n\r\n",
		strings.Replace(head("/read/1", 0), "/read/1", "http://x.example/read/1?a=%20b", 1),
		withLines("/write/1", "Content-Length: 3\r\nContent-Length: 4\r\n") + "abcd",
		withLines("/write/1", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n") + "3\r\nabc\r\n0\r\n\r\n" + head("/read/2", 0),
		withLines("/write/1", "Transfer-Encoding: chunked\r\n") + "3\r\nabc\r\n0\r\nX-Trailer: 1\r\n\r\n" + head("/read/2", 0),
		withLines("/write/1", "Transfer-Encoding: chunked\r\n") + "zz\r\nGET /read/2 HTTP/1.1\r\n\r\n",
		withLines("/write/1", "Transfer-Encoding: chunked\r\n") + "fffffffffffffffff\r\nabc",
		withLines("/write/1", "Expect: 100-continue\r\nContent-Length: 3\r\n") + "abc",
		withLines("/read/1", "Connection: close, upgrade\r\nUpgrade: h2c\r\nContent-Length: 0\r\n"),
		withLines("/write/1", "X-Long: "+strings.Repeat("x", 70_000)+"\r\nContent-Length: 0\r\n"),
		head("/write/1", 100_000) + strings.Repeat("0123456789", 10_000) + head("/read/2", 0),
	}
}

// upstreamSeeds are what upstreams answer to a request with the ID "raw".
func upstreamSeeds() []string {
	ok := standin.RawAnswer("raw", 200, "Content-Length: 2\r\n", "ok")
	chunked := func(body string) string { return standin.RawAnswer("raw", 200, "Transfer-Encoding: chunked\r\n", body) }
	events := func(body string) string {
		return standin.RawAnswer("raw", 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", body)
	}
	return []string{
		ok,
		ok + ok,
		ok + "bytes after the answer",
		ok + standin.RawAnswer("other", 200, "Content-Length: 8\r\n", "answer-0"),
		standin.RawAnswer("other", 200, "Content-Length: 3\r\n", "old") + ok,
		strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", 30) + ok,
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\n\r\n" + ok,
		standin.RawAnswer("raw", 200, "Content-Length: 2\r\nContent-Length: 3\r\n", "oks"),
		standin.RawAnswer("raw", 200, "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", "2\r\nok\r\n0\r\n\r\n"),
		standin.RawAnswer("raw", 200, "Content-Length: 9\r\n", "short"),
		standin.RawAnswer("raw", 200, "Content-Length: -1\r\n", "x"),
		standin.RawAnswer("raw", 204, "Content-Length: 2\r\n", "ok"),
		standin.RawAnswer("raw", 500, "Content-Length: 0\r\n", ""),
		chunked("2\r\nok\r\n0\r\n\r\n"),
		chunked("2\r\nok\r\n0\r\nX-Trailer: 1\r\n\r\n" + ok),
		chunked("zz\r\nok\r\n0\r\n\r\n"),
		chunked("ffffffffffffffff\r\nok"),
		chunked("2" + strings.Repeat("0", 5000)),
		events("11\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n"),
		events("11\r\nid: 1\ndata: a\n\n\r\n11\r\nid: 1\ndata: a\n\n\r\n"),
		events("9\r\ndata: a\n\n\r\n0\r\n\r\n"),
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Many: 1\r\n", 3000) + "\r\n",
		"HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 70_000),
		"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
		"SSH-2.0-OpenSSH\r\n",
		"\x00\x00\x12\x04\x00\x00\x00\x00\x00",
		"\r\n\r\n",
	}
}
