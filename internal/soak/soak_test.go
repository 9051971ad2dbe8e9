package soak

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

var (
	fresh    = flag.Int("seeds", 1, "number of seeds to play beside the kept ones")
	first    = flag.Uint64("first", 1, "first of them")
	length   = flag.Duration("length", 4*time.Second, "how long things fail in one play")
	parallel = flag.Int("plays", 1, "plays at the same time")
)

// calmLength is how long a play goes on after the last fault: callers' patience,
// full service, and enough reads to tell.
const calmLength = recoverWithin + 1500*time.Millisecond

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}

// play plays one seed and returns what broke a promise.
func play(t *testing.T, binary string, seed uint64) {
	t.Helper()
	w := NewWorld(t, binary, t.TempDir(), seed)
	start, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if !w.AwaitReady(start) {
		t.Fatalf("seed %d: the gateways never got ready (logs in %s)", seed, keep(t, w, seed))
	}
	load, endLoad := context.WithCancel(context.Background())
	defer endLoad()
	var group errgroup.Group
	group.Go(func() error {
		w.Load(load, seed)
		return nil
	})
	group.Go(func() error {
		w.Crash(load, seed)
		return nil
	})
	group.Go(func() error {
		w.Lie(load)
		return nil
	})
	failing, endFaults := context.WithTimeout(context.Background(), *length)
	defer endFaults()
	group.Go(func() error {
		w.Evacuate(failing, seed)
		return nil
	})
	group.Go(func() error {
		w.Notices(failing, seed)
		return nil
	})
	group.Go(func() error {
		w.Limits(failing, seed)
		return nil
	})
	var restores errgroup.Group
	restores.Go(func() error {
		w.Restore(failing, seed)
		return nil
	})
	w.Faults(failing, seed)
	_ = restores.Wait()
	time.Sleep(calmLength)
	endLoad()
	_ = group.Wait()
	broken := Check(w.record)
	t.Logf("seed %d: %d calls, %d arrivals, %d runs, %d events, %d limits, %d turns lent", seed, len(w.record.Calls), len(w.record.Arrivals),
		len(w.record.Runs), len(w.record.Events), len(w.record.Limits), w.logged(`"lent":true`))
	if len(broken) == 0 {
		return
	}
	dir := keep(t, w, seed)
	t.Errorf("seed %d broke %d promises (logs in %s):\n%s", seed, len(broken), dir, strings.Join(broken[:min(len(broken), 12)], "\n"))
}

// logged is how often the text stands in the logs of all gateways.
func (w *World) logged(text string) int {
	n := 0
	for _, p := range w.procs {
		p.out.mu.Lock()
		n += bytes.Count(p.out.buf.Bytes(), []byte(text))
		p.out.mu.Unlock()
	}
	return n
}

// keep writes the logs and events of a play.
func keep(t *testing.T, w *World, seed uint64) string {
	t.Helper()
	dir := filepath.Join(os.TempDir(), fmt.Sprintf("gladegauge-soak-%d", seed))
	if err := os.MkdirAll(dir, 0o750); err != nil {
		t.Fatal(err)
	}
	for _, p := range w.procs {
		p.out.mu.Lock()
		data := p.out.buf.Bytes()
		p.out.mu.Unlock()
		if err := os.WriteFile(filepath.Join(dir, p.settings.Host+".log"), data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var text strings.Builder
	for _, e := range w.record.Events {
		fmt.Fprintf(&text, "%s %s to %s gateway %d\n", e.At.Format(time.RFC3339Nano), e.What, e.Until.Format(time.RFC3339Nano), e.Gateway)
	}
	for _, c := range w.record.Calls {
		fmt.Fprintf(&text, "%s call %s gateway %d life %d status %d whole %t took %v\n", c.Sent.Format(time.RFC3339Nano), c.ID, c.Gateway, c.Life, c.Status, c.Whole, c.Done.Sub(c.Sent))
	}
	if err := os.WriteFile(filepath.Join(dir, "play.log"), []byte(text.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}

// keptSeeds are those that ever broke a promise.
func keptSeeds(t *testing.T) []uint64 {
	t.Helper()
	f, err := os.Open("testdata/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	var seeds []uint64
	for s := bufio.NewScanner(f); s.Scan(); {
		text, _, _ := strings.Cut(s.Text(), " ")
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seeds = append(seeds, seed)
	}
	return seeds
}

func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "gateway")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/gladegauge-gateway")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	seeds := keptSeeds(t)
	for i := range *fresh {
		seeds = append(seeds, *first+uint64(i))
	}
	slots := make(chan struct{}, *parallel)
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			if *parallel > 1 {
				t.Parallel()
			}
			slots <- struct{}{}
			defer func() { <-slots }()
			play(t, binary, seed)
		})
	}
}
