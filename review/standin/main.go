//go:build review

// Command review-standin plays the platform, the replicas and the clients of one review case. It
// starts gateways as separate processes, and ends them.
//
// # Usage
//
//	review-standin -gateway target/gladegauge-gateway -record review/1/record.txt early-answer
//
// The exit code is 0 if the rule held, 1 if it was broken and 2 if the case could not run. With
// TROUBLE=0 in the environment the case runs without its disruption.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseLimit bounds the duration of a case.
const caseLimit = 100 * time.Second

// cases are the review cases by name.
var cases = map[string]func(l *lab) bool{
	"early-answer": earlyAnswer,
	"flood":        flooded,
	"foreign":      foreignEntry,
}

func main() {
	gateway := flag.String("gateway", "target/gladegauge-gateway", "the gateway's program")
	recordPath := flag.String("record", "", "file that receives what was sent, answered and run")
	flag.Parse()
	run, ok := cases[flag.Arg(0)]
	if !ok || *recordPath == "" {
		fmt.Fprintln(os.Stderr, "usage: review-standin -record FILE CASE")
		os.Exit(exitFailed)
	}
	os.Exit(play(run, *gateway, *recordPath, os.Getenv("TROUBLE") != "0"))
}

// play runs one case and returns its exit code.
func play(run func(l *lab) bool, gateway, recordPath string, trouble bool) (code int) {
	l, err := newLab(gateway, recordPath, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer l.close()
	defer func() {
		if r := recover(); r != nil {
			l.note("the case could not run: %v", r)
			code = exitFailed
		}
	}()
	giveUp := func(why string) {
		l.note("the case could not run: %s", why)
		l.close()
		os.Exit(exitFailed)
	}
	guard := time.AfterFunc(caseLimit, func() { giveUp("out of time") })
	defer guard.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() { giveUp((<-signals).String()) }()
	if run(l) {
		l.note("RULE HELD")
		return exitHeld
	}
	l.note("RULE BROKEN")
	return exitBroken
}
