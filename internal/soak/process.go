package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/gladegauge/gladegauge/platform"
	"github.com/gladegauge/gladegauge/platform/standin"
)

// process is one gateway and its link to the store.
type process struct {
	harness  *Harness
	n        int
	settings standin.Gateway
	// path is the path of the settings file.
	path string
	link *Proxy
	out  logBuffer

	mu  sync.Mutex
	cmd *exec.Cmd
	// incarnation counts the starts of the process.
	incarnation int
	// busy is true while a fault affects the process.
	busy atomic.Bool
}

// logBuffer holds the output of a process.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write appends to the buffer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// newProcess returns the n-th gateway without starting it.
func (h *Harness) newProcess(n int, dir string) *process {
	p := &process{harness: h, n: n, path: filepath.Join(dir, fmt.Sprintf("settings-%d.conf", n))}
	p.link = h.link(h.store.Address())
	addresses := freeAddresses(h.t, 3)
	p.settings = standin.Gateway{
		Host:          fmt.Sprintf("g-%d", n),
		Zone:          fmt.Sprintf("z%d", n%zoneCount),
		Callers:       addresses[0],
		Readiness:     addresses[1],
		Peers:         addresses[2],
		Store:         p.link.Address(),
		RevokeMs:      int(revocationDeadline.Milliseconds()),
		ConfigApplyMs: int(configurationDeadline.Milliseconds()),
		GraceS:        int(shutdownGrace.Seconds()),
	}
	return p
}

// writeSettings writes the settings file with the addresses of the seed peers.
func (p *process) writeSettings(seedPeers []string) {
	p.settings.Seeds = seedPeers
	if err := os.WriteFile(p.path, []byte(p.settings.Settings()), 0o600); err != nil {
		p.harness.t.Fatal(err)
	}
}

func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(p.harness.binary, "run") //nolint:gosec // The test names the program.
	p.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.path)
	p.cmd.Stdout = &p.out
	p.cmd.Stderr = &p.out
	p.incarnation++
	if err := p.cmd.Start(); err != nil {
		p.harness.t.Fatal(err)
	}
}

// signal sends a signal to the process that this harness started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

// wait waits until the process exits.
func (p *process) wait() { _ = p.cmd.Wait() }

// kill kills the process and waits until it exits.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

// currentIncarnation returns the number of starts so far.
func (p *process) currentIncarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

// ready reports whether the gateway is ready for callers.
func (p *process) ready() bool {
	resp, err := http.Get("http://" + p.settings.Readiness + platform.ReadyPath) //nolint:noctx // A poll.
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
