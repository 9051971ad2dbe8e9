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
	world    *World
	n        int
	settings standin.Gateway
	// path is of the settings file.
	path string
	link *Proxy
	out  logBuffer

	mu  sync.Mutex
	cmd *exec.Cmd
	// life is the number of its starts.
	life int
	// busy is true while a fault has the process.
	busy atomic.Bool
}

// logBuffer keeps the output of a process.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write keeps a piece.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// newProcess returns the n-th gateway, which does not run yet.
func (w *World) newProcess(n int, dir string) *process {
	p := &process{world: w, n: n, path: filepath.Join(dir, fmt.Sprintf("settings-%d.conf", n))}
	p.link = w.link(w.store.Address())
	addresses := freeAddresses(w.t, 3)
	p.settings = standin.Gateway{
		Host:          fmt.Sprintf("g-%d", n),
		Zone:          fmt.Sprintf("z%d", n%zones),
		Callers:       addresses[0],
		Readiness:     addresses[1],
		Peers:         addresses[2],
		Store:         p.link.Address(),
		RevokeMs:      int(revokeWithin.Milliseconds()),
		ConfigApplyMs: int(configWithin.Milliseconds()),
		GraceS:        int(graceful.Seconds()),
	}
	return p
}

// writeSettings writes the settings file, with the seeds.
func (p *process) writeSettings(seeds []string) {
	p.settings.Seeds = seeds
	if err := os.WriteFile(p.path, []byte(p.settings.Settings()), 0o600); err != nil {
		p.world.t.Fatal(err)
	}
}

// start starts the process.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(p.world.binary, "run") //nolint:gosec // The test names the program.
	p.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.path)
	p.cmd.Stdout = &p.out
	p.cmd.Stderr = &p.out
	p.life++
	if err := p.cmd.Start(); err != nil {
		p.world.t.Fatal(err)
	}
}

// signal sends a signal to the process that this world started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

// wait waits for the end of the process.
func (p *process) wait() { _ = p.cmd.Wait() }

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

// lifeNow returns the number of its starts.
func (p *process) lifeNow() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life
}

// ready reports whether the gateway takes callers.
func (p *process) ready() bool {
	resp, err := http.Get("http://" + p.settings.Readiness + platform.ReadyPath) //nolint:noctx // A poll.
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
