//go:build review

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Headers of the platform.
const (
	headerID     = "X-Gladegauge-Attempt-Id"
	headerSeal   = "X-Gladegauge-Replica-Seal"
	headerNotRun = "X-Gladegauge-Not-Run"
	headerLoad   = "X-Gladegauge-Replica-Load"
	headerExpect = "X-Gladegauge-Expect-Replica"
)

// event is what a replica tells of one request.
type event struct {
	At      time.Time
	Replica string
	What    string
	ID      string
	URI     string
	Header  http.Header `json:",omitempty"`
}

// replica plays one replica of a plain service in a process of its own. It writes its events to
// standard output.
type replica struct {
	id           string
	slots, queue int
	work         time.Duration
	// extra is the part of its answers that are followed by an extra one while it is faulty.
	extra float64
	// slow is how many times as long as usual its work takes, and faulty whether it sends extra
	// answers. SIGUSR1 makes it slow and faulty, and SIGUSR2 sound again.
	slow   atomic.Int64
	faulty atomic.Bool

	mu               sync.Mutex
	running, waiting int
	free             chan struct{}
}

func runReplica(args []string) {
	f := flag.NewFlagSet("replica", flag.ExitOnError)
	r := &replica{}
	f.StringVar(&r.id, "id", "", "identity")
	f.IntVar(&r.slots, "slots", 6, "requests at once")
	f.IntVar(&r.queue, "queue", 24, "requests that wait")
	f.DurationVar(&r.work, "work", 30*time.Millisecond, "time of a request")
	f.Float64Var(&r.extra, "extra", 0, "part of the answers that are followed by an extra one")
	_ = f.Parse(args)
	r.slow.Store(1)
	go r.obeySignals()
	r.free = make(chan struct{}, r.slots)
	l := listenAsOnEthernet()
	fmt.Println(l.Addr())
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

// ethernetSegment is the payload of a TCP segment on Ethernet. On the loopback link segments of 64
// KiB would let a peer that does not read take several megabytes.
const ethernetSegment = 1460

// listenAsOnEthernet listens for connections whose windows are those of a link between machines.
func listenAsOnEthernet() net.Listener {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, ethernetSegment)
		})
	}}
	l, err := c.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		fatal("listen: %v", err)
	}
	return l
}

// slowTimes is how many times as long as usual the work of a slow replica takes.
const slowTimes = 4

// obeySignals makes the replica slow and faulty, and sound again.
func (r *replica) obeySignals() {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	for s := range signals {
		r.slow.Store(1)
		r.faulty.Store(s == syscall.SIGUSR1)
		if s == syscall.SIGUSR1 {
			r.slow.Store(slowTimes)
		}
	}
}

func (r *replica) tell(what string, req *http.Request, withHeader bool) {
	e := event{At: time.Now(), Replica: r.id, What: what, ID: req.Header.Get(headerID), URI: req.RequestURI}
	if withHeader {
		e.Header = req.Header
	}
	data, _ := json.Marshal(e)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = os.Stdout.Write(append(data, '\n'))
}

// serve answers the requests of one connection. A request is dropped when its connection closes.
func (r *replica) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	// late is true if an extra answer is to come in the place of the next one.
	late := false
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if late {
			r.tell("sends an extra answer, before it runs", req, false)
			if _, err := io.WriteString(c, extraAnswer); err != nil {
				return
			}
		}
		if strings.HasPrefix(req.RequestURI, "/import/") && req.Header.Get(headerExpect) == r.id {
			r.answerEarly(c, req)
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !r.answer(c, req, body) {
			return
		}
		late = r.faulty.Load() && rand.Float64() < r.extra
	}
}

// extraAnswer belongs to no request: it has no attempt id.
const extraAnswer = "HTTP/1.1 503 Service Unavailable\r\n" + headerNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"

// answer runs one request. The status that it asks for in its path is that of the application.
func (r *replica) answer(c net.Conn, req *http.Request, body []byte) bool {
	head := func(status int, sealed bool, extra string, n int) string {
		s := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\n%s", status, http.StatusText(status), headerID, req.Header.Get(headerID), headerLoad, r.load(), extra)
		if sealed {
			s += headerSeal + ": seal-" + r.id + "\r\n"
		}
		return s + fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n\r\n", n)
	}
	if expect := req.Header.Get(headerExpect); expect != "" && expect != r.id {
		_, err := io.WriteString(c, head(421, false, headerNotRun+": 1\r\n", 0))
		return err == nil
	}
	if req.URL.Path == "/healthz" {
		_, err := io.WriteString(c, head(200, false, "X-Gladegauge-Replica-Id: "+r.id+"\r\n", 0))
		return err == nil
	}
	if !r.enter() {
		_, err := io.WriteString(c, head(503, false, headerNotRun+": 1\r\n", 0))
		return err == nil
	}
	r.tell("runs", req, false)
	if strings.HasPrefix(req.RequestURI, "/report/") {
		return r.stream(c, req, reportEvents, reportGap)
	}
	if strings.HasPrefix(req.RequestURI, "/lookup/") {
		return r.stream(c, req, lookupEvents, lookupGap)
	}
	time.Sleep(r.work)
	status := 200
	if strings.Contains(req.RequestURI, "/unknown/") {
		status = 404
	}
	text := fmt.Sprintf(`{"request":%q,"status":%d,"bytes":%d}`, req.Header.Get(headerID), status, len(body))
	r.leave()
	r.tell(fmt.Sprint("ends ", status), req, false)
	_, err := io.WriteString(c, head(status, true, "", len(text))+text)
	return err == nil
}

// Parameters of an answer that begins before the body of its request was read.
const (
	earlyBytes  = 40 << 10
	earlyPiece  = 1 << 10
	earlyPause  = 15 * time.Millisecond
	earlyIsRead = 64 << 10
)

// answerEarly answers after it has read the beginning of a long body, and reads on afterwards.
// The answer has no length and ends with its connection.
func (r *replica) answerEarly(c net.Conn, req *http.Request) {
	if _, err := io.CopyN(io.Discard, req.Body, earlyIsRead); err != nil {
		return
	}
	r.tell("runs", req, false)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\n%s: %s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n",
		headerID, req.Header.Get(headerID), headerSeal, r.id, headerLoad, r.load())
	if _, err := io.WriteString(c, head); err != nil {
		return
	}
	piece := strings.Repeat("x", earlyPiece)
	for range earlyBytes / earlyPiece {
		if _, err := io.WriteString(c, piece); err != nil {
			return
		}
		time.Sleep(time.Duration(r.slow.Load()) * earlyPause)
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	r.tell(fmt.Sprint("ends 200, ", earlyBytes, " bytes"), req, false)
}

// Streams of the two kinds.
const (
	reportEvents, reportGap = 68, 200 * time.Millisecond
	lookupEvents, lookupGap = 8, 25 * time.Millisecond
)

// stream answers with events.
func (r *replica) stream(c net.Conn, req *http.Request, n int, gap time.Duration) bool {
	defer r.leave()
	time.Sleep(gap)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		headerID, req.Header.Get(headerID), headerSeal, r.id, headerLoad, r.load())
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	for i := range n {
		text := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", i+1, req.Header.Get(headerID), i+1)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
		time.Sleep(gap)
	}
	r.tell("ends 200", req, false)
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

func (r *replica) load() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", r.running, r.waiting, r.slots)
}

// enter waits for a slot. It returns false if the queue is full.
func (r *replica) enter() bool {
	r.mu.Lock()
	if r.waiting >= r.queue {
		r.mu.Unlock()
		return false
	}
	r.waiting++
	r.mu.Unlock()
	r.free <- struct{}{}
	r.mu.Lock()
	r.waiting--
	r.running++
	r.mu.Unlock()
	return true
}

func (r *replica) leave() {
	<-r.free
	r.mu.Lock()
	r.running--
	r.mu.Unlock()
}

// replicaProcess is a replica that the case has started.
type replicaProcess struct {
	id, address string
	cmd         *exec.Cmd
	born        int64
}

// events collects the events of all replicas.
type events struct {
	mu   sync.Mutex
	list []event
}

func (e *events) add(ev event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = append(e.list, ev)
}

// startReplica starts a replica process and returns once it listens.
func startReplica(id string, to *events, args ...string) *replicaProcess {
	self, err := os.Executable()
	if err != nil {
		fatal("executable: %v", err)
	}
	p := &replicaProcess{id: id, born: time.Now().UnixMilli()}
	p.cmd = exec.Command(self, append([]string{"replica", "-id", id}, args...)...)
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		fatal("pipe: %v", err)
	}
	if err := p.cmd.Start(); err != nil {
		fatal("start replica: %v", err)
	}
	children.add(p.cmd.Process)
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		fatal("replica %s does not listen", id)
	}
	p.address = lines.Text()
	go func() {
		for lines.Scan() {
			var ev event
			if json.Unmarshal(lines.Bytes(), &ev) == nil {
				to.add(ev)
			}
		}
		_ = p.cmd.Wait()
	}()
	return p
}

// entry is the entry that the replica keeps in the store.
func (p *replicaProcess) entry(service, zone, state string, slots int) map[string]any {
	return map[string]any{
		"service": service, "address": p.address, "zone": zone, "version": "1", "slots": slots, "state": state,
		"cold_remaining_ms": 0, "call_seq": 0, "born": p.born,
	}
}
