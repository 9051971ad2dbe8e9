//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// lab holds the stand-ins and processes of one case.
type lab struct {
	gateway string
	trouble bool
	dir     string
	store   *standin.Store

	mu       sync.Mutex
	record   *os.File
	began    time.Time
	cleanups []func()
	procs    []*process
	closed   bool
}

func newLab(gateway, recordPath string, trouble bool) (*lab, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	l := &lab{gateway: gateway, trouble: trouble, dir: dir, record: record, began: time.Now()}
	l.store = standin.NewStore(l)
	l.note("disruption: %v", trouble)
	return l, nil
}

// Helper implements standin.Owner.
func (*lab) Helper() {}

// Fatal implements standin.Owner.
func (*lab) Fatal(args ...any) { panic(fmt.Sprint(args...)) }

// Cleanup implements standin.Owner.
func (l *lab) Cleanup(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cleanups = append(l.cleanups, f)
}

// note writes one line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = l.record.WriteString(line)
}

// close ends all processes and stand-ins.
func (l *lab) close() {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	cleanups, procs := l.cleanups, l.procs
	l.mu.Unlock()
	for _, p := range procs {
		p.kill()
	}
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	_ = os.RemoveAll(l.dir)
	_ = l.record.Close()
}

// process is one gateway.
type process struct {
	l                         *lab
	name                      string
	callers, readiness, peers string
	metricsPort               int
	// memoryMB is limits.memory_mb of the settings.
	memoryMB int
	seeds    []string
	cmd      *exec.Cmd
	done     chan struct{}
	// startedAt is when the process was last started, in nanoseconds since 1970.
	startedAt atomic.Int64
}

// uptime is the time since the process was last started.
func (p *process) uptime() time.Duration { return time.Since(time.Unix(0, p.startedAt.Load())) }

// freeAddress returns a free loopback address.
func (l *lab) freeAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// newGateways returns n gateways that know each other's addresses; none is started.
func (l *lab) newGateways(n int) []*process {
	var list []*process
	var seeds []string
	for i := range n {
		p := &process{l: l, name: fmt.Sprintf("front-%d", i+1), callers: l.freeAddress(), readiness: l.freeAddress(), peers: l.freeAddress(), memoryMB: 284}
		_, port, _ := net.SplitHostPort(l.freeAddress())
		_, _ = fmt.Sscan(port, &p.metricsPort)
		seeds = append(seeds, p.peers)
		list = append(list, p)
	}
	for _, p := range list {
		p.seeds = seeds[:min(len(seeds), 3)]
	}
	l.mu.Lock()
	l.procs = append(l.procs, list...)
	l.mu.Unlock()
	return list
}

// settings returns the settings file, with the figures of the small deployment salish-shuffle.
func (p *process) settings(first bool) string {
	return strings.Join([]string{
		"node=" + p.name, "role=gateway", "machine_class=front", "serves=front,control",
		"ip=127.0.0.1", "zone=a", "region=r", "zones.a=r",
		"listen.frontend=" + p.callers, "listen.readiness=" + p.readiness, "listen.control=" + p.peers,
		"seeds=" + strings.Join(p.seeds, ","), fmt.Sprintf("first_start=%v", first), "in_tolerance=false",
		"limits.cpu_share=0.304", "limits.cores=1", fmt.Sprintf("limits.memory_mb=%d", p.memoryMB), "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=vip", "heartbeat_ms=1200",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4",
		"bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000",
		"bounds.downgrade_slack_ms=250", "bounds.max_stretch_ms=5000", "bounds.strict_revoke=true", "bounds.revoke_ms=5000",
		"bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.budget_extra_retries=54",
		"bounds.recovery_s=12", "bounds.pass_ms=120", "bounds.retry_after_s=8.2",
		"platform.address=" + p.l.store.Address(), "platform.form=read", "platform.reads_per_s=2000", "platform.history_s=20",
		"platform.value_bytes=1048576", "platform.min_ttl_ms=1000",
	}, "\n") + "\n"
}

// start starts the process.
func (p *process) start(first bool) {
	path := filepath.Join(p.l.dir, p.name+".conf")
	if err := os.WriteFile(path, []byte(p.settings(first)), 0o600); err != nil {
		panic(err)
	}
	log, err := os.OpenFile(filepath.Join(p.l.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	cmd := exec.Command(p.l.gateway, "run", "-metrics-port", fmt.Sprint(p.metricsPort))
	cmd.Env = []string{"GLADEGAUGE_NODE_FILE=" + path, "GLADEGAUGE_LOG_LEVEL=info", "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	p.startedAt.Store(time.Now().UnixNano())
	p.l.note("%s started", p.name)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		p.l.note("%s ended: %v", p.name, err)
		close(done)
	}()
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.l.note("%s gets signal %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process and waits for it.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// ready reports whether the gateway calls itself ready.
func (p *process) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + p.readiness + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the gateway is ready.
func (p *process) awaitReady() {
	for range 200 {
		if p.ready() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	panic(p.name + " is not ready")
}
