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
	"syscall"
	"time"
)

// gatewayCommand is the command of the deploy file.
const gatewayCommand = "target/gladegauge-gateway run -metrics-port 7340"

// gateway is one gateway process.
type gateway struct {
	name, ip                    string
	callers, readiness, control string
	nodeFile, logFile           string
	settings                    string
	cmd                         *exec.Cmd
	exited                      chan struct{}
}

// bounds are those of the deployment salish-shuffle.
const bounds = `fault_tolerance.machines=2
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.downgrade_slack_ms=250
bounds.max_stretch_ms=5000
bounds.strict_revoke=true
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_extra_retries=54
bounds.recovery_s=12
bounds.pass_ms=120
bounds.retry_after_s=8.2
`

// newGateways prepares n gateways, in three zones. Each has an IP number of its own, as the
// ports are the same on all machines.
func newGateways(dir string, n int, storeAddress string) []*gateway {
	var list []*gateway
	for i := range n {
		g := &gateway{name: fmt.Sprintf("front-%d", i+1), ip: freeIP(i)}
		g.callers, g.readiness, g.control = g.ip+":7227", g.ip+":7220", g.ip+":7229"
		g.nodeFile, g.logFile = filepath.Join(dir, g.name+".conf"), filepath.Join(dir, g.name+".log")
		list = append(list, g)
	}
	var seeds []string
	for _, g := range list[:min(n, 3)] {
		seeds = append(seeds, g.control)
	}
	for i, g := range list {
		g.settings = fmt.Sprintf("node=%s\nrole=gateway\nmachine_class=front\nserves=front,control\nip=%s\nzone=%s\nregion=r\nzones.z0=r\nzones.z1=r\nzones.z2=r\n"+
			"listen.frontend=%s\nlisten.readiness=%s\nlisten.control=%s\ninternal_port_range=7340,7355\nseeds=%s\nfirst_start=true\nin_tolerance=false\n"+
			"limits.cpu_share=0.304\nlimits.cores=1\nlimits.memory_mb=284\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n"+
			"discovery=platform\nentry=vip\nheartbeat_ms=1200\ncontracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform\n"+bounds+
			"platform.address=%s\nplatform.form=read\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\nplatform.value_bytes=1048576\nplatform.min_ttl_ms=1000\n",
			g.name, g.ip, zoneName(i), g.callers, g.readiness, g.control, strings.Join(seeds, ","), storeAddress)
	}
	return list
}

func zoneName(i int) string { return fmt.Sprintf("z%d", i%3) }

// freeIP returns a loopback address on which the ports of a machine are free.
func freeIP(i int) string {
	for try := range 200 {
		ip := fmt.Sprintf("127.%d.%d.%d", 10+(os.Getpid()+try)%200, 1+os.Getpid()/200%250, 1+i)
		free := true
		for _, port := range []string{"7227", "7220", "7229", "7340"} {
			l, err := net.Listen("tcp", ip+":"+port)
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return ip
		}
	}
	fatal("no loopback address with free ports")
	return ""
}

// start starts the process.
func (g *gateway) start() {
	if err := os.WriteFile(g.nodeFile, []byte(g.settings), 0o600); err != nil {
		fatal("settings: %v", err)
	}
	log, err := os.OpenFile(g.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("log: %v", err)
	}
	words := strings.Fields(gatewayCommand)
	g.cmd = exec.Command(words[0], words[1:]...)
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GLADEGAUGE_NODE_FILE=" + g.nodeFile, "GLADEGAUGE_LOG_LEVEL=info"}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if err := g.cmd.Start(); err != nil {
		fatal("start %s: %v", g.name, err)
	}
	_ = log.Close()
	g.exited = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(g.cmd, g.exited)
	children.add(g.cmd.Process)
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

// ready reports whether the gateway says that it is ready.
func (g *gateway) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + g.readiness + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all gateways are ready.
func awaitReady(list []*gateway) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, g := range list {
			all = all && g.ready()
		}
		if all {
			return
		}
	}
	fatal("the gateways are not ready after 15 s")
}
