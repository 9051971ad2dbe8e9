//go:build review

// Command standin plays the platform, replicas and clients for the cases in review/4 and
// above, and runs the cases. It exits with 1 if the rule of the case was broken, with 0 if it
// held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// maxDuration bounds a case.
const maxDuration = 115 * time.Second

// processes are those that the case has started.
type processes struct {
	mu   sync.Mutex
	list []*os.Process
}

func (p *processes) add(child *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, child)
}

func (p *processes) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, child := range p.list {
		_ = child.Kill()
	}
	time.Sleep(200 * time.Millisecond) // They end before the case does.
}

var children processes

func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	children.killAll()
	os.Exit(2)
}

// record is the record of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(dir string) *record {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fatal("record: %v", err)
	}
	return &record{file: f, began: time.Now()}
}

// line writes a line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// verdict writes the result to the record and to standard output.
func (r *record) verdict(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(r *record, dir string, trouble bool) bool{}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "replica" {
		runReplica(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fatal("usage: standin CASE FOLDER")
	}
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fatal("temporary folder: %v", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxDuration):
		}
		fatal("stopped before the end")
	}()
	r := newRecord(os.Args[2])
	trouble := os.Getenv("TROUBLE") != "0"
	broken := cases[os.Args[1]](r, tmp, trouble)
	children.killAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(tmp)
	} else {
		fmt.Println("logs in", tmp)
	}
	if broken {
		os.Exit(1)
	}
}
