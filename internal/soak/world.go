package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/platform"
	"github.com/gladegauge/gladegauge/platform/standin"
)

// Names in the soak's configurations.
const (
	host               = "soak.example"
	organisationPrefix = "org-"
	// lastingKey is never taken away.
	lastingKey = "lasting"
	pool       = "app"
)

// Sizes of the soak.
const (
	gateways = 4
	zones    = 2
	replicas = 4
	callers  = 8
	// callTimeoutMs is the callers' patience.
	callTimeoutMs = 2500
	// thinkTime is the mean pause of a caller between two requests.
	thinkTime = 15 * time.Millisecond
)

// World is the processes, links, stand-ins and callers of one play.
type World struct {
	t      standin.Owner
	dir    string
	binary string
	record *Record
	store  *standin.Store

	mu       sync.Mutex
	rng      *rand.Rand
	version  int64
	spareKey string
	oldKeys  []string
	replicas []*replica
	// calm is true once no replica is to fail by itself any more.
	calm  atomic.Bool
	procs []*process
	nextN int
}

// replica is a stand-in behind a link.
type replica struct {
	*standin.Replica
	link *Proxy
}

// process is one gateway and its link to the store.
type process struct {
	world    *World
	n        int
	settings standin.Gateway
	path     string
	link     *Proxy
	out      logBuffer

	mu   sync.Mutex
	cmd  *exec.Cmd
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

// NewWorld starts everything. Dir keeps settings, and the logs of a play that
// breaks a promise.
func NewWorld(t standin.Owner, binary, dir string, seed uint64) *World {
	t.Helper()
	w := &World{
		t: t, dir: dir, binary: binary, record: newRecord(), store: standin.NewStore(t),
		rng: rand.New(rand.NewPCG(seed, seed)), spareKey: "spare-0", //nolint:gosec // Seeded on purpose.
	}
	w.publish()
	for range replicas {
		w.addReplica()
	}
	var addresses []string
	for n := range gateways {
		p := &process{world: w, n: n, path: filepath.Join(dir, fmt.Sprintf("settings-%d.conf", n))}
		p.link = w.link(w.store.Address())
		p.settings = standin.Gateway{
			Host: fmt.Sprintf("g-%d", n), Zone: fmt.Sprintf("z%d", n%zones),
			Callers: freeAddress(t), Readiness: freeAddress(t), Peers: freeAddress(t),
			Store:    p.link.Address(),
			RevokeMs: int(revokeWithin.Milliseconds()), ConfigMs: int(configWithin.Milliseconds()), GraceS: int(graceful.Seconds()),
		}
		addresses = append(addresses, p.settings.Peers)
		w.procs = append(w.procs, p)
	}
	for _, p := range w.procs {
		p.settings.Seeds = addresses[:3]
		if err := os.WriteFile(p.path, []byte(p.settings.Settings()), 0o600); err != nil {
			t.Fatal(err)
		}
		p.start()
		t.Cleanup(p.kill)
	}
	return w
}

// freeAddress is a loopback address that nobody listens on.
func freeAddress(t standin.Owner) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (w *World) link(target string) *Proxy {
	p, err := NewProxy(target)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(p.Close)
	return p
}

// publish writes the next configuration. Its organisation is named for its
// version, so that replicas see which one is in force.
func (w *World) publish() {
	w.version++
	route := func(kind, long string, attempts int, resume bool) standin.Route {
		return standin.Route{
			Name: kind, Host: host, Prefix: "/" + kind + "/", Kind: long, Pool: pool,
			TimeoutMs: 2000, TargetMs: 200, PauseMs: 200, Attempts: attempts, Resume: resume,
		}
	}
	w.store.PutConfig(standin.Config{
		Version: w.version,
		Engines: true,
		Routes: []standin.Route{
			route(kindRead, "idempotent", 2, false),
			route(kindWrite, "non_idempotent", 2, false),
			route(kindChat, "streaming", 1, false),
			route(kindNote, "streaming", 2, true),
		},
		Keys: map[string][]string{organisationPrefix + strconv.FormatInt(w.version, 10): {lastingKey, w.spareKey}},
	})
	w.record.mu.Lock()
	w.record.Versions[w.version] = time.Now()
	w.record.mu.Unlock()
}

// addReplica starts a replica and lists it.
func (w *World) addReplica() {
	id := fmt.Sprintf("i-%d", w.nextN)
	w.nextN++
	r := &replica{}
	r.Replica = standin.NewReplica(w.t, id, func(_ int, req standin.Request) standin.Reply { return w.reply(id, req) })
	r.link = w.link(r.Address())
	w.replicas = append(w.replicas, r)
	w.store.PutReplica(r.Replica.At(r.link.Address()), pool, false)
}

// reply is what a replica does with a request; some fail by themselves.
func (w *World) reply(id string, req standin.Request) standin.Reply {
	kind := kindOf(req.URI)
	w.mu.Lock()
	dice := w.rng.IntN(100)
	w.mu.Unlock()
	if w.calm.Load() {
		dice = 100
	}
	if dice < 3 || (req.ContinueFrom != "" && req.LastEvent == "") {
		return standin.Reply{Refuse: true}
	}
	w.record.run(Run{ID: req.ID, Replica: id, At: time.Now(), Organisation: req.Tenant, Continues: req.ContinueFrom != ""})
	reply := standin.Reply{Body: body(kind, req.ID)}
	if kind == kindChat || kind == kindNote {
		for i := range events {
			reply.Events = append(reply.Events, fmt.Sprintf("%s-%d", req.ID, i+1))
		}
		pause := make(chan struct{})
		time.AfterFunc(100*time.Millisecond, func() { close(pause) })
		reply.Pause = pause
	}
	switch {
	case dice < 5:
		reply.CutAfter = 2
	case dice < 6:
		reply.Nonsense = true
	case dice < 7:
		reply.Status, reply.Events, reply.Body = http.StatusInternalServerError, nil, "no"
	case dice < 8:
		reply.Silent = true
	case dice < 9:
		reply.CutAfter, reply.CutInside, reply.Mute = 2, true, true
	}
	return reply
}

// kindOf is the kind of request at a path.
func kindOf(uri string) string {
	for _, kind := range []string{kindRead, kindWrite, kindChat, kindNote} {
		if len(uri) > len(kind) && uri[1:1+len(kind)] == kind {
			return kind
		}
	}
	return ""
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

// AwaitReady waits until all gateways take callers.
func (w *World) AwaitReady(ctx context.Context) bool {
	for ctx.Err() == nil {
		ready := 0
		for _, p := range w.procs {
			if p.ready() {
				ready++
			}
		}
		if ready == len(w.procs) {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

// Load lets callers send requests until the context ends. They keep using their
// connections until the process is gone.
func (w *World) Load(ctx context.Context, seed uint64) {
	var group errgroup.Group
	for n := range callers {
		rng := rand.New(rand.NewPCG(seed, uint64(n))) //nolint:gosec // Seeded on purpose.
		group.Go(func() error {
			w.callMany(ctx, n, rng)
			return nil
		})
	}
	_ = group.Wait()
}

func (w *World) callMany(ctx context.Context, n int, rng *rand.Rand) {
	kinds := []string{kindRead, kindRead, kindWrite, kindChat, kindNote}
	clients := make([]*standin.Caller, len(w.procs))
	for i, p := range w.procs {
		clients[i] = standin.NewCaller(w.t, p.settings.Callers)
	}
	for i := 0; ctx.Err() == nil; i++ {
		kind, key, to := kinds[rng.IntN(len(kinds))], w.key(rng), rng.IntN(len(w.procs))
		c := Call{ID: fmt.Sprintf("%s-%d-%d", kind, n, i), Kind: kind, Key: key, Gateway: to, Life: w.procs[to].lifeNow(), Sent: time.Now()}
		req := standin.Request{
			ID: c.ID, Host: host, URI: "/" + kind + "/" + strconv.Itoa(rng.IntN(9)), Key: key, Body: "x", DeadlineMs: callTimeoutMs,
		}
		if kind == kindChat || kind == kindNote {
			req.Tokens, req.Parts = "100,200", "aa:60,bb:40"
		}
		// The caller gives up well after its own deadline.
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*callTimeoutMs*time.Millisecond)
		a := clients[to].Call(call, req)
		cancel()
		c.Done, c.Status, c.Whole, c.Sealed, c.Body = time.Now(), a.Status, a.Whole, a.Sealed(), a.Body
		w.record.call(c)
		time.Sleep(upTo(rng, 2*thinkTime))
	}
}

// key is mostly the lasting one, and now and then one that may be revoked.
func (w *World) key(rng *rand.Rand) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch dice := rng.IntN(10); {
	case dice < 7 || (dice < 9 && len(w.oldKeys) == 0):
		return lastingKey
	case dice < 9:
		return w.oldKeys[len(w.oldKeys)-1]
	default:
		return w.spareKey
	}
}
